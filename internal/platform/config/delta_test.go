package config

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// forked is a store with a random history of its own.
type forked struct {
	name  string
	store *Store
	rng   *rand.Rand
	n     int
	// kinds is how many kinds of steps are drawn from; four leave holds out.
	kinds int
}

func (f *forked) step(t *testing.T) {
	t.Helper()
	f.n++
	id := fmt.Sprintf("%s-%d", f.name, f.n)
	target := Endpoint(fmt.Sprintf("e%d", f.rng.IntN(6)))
	o := Order{ChangeID: id, By: "operator"}
	switch f.rng.IntN(f.kinds) {
	case 0:
		o.Change = PutPreset{Name: fmt.Sprintf("p%d", f.rng.IntN(3)), Body: []byte(id)}
	case 1, 2:
		o.Change = TakeOut{Target: target}
	case 3:
		o.Change = BringIn{Target: target}
	case 4:
		f.store.hold(newHold(o, target, time.UnixMicro(int64(f.n))))
		return
	default:
		f.store.releaseHolds(target, release{changeID: id, by: "operator"})
		return
	}
	h, err := Apply(f.store.Current().Head(), o, time.UnixMicro(int64(f.n)))
	if err != nil {
		t.Fatal(err)
	}
	f.store.Offer(h)
}

// exchange runs an exchange and returns its bytes.
func exchange(t *testing.T, a, b *Store) int {
	t.Helper()
	size := 0
	msg := a.Summary()
	for range 8 {
		reply, _, err := b.Exchange(msg, nil)
		if err != nil {
			t.Fatal(err)
		}
		size += len(msg) + len(reply)
		msg, err = a.Finish(reply, nil)
		if err != nil {
			t.Fatal(err)
		}
		if msg == nil {
			return size
		}
	}
	t.Fatal("the exchange has no end")
	return 0
}

// naive returns the store that has taken in all of both, without any message.
func naive(a, b *Store) *Store {
	n := &Store{}
	for _, s := range []*Store{a, b} {
		c := s.Current()
		n.join(c.head, c.holds, nil)
	}
	return n
}

func assertSame(t *testing.T, what string, got, want *Store) {
	t.Helper()
	if got.Current().digest != want.Current().digest {
		t.Errorf("%s:\n%s\nwant\n%s", what, got.State(), want.State())
	}
}

// Differential: whatever two processes have gone through, together or cut off
// from each other, an exchange by differences leaves both with what a join of
// the whole documents gives.
func TestExchangeAgainstWholeDocuments(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 1))
		a := &forked{name: "a", store: &Store{}, rng: rng, kinds: 6}
		b := &forked{name: "b", store: &Store{}, rng: rng, kinds: 6}
		for range 1 + rng.IntN(4) {
			for range rng.IntN(40) {
				a.step(t)
			}
			if rng.IntN(2) == 0 {
				for range rng.IntN(20) {
					b.step(t)
				}
			}
			want := naive(a.store, b.store)
			exchange(t, a.store, b.store)
			assertSame(t, fmt.Sprintf("seed %d, a", seed), a.store, want)
			assertSame(t, fmt.Sprintf("seed %d, b", seed), b.store, want)
		}
	}
}

// A peer that is a few changes behind is sent these and not the document; one
// that remembers nothing in common is sent all. Holds always travel whole.
func TestFewBytesForFewChanges(t *testing.T) {
	a := &forked{name: "a", store: &Store{}, rng: rand.New(rand.NewPCG(1, 1)), kinds: 4}
	for range 300 {
		a.step(t)
	}
	b := &Store{}
	if n := exchange(t, b, a.store); n < len(a.store.State())/2 {
		t.Errorf("a new process learnt all from %d bytes", n)
	}
	for _, behind := range []int{1, 4, maxPast / 2} {
		for range behind {
			a.step(t)
		}
		if n := exchange(t, a.store, b); n > 1500+600*behind {
			t.Errorf("%d changes took %d bytes", behind, n)
		}
		assertSame(t, fmt.Sprintf("%d behind", behind), b, a.store)
	}
}

// A difference is applied to another base than it was made for, or is damaged.
// Were it taken in, a process would act by a document that nobody has written,
// and spread it.
func TestWrongDifferenceIsNotTakenIn(t *testing.T) {
	a := &forked{name: "a", store: &Store{}, rng: rand.New(rand.NewPCG(2, 1)), kinds: 4}
	for range 30 {
		a.step(t)
	}
	b := &Store{}
	exchange(t, b, a.store)
	o := Order{ChangeID: "out-of-b", By: "operator", Change: TakeOut{Target: DataCentre("b")}}
	h, err := Apply(a.store.Current().Head(), o, time.UnixMicro(1))
	if err != nil {
		t.Fatal(err)
	}
	before := a.store.recall(a.store.Current().digest)
	a.store.Offer(h)
	msg := deltaFor(before, a.store.Current())
	damaged := bytes.Replace(msg, []byte(`"name":"b"`), []byte(`"name":"c"`), 1)
	elsewhere := bytes.Replace(msg, []byte(before.digest), []byte("00000000000000000000000000000000"), 1)
	for _, bad := range [][]byte{damaged, elsewhere} {
		if bytes.Equal(bad, msg) {
			t.Fatal("the message is as it was")
		}
		reply, _, err := b.Exchange(bad, nil)
		if err != nil {
			t.Fatal(err)
		}
		if b.Current().IsOut(DataCentre("c")) || b.Current().digest != before.digest {
			t.Error("a wrong difference was taken in")
		}
		if !bytes.Contains(reply, []byte(`"whole":true`)) {
			t.Errorf("the whole document was not asked for: %s", reply)
		}
		next, err := a.store.Finish(reply, nil)
		if err != nil || !bytes.Contains(next, []byte(`"head":`)) {
			t.Fatalf("the whole document was not sent: %v %s", err, next)
		}
	}
	exchange(t, a.store, b)
	assertSame(t, "after the exchange", b, a.store)
}
