package capacity

import (
	"context"
	"testing"

	"github.com/hyssoprelay/hyssoprelay/internal/peer/spread"
	"github.com/hyssoprelay/hyssoprelay/internal/platform/config"
)

// An operator takes a data centre out at one entry. Were entries told by turns
// only, most of 670 would go on sending work there for seconds more, and where
// the reader of a data centre is cut off from the platform there is no other
// way. Rumours must reach nearly all, and a few turns the rest.
func TestChangeReachesAllEntriesWithinTurns(t *testing.T) {
	for _, n := range []int{1, 2, 3, 27, 190, 670} {
		h, body := headOf(64, 8)
		m := newMesh(n, spreadDataCentres, h, body)
		next := after(h, 1000, config.TakeOutOfService{Target: config.DataCentre("dc-1")})
		m.nodes[n/2].store.Merge(next)
		_, known, turns := m.spread(context.Background(), next.Generation(), true)
		if known*20 < n*19 {
			t.Errorf("rumours reach %d of %d entries", known, n)
		}
		if turns > 4 {
			t.Errorf("%d entries: %d turns until all know", n, turns)
		}
	}
}

// A data centre is cut off while operators make a change on each side. When
// the cut ends, both changes must be in force on both sides, though no entry
// learns anything new that would make it tell others at that moment.
func TestCutEndsAndBothSidesJoin(t *testing.T) {
	h, body := headOf(64, 8)
	m := newMesh(95, 19, h, body)
	m.cut["dc-3"] = true
	outer := after(h, 1000, config.TakeOutOfService{Target: config.DataCentre("dc-1")})
	inner := after(h, 2000, config.TakeOutOfService{Target: config.Endpoint("in-dc-3")})
	m.nodes[0].store.Merge(outer)
	m.nodes[3].store.Merge(inner)
	for range 10 {
		m.rumours(context.Background())
		m.turns(context.Background())
	}
	for _, e := range m.nodes {
		cut := e.self.DataCentre == "dc-3"
		s := e.store.Current()
		if s.IsOutOfService(config.DataCentre("dc-1")) == cut || s.IsOutOfService(config.Endpoint("in-dc-3")) != cut {
			t.Fatalf("%s in %s knows what the cut keeps from it, or not what it should", e.self.Name, e.self.DataCentre)
		}
	}
	m.cut["dc-3"] = false
	joined := func() bool {
		for _, e := range m.nodes {
			s := e.store.Current()
			if !s.IsOutOfService(config.DataCentre("dc-1")) || !s.IsOutOfService(config.Endpoint("in-dc-3")) {
				return false
			}
		}
		return true
	}
	for turn := 0; !joined(); turn++ {
		if turn == 18 {
			t.Fatal("not joined after 18 turns")
		}
		m.turns(context.Background())
		m.rumours(context.Background())
	}
}

// All readers of a data centre die at once, and the list of VMs still names
// them. Without entries that take their places, the data centre would hear of
// orders only through others, and its holds would not reach the platform while
// it is cut off from them.
func TestDeadReadersAreReplaced(t *testing.T) {
	h, body := headOf(2, 0)
	m := newMesh(60, 3, h, body)
	ctx := context.Background()
	for _, dc := range []string{"dc-0", "dc-1", "dc-2"} {
		if n := m.readers(dc); n != spread.ReadersPerDataCentre {
			t.Errorf("%s has %d readers, want %d", dc, n, spread.ReadersPerDataCentre)
		}
	}
	for _, e := range m.nodes {
		if e.self.DataCentre == "dc-0" && e.table.IsReader() {
			m.dead[e.self.Name] = true
		}
	}
	if m.readers("dc-0") != 0 {
		t.Fatal("a reader of dc-0 lives")
	}
	for range 24 {
		m.turns(ctx)
	}
	if n := m.readers("dc-0"); n != spread.ReadersPerDataCentre {
		t.Errorf("dc-0 has %d readers after the others died, want %d", n, spread.ReadersPerDataCentre)
	}
	clear(m.dead)
	for range 40 {
		m.turns(ctx)
	}
	if n := m.readers("dc-0"); n != spread.ReadersPerDataCentre {
		t.Errorf("dc-0 has %d readers after the others came back, want %d", n, spread.ReadersPerDataCentre)
	}
}
