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

// modelChange is a change together with all changes that its head had seen.
type modelChange struct {
	dot    Dot
	change Change
	first  bool // first preset stored, which becomes the one in force
	seen   map[Dot]bool
}

// modelHead is the reference model: the unbounded set of all changes, from
// which every property is computed anew.
type modelHead map[Dot]modelChange

func (n modelHead) clone() modelHead {
	c := make(modelHead, len(n))
	for d, e := range n {
		c[d] = e
	}
	return c
}

func (n modelHead) apply(dot Dot, c Change) modelHead {
	e := modelChange{dot: dot, change: c, seen: make(map[Dot]bool), first: len(n.presets()) == 0}
	for d := range n {
		e.seen[d] = true
	}
	m := n.clone()
	m[dot] = e
	return m
}

func (n modelHead) join(o modelHead) modelHead {
	m := n.clone()
	for d, e := range o {
		m[d] = e
	}
	return m
}

func targetOf(c Change) (Target, bool) {
	switch c := c.(type) {
	case TakeOutOfService:
		return c.Target, true
	case ReturnToService:
		return c.Target, true
	default:
		return Target{}, false
	}
}

// isOutOfService reports whether the target has an order to take it out that no
// later order for the target has seen.
func (n modelHead) isOutOfService(t Target) bool {
	for _, e := range n {
		if out, ok := e.change.(TakeOutOfService); ok && out.Target == t && !n.superseded(e) {
			return true
		}
	}
	return false
}

func (n modelHead) superseded(e modelChange) bool {
	t, _ := targetOf(e.change)
	for _, later := range n {
		if lt, ok := targetOf(later.change); ok && lt == t && later.seen[e.dot] {
			return true
		}
	}
	return false
}

func (n modelHead) presets() map[string]Preset {
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

func (n modelHead) inForce() string {
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

func wantModel(t *rapid.T, h Head, n modelHead) {
	for d := range n {
		if !h.ListsChange(d.changeID) || d.generation > h.Generation() {
			t.Fatalf("change %v is missing in the head", d)
		}
	}
	for _, target := range joinTargets {
		if h.IsOutOfService(target) != n.isOutOfService(target) {
			t.Fatalf("%v is out of service: %v, want %v", target, h.IsOutOfService(target), n.isOutOfService(target))
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
		return TakeOutOfService{Target: target}
	default:
		return ReturnToService{Target: target}
	}
}

// Replicas change and join at random. Each head is compared with the model
// after each step.
func TestJoinMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const replicas = 3
		var heads [replicas]Head
		var models [replicas]modelHead
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			i := rapid.IntRange(0, replicas-1).Draw(t, "replica")
			if rapid.Bool().Draw(t, "join") {
				j := rapid.IntRange(0, replicas-1).Draw(t, "from")
				heads[i] = JoinHeads(heads[i], heads[j])
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
		t.Fatalf("%s did not survive decoding and encoding, error %v", b, err)
	}
}

func wantSame(t *rapid.T, law string, a, b Head) {
	if !bytes.Equal(a.Encode(), b.Encode()) {
		t.Fatalf("%s:\n%s\n%s", law, a.Encode(), b.Encode())
	}
}

func wantLaws(t *rapid.T, a, b, c Head) {
	ab := JoinHeads(a, b)
	wantSame(t, "commutative", ab, JoinHeads(b, a))
	wantSame(t, "idempotent", ab, JoinHeads(ab, b))
	wantSame(t, "associative", JoinHeads(ab, c), JoinHeads(a, JoinHeads(b, c)))
	if !Includes(ab, a) || !Includes(ab, b) || ab.Generation() != max(a.Generation(), b.Generation()) {
		t.Fatalf("the join does not include the joined heads")
	}
}

func TestLongHistoryStaysBounded(t *testing.T) {
	h := Head{}
	for i := range 3 * maxSettled {
		c := Change(TakeOutOfService{Target: DataCentre("a")})
		if i%2 == 1 {
			c = ReturnToService{Target: DataCentre("a")}
		}
		next, err := Apply(h, Order{ChangeID: fmt.Sprint("c", i), By: "op", Change: c}, epoch)
		if err != nil {
			t.Fatal(err)
		}
		if !Includes(next, h) || Includes(h, next) || JoinHeads(h, next).Generation() != next.Generation() {
			t.Fatalf("generation %d does not succeed the one before", next.Generation())
		}
		h = next
	}
	if _, err := DecodeHead(h.Encode()); err != nil || len(h.recent) != maxRecent || len(h.Encode()) > MaxHeadBytes {
		t.Errorf("%d recent changes, %d bytes, error %v", len(h.recent), len(h.Encode()), err)
	}
}
