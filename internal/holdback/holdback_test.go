package holdback

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/hyssoprelay/hyssoprelay/internal/routing"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

func classTarget(c int) Target { return ServiceClass{Service: "quotes", Class: routing.Class(c)} }

// write is a write to the store: an order about a target or its release.
func write(t Target, held bool, revision int64) Update {
	if held {
		return Update{Revision: revision, Held: []Order{{Target: t, Revision: revision}}}
	}
	return Update{Revision: revision, Released: []Target{t}}
}

// summary returns the targets held back and the revisions of their orders.
func summary(t *Table) string {
	var out []string
	for _, o := range t.InForce().Orders() {
		out = append(out, fmt.Sprint(o.Target.ID(), "@", o.Revision))
	}
	return strings.Join(out, " ")
}

// Orders and releases arrive late, twice and in any order. Guards against a release that is undone by
// an order given before it, and against entries that hold back different requests.
func TestUpdatesInAnyOrderLeadToOneState(t *testing.T) {
	targets := []Target{classTarget(0), classTarget(3), Account{Name: "a"}, Account{Name: "a/b c"}}
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var history []Update
		for r := range int64(30) {
			history = append(history, write(targets[rng.IntN(len(targets))], rng.IntN(2) == 0, r+1))
		}
		var inOrder, shuffled Table
		for _, u := range history {
			inOrder.Apply(u)
		}
		want := summary(&inOrder)
		for _, i := range append(rng.Perm(len(history)), rng.Perm(len(history))...) {
			shuffled.Apply(history[i])
		}
		if got := summary(&shuffled); got != want {
			t.Fatalf("seed %d: %q, want %q", seed, got, want)
		}
		if changes := inOrder.Apply(history[rng.IntN(len(history))]); len(changes) > 0 {
			t.Fatalf("seed %d: repeated update changed %v", seed, changes)
		}
	}
}

// An entry that was cut off gets the complete state. Guards against an order that stays although it
// was released meanwhile, one that can't be read and ends what was in force, and one from before the
// complete state that comes late.
func TestCompleteUpdateReplacesWhatWasKnown(t *testing.T) {
	var table Table
	for c := range 3 {
		table.Apply(write(classTarget(c), true, int64(c+1)))
	}
	changes := table.Apply(Update{
		Complete: true, Revision: 20, Held: []Order{{Target: classTarget(0), Revision: 1}},
		Unreadable: []Target{classTarget(1), classTarget(5)},
	})
	assertState := func(want string) {
		t.Helper()
		if got := summary(&table); got != want {
			t.Errorf("%q, want %q", got, want)
		}
	}
	if len(changes) != 1 || changes[0] != Change(Released{Order: Order{Target: classTarget(2), Revision: 3}}) {
		t.Errorf("changes %v", changes)
	}
	assertState("class/quotes/0@1 class/quotes/1@2")
	table.Apply(write(classTarget(2), true, 3))
	assertState("class/quotes/0@1 class/quotes/1@2")
	table.Apply(write(classTarget(2), true, 21))
	assertState("class/quotes/0@1 class/quotes/1@2 class/quotes/2@21")
}

// Guards against an order that covers more or fewer requests than its target.
func TestCovering(t *testing.T) {
	var table Table
	table.Apply(write(classTarget(2), true, 1))
	table.Apply(write(Account{Name: "large"}, true, 2))
	for _, c := range []struct {
		service string
		class   int
		account string
		want    bool
	}{
		{"quotes", 2, "other", true},
		{"quotes", 1, "other", false},
		{"orders", 2, "other", false},
		{"orders", 0, "large", true},
		{"quotes", 0, "larger", false},
	} {
		f := table.InForce()
		_, got := f.Covering(ServiceClass{Service: c.service, Class: routing.Class(c.class)}, c.account)
		if got != c.want {
			t.Errorf("%+v: covered is %v", c, got)
		}
	}
	var none *InForce
	if _, ok := none.Covering(ServiceClass{}, ""); ok {
		t.Error("covered without orders")
	}
}

// Guards against keys of the store that name another target than the one that was held back, or
// several keys for one target.
func TestIDs(t *testing.T) {
	for _, target := range []Target{
		classTarget(9), ServiceClass{Service: "a/b", Class: 1}, ServiceClass{Service: "%2F"}, Account{Name: "class/x/1"}, Account{Name: "é ü"},
	} {
		if got, e := ParseID(target.ID()); e != nil || got != target {
			t.Errorf("%q: %v, %v", target.ID(), got, e)
		}
	}
	for _, id := range []string{
		"", "class", "class/", "class/quotes", "class/quotes/", "class/quotes/10", "class/quotes/-1", "class/quotes/01", "class/quotes/+1",
		"class/quotes/1/2", "class//1", "class/%zz/1", "class/%71uotes/1", "account/", "account/%", "account/a/b", "account/%0a", "account/%ff",
		"account/" + strings.Repeat("x", maxName+1), "other/a",
	} {
		if got, e := ParseID(id); e == nil || e.Code() != result.MalformedOrder {
			t.Errorf("%q: %v, %v", id, got, e)
		}
	}
}
