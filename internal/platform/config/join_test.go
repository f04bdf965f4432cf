package config

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

var epoch = time.Unix(1_000_000, 0)

// naiveEvent is a change with all that its head had seen.
type naiveEvent struct {
	dot    Dot
	change Change
	first  bool // the first preset, which comes into force
	seen   map[Dot]bool
}

// naiveHead is the reference: the set of all changes, without any bound, from
// which everything is worked out anew.
type naiveHead map[Dot]naiveEvent

func (n naiveHead) clone() naiveHead {
	c := make(naiveHead, len(n))
	for d, e := range n {
		c[d] = e
	}
	return c
}

func (n naiveHead) apply(dot Dot, c Change) naiveHead {
	e := naiveEvent{dot: dot, change: c, seen: make(map[Dot]bool), first: len(n.presets()) == 0}
	for d := range n {
		e.seen[d] = true
	}
	m := n.clone()
	m[dot] = e
	return m
}

func (n naiveHead) join(o naiveHead) naiveHead {
	m := n.clone()
	for d, e := range o {
		m[d] = e
	}
	return m
}

func targetOf(c Change) (Target, bool) {
	switch c := c.(type) {
	case TakeOut:
		return c.Target, true
	case BringIn:
		return c.Target, true
	default:
		return Target{}, false
	}
}

// isOut reports whether there is an order to take the target out that no later
// order for it has seen.
func (n naiveHead) isOut(t Target) bool {
	for _, e := range n {
		if out, ok := e.change.(TakeOut); ok && out.Target == t && !n.ended(e) {
			return true
		}
	}
	return false
}

func (n naiveHead) ended(e naiveEvent) bool {
	t, _ := targetOf(e.change)
	for _, later := range n {
		if lt, ok := targetOf(later.change); ok && lt == t && later.seen[e.dot] {
			return true
		}
	}
	return false
}

func (n naiveHead) presets() map[string]Preset {
	m := make(map[string]Preset)
	for _, e := range n {
		put, ok := e.change.(PutPreset)
		if !ok {
			continue
		}
		p := Preset{name: put.Name, digest: Digest(put.Body), since: e.dot.generation}
		if p.after(m[put.Name]) {
			m[put.Name] = p
		}
	}
	return m
}

func (n naiveHead) inForce() string {
	name, since := "", uint64(0)
	for _, e := range n {
		s := ""
		switch c := e.change.(type) {
		case SwitchPreset:
			s = c.Name
		case PutPreset:
			if e.first {
				s = c.Name
			}
		}
		if s != "" && (e.dot.generation > since || e.dot.generation == since && s > name) {
			name, since = s, e.dot.generation
		}
	}
	return name
}

var joinTargets = []Target{DataCentre("a"), DataCentre("b"), Endpoint("a"), Endpoint("10.0.0.1:80")}

func wantModel(t *rapid.T, h Head, n naiveHead) {
	for d := range n {
		if !h.Accepted(d.changeID) || d.generation > h.Generation() {
			t.Fatalf("change %v is not in the head", d)
		}
	}
	for _, target := range joinTargets {
		if h.IsOut(target) != n.isOut(target) {
			t.Fatalf("%v is out: %v, want %v", target, h.IsOut(target), n.isOut(target))
		}
	}
	want := n.presets()
	for _, p := range h.Presets() {
		if want[p.name] != p {
			t.Fatalf("preset %v, want %v", p, want[p.name])
		}
	}
	if len(want) != len(h.Presets()) || h.inForce != n.inForce() {
		t.Fatalf("%d presets, %q in force, want %d and %q", len(h.Presets()), h.inForce, len(want), n.inForce())
	}
}

func drawChange(t *rapid.T) Change {
	target := rapid.SampledFrom(joinTargets).Draw(t, "target")
	name := rapid.SampledFrom([]string{"day", "peak"}).Draw(t, "name")
	switch rapid.IntRange(0, 5).Draw(t, "kind") {
	case 0:
		return PutPreset{Name: name, Body: []byte{rapid.Byte().Draw(t, "body")}}
	case 1:
		return SwitchPreset{Name: name}
	case 2, 3:
		return TakeOut{Target: target}
	default:
		return BringIn{Target: target}
	}
}

// TestJoinMatchesModel lets replicas change and join at random and compares
// each head with the reference after each step.
func TestJoinMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const replicas = 3
		var heads [replicas]Head
		var models [replicas]naiveHead
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			i := rapid.IntRange(0, replicas-1).Draw(t, "replica")
			if rapid.Bool().Draw(t, "join") {
				j := rapid.IntRange(0, replicas-1).Draw(t, "from")
				heads[i] = Newer(heads[i], heads[j])
				models[i] = models[i].join(models[j])
			} else {
				o := Order{ChangeID: fmt.Sprint("c", step), By: "op", Change: drawChange(t)}
				h, err := Apply(heads[i], o, epoch)
				if err != nil {
					continue
				}
				heads[i] = h
				models[i] = models[i].apply(h.dot, o.Change)
			}
			wantModel(t, heads[i], models[i])
			wantRoundTrip(t, heads[i])
		}
		wantLaws(t, heads[0], heads[1], heads[2])
	})
}

func wantRoundTrip(t *rapid.T, h Head) {
	b := h.Encode()
	d, err := DecodeHead(b)
	if err != nil || !bytes.Equal(d.Encode(), b) {
		t.Fatalf("%s decodes with error %v", b, err)
	}
}

func wantSame(t *rapid.T, law string, a, b Head) {
	if !bytes.Equal(a.Encode(), b.Encode()) {
		t.Fatalf("%s:\n%s\n%s", law, a.Encode(), b.Encode())
	}
}

func wantLaws(t *rapid.T, a, b, c Head) {
	ab := Newer(a, b)
	wantSame(t, "commutative", ab, Newer(b, a))
	wantSame(t, "idempotent", ab, Newer(ab, b))
	wantSame(t, "associative", Newer(ab, c), Newer(a, Newer(b, c)))
	if !Covers(ab, a) || !Covers(ab, b) || ab.Generation() != max(a.Generation(), b.Generation()) {
		t.Fatalf("the join does not cover its parts")
	}
}

func TestLongHistoryStaysBounded(t *testing.T) {
	h := Head{}
	for i := range 3 * maxSettled {
		c := Change(TakeOut{Target: DataCentre("a")})
		if i%2 == 1 {
			c = BringIn{Target: DataCentre("a")}
		}
		next, err := Apply(h, Order{ChangeID: fmt.Sprint("c", i), By: "op", Change: c}, epoch)
		if err != nil {
			t.Fatal(err)
		}
		if !Covers(next, h) || Covers(h, next) || Newer(h, next).Generation() != next.Generation() {
			t.Fatalf("generation %d does not follow", next.Generation())
		}
		h = next
	}
	if _, err := DecodeHead(h.Encode()); err != nil || len(h.recent) != maxRecent || len(h.Encode()) > MaxHead {
		t.Errorf("%d recent changes, %d bytes, error %v", len(h.recent), len(h.Encode()), err)
	}
}
