package frontend

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/boottime"
	"github.com/hyssoprelay/hyssoprelay/internal/fleet/readers"
	"github.com/hyssoprelay/hyssoprelay/internal/peer"
	kv "github.com/hyssoprelay/hyssoprelay/internal/platform"
	"github.com/hyssoprelay/hyssoprelay/internal/platform/mirror"
	"github.com/hyssoprelay/hyssoprelay/internal/process"
	"github.com/hyssoprelay/hyssoprelay/internal/settings"
	"github.com/hyssoprelay/hyssoprelay/platform/standin"
)

// serves reports whether an entry has a configuration version in force.
func (e *entry) serves(version uint64) bool {
	t := e.belief.Table()
	return t != nil && t.Version() == version
}

// entries starts some entries of one data centre and waits until all know each other.
// Its tests don't run beside others: a dozen entries in one process take so much of
// it that answers of the stand-ins come too late for keys to be believed.
func (s *system) entries(n int) []*entry {
	s.t.Helper()
	out := make([]*entry, 0, n)
	for i := range n {
		out = append(out, s.start(fmt.Sprint("entry", i), s.store.Addr()))
	}
	s.t.Cleanup(func() { stopAll(out) })
	for _, e := range out {
		s.eventually("the entries know each other", func() bool { return e.others.count() == n })
	}
	return out
}

// stopAll stops entries at once: each takes some seconds to leave.
func stopAll(entries []*entry) {
	var wg sync.WaitGroup
	for _, e := range entries {
		wg.Go(e.stop)
	}
	wg.Wait()
}

// Five entries of a data centre hear of a configuration. Guards against calls to the
// store that grow with the fleet: one of them asks.
func TestOneEntryOfADataCentreFollowsTheStore(t *testing.T) {
	s := newSystem(t, 1)
	entries := s.entries(5)
	s.eventually("four of five hear it from another", func() bool {
		n := 0
		for _, e := range entries {
			if e.log.Has(`"from":"entry`) {
				n++
			}
		}
		return n == 4
	})
	for i := range 3 {
		s.store.Put("op/config", config(2+i, `"k1"`))
	}
	for _, e := range entries {
		s.eventually("the configuration is in force", func() bool { return e.serves(4) })
	}
	if n := s.store.Told("op/config"); n > 5+3 {
		t.Errorf("the store told the configuration %d times", n)
	}
}

// Twelve entries tell each other of their work through one of them, which stops.
// Guards against entries that know only of their own work from then on, and fill
// engines that others have filled.
func TestWorkIsKnownThroughAHub(t *testing.T) {
	const n = 12
	s := newSystem(t, 1)
	entries := s.entries(n)
	hub := entries[0].work.hub().Name
	left := make([]*entry, 0, n)
	for _, e := range entries {
		s.eventually("each entry hears of all others", func() bool { return e.belief.Informers() == n-1 })
		if e.Settings.Name != hub {
			left = append(left, e)
		}
	}
	for _, e := range entries {
		if e.Settings.Name == hub {
			e.stop()
		}
	}
	for _, e := range left {
		s.eventually("the others are heard of without it", func() bool { return e.belief.Informers() == n-2 })
	}
}

// The entry that follows the store stops, and the store turns all away for a while.
// Guards against a data centre that goes on with what it knew: an operator's change
// comes into force everywhere, and an endpoint that came back is known.
func TestEntriesFollowOnWithoutTheirReader(t *testing.T) {
	s := newSystem(t, 1)
	entries := s.entries(4)
	first := (&readers.Choice{Own: "entry0"}).Source(names(entries[0].others.all()), boottime.Now())
	left := make([]*entry, 0, len(entries))
	for i, e := range entries {
		if name := fmt.Sprint("entry", i); name == first || first == "" && i == 0 {
			e.stop()
			continue
		}
		left = append(left, e)
	}
	s.store.Put("op/config", config(2, `"k1"`))
	for _, e := range left {
		s.eventually("the change is in force", func() bool { return e.serves(2) })
	}
	s.store.SetFault(standin.Busy)
	s.eventually("an entry has noticed", func() bool {
		for _, e := range left {
			if e.basis.Lost() {
				return true
			}
		}
		return false
	})
	s.store.SetFault(standin.Well)
	s.store.Put("op/config", config(3, `"k1"`))
	for _, e := range left {
		s.eventually("the next change is in force", func() bool { return e.serves(3) })
		s.eventually("keys are believed", func() bool { return e.fresh.Age(boottime.Now()) < e.relay.KeyAge() })
	}
}

// A key is taken away while no entry reaches the store. Guards against entries that
// prove to each other, in a circle, that old knowledge is new.
func TestEntriesDoNotFreshenEachOther(t *testing.T) {
	s := newSystem(t, 1)
	entries := s.entries(4)
	s.store.SetFault(standin.Busy)
	s.store.Put("op/config", config(2, `"k2"`))
	time.Sleep(entries[0].relay.KeyAge() + 500*time.Millisecond)
	for i, e := range entries {
		if a := e.ask(context.Background(), "/look/1", fmt.Sprint("late", i), "k1"); a.status == 200 {
			t.Errorf("entry %d serves a key that was taken away", i)
		}
	}
}

// The store answers nobody for two seconds. Guards against entries that ask each other
// again and again, as fast as they are told that there is nothing to tell.
func TestOutageIsNotAskedForInALoop(t *testing.T) {
	const n, outage = 6, 2 * time.Second
	s := newSystem(t, 1)
	entries := s.entries(n)
	s.store.SetFault(standin.Busy)
	time.Sleep(outage)
	s.store.SetFault(standin.Well)
	for _, e := range entries {
		if asked := strings.Count(e.log.Text(), "entry does not reach the store"); asked > int(2*outage/awayPause) {
			t.Errorf("%s was told so %d times in %v", e.Settings.Name, asked, outage)
		}
	}
}

// An entry begins to ask the store after another one has lost it, and the store is
// back by then. Guards against endpoints that are taken for gone at once, since their
// entries lapsed in the outage: they are written again within two seconds.
func TestOutageSeenByAnotherIsAnOutage(t *testing.T) {
	// An endpoint that leaves while one entry alone is turned away gets nothing new
	// after two seconds, a pause for changes and the way of a request included.
	const lapseMost = 1700 * time.Millisecond
	for _, lost := range []bool{false, true} {
		f := &Frontend{Settings: &settings.Relay{}, Log: process.NewBoundedLog("entry", "a"), Output: io.Discard}
		f.Settings.PlatformAddresses = []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1")}
		f.build()
		f.conns = &peer.Conns{}
		ep := standin.StartEndpoint("i-1", 1)
		t.Cleanup(ep.Close)
		key, value := ep.Entry("s", "a", "ready")
		now := boottime.Now()
		f.apply(mirror.Update{Whole: true, Revision: 1, Asked: now, KVs: []kv.KeyValue{kv.NewKeyValue(key, value, 1, 0)}})
		f.lostElsewhere = lost
		f.apply(mirror.Update{Deleted: []string{key}, Revision: 2, Asked: now})
		if held := f.belief.Endpoints(boottime.Now()) == 1; held != lost {
			t.Errorf("store lost elsewhere %v: the endpoint is held %v", lost, held)
		}
		if held := f.belief.Endpoints(now.Add(lapseMost)) == 1; held {
			t.Errorf("store lost elsewhere %v: the endpoint is held for %v", lost, lapseMost)
		}
		if !f.copy.Returned().IsZero() != lost {
			t.Errorf("store lost elsewhere %v: others are told of its return at %v", lost, f.copy.Returned())
		}
	}
}
