package frontend

import (
	"io"
	"net/netip"
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/fleet"
	"github.com/hyssoprelay/hyssoprelay/internal/fleet/fanout"
	"github.com/hyssoprelay/hyssoprelay/internal/fleet/fleetpb"
	"github.com/hyssoprelay/hyssoprelay/internal/peer"
	kv "github.com/hyssoprelay/hyssoprelay/internal/platform"
	"github.com/hyssoprelay/hyssoprelay/internal/platform/mirror"
	"github.com/hyssoprelay/hyssoprelay/internal/process"
	"github.com/hyssoprelay/hyssoprelay/internal/settings"
)

// 150 entries in five data centres tell each other of their work. Guards against
// messages that grow with the square of the fleet, and fill the lines between data
// centres: a hub sends some 200 a second to its own, whatever their number, and four
// times as seldom one to each other data centre.
func TestTellingDoesNotGrowWithTheFleet(t *testing.T) {
	for near, want := range map[int]float64{0: 0, 2: 100, 9: 200, 29: 200, 63: 200} {
		if perSecond := float64(near) / passPause(near).Seconds(); perSecond > want+1 {
			t.Errorf("a hub sends %.0f messages a second to %d entries, want at most %.0f", perSecond, near, want)
		}
	}
	if passPause(fanout.BunchEntries) > tellAlways {
		t.Error("others would take this entry for gone")
	}
}

// workOf is what an entry told, with a number that grows.
func workOf(name string, number uint64) *fleetpb.EntryWork {
	return &fleetpb.EntryWork{Name: name, Born: 1, Number: number}
}

func checkPassed(t *testing.T, step string, got []*fleetpb.EntryWork, want ...uint64) {
	t.Helper()
	if len(got) != len(want) {
		t.Fatalf("%s: %d messages are passed on, want %d", step, len(got), len(want))
	}
	for i, w := range got {
		if w.GetNumber() != want[i] {
			t.Errorf("%s: message %d of %s is passed on, want %d", step, w.GetNumber(), w.GetName(), want[i])
		}
	}
}

// Guards against work that is passed on twice, in the wrong order, back to the data
// centre from which it came, or as newer than it is.
func TestHubPassesOnTheNewest(t *testing.T) {
	h, now := &hub{}, time.Unix(1000, 0)
	h.add(workOf("a", 2), fleetpb.Passing_ALL, now)
	h.add(workOf("a", 1), fleetpb.Passing_ALL, now)
	h.add(workOf("b", 5), fleetpb.Passing_DATA_CENTRE, now)
	h.add(workOf("c", 9), fleetpb.Passing_NOBODY, now)
	now = now.Add(30 * time.Millisecond)
	checkPassed(t, "near", h.takeNear(now), 2, 5)
	checkPassed(t, "near again", h.takeNear(now))
	if !h.waits() {
		t.Error("the last change doesn't reach other data centres")
	}
	far := h.takeFar(now)
	checkPassed(t, "far", far, 2)
	if far[0].GetAgeMicros() != 30_000 || h.waits() {
		t.Errorf("passed on as %d µs old, more waits: %v", far[0].GetAgeMicros(), h.waits())
	}
	h.add(far[0], fleetpb.Passing_DATA_CENTRE, now)
	if age := h.takeNear(now.Add(time.Millisecond))[0].GetAgeMicros(); age != 31_000 {
		t.Errorf("passed on twice as %d µs old", age)
	}
}

// An entry's VM is replaced while the store drops the history in which its key
// vanished. The others read the store whole; before, they went on telling the dead
// entry of their work, and counted it when they shared out what cold endpoints
// bear, for as long as they ran.
func TestEntryThatVanishedUnseenIsForgotten(t *testing.T) {
	f := &Frontend{
		Settings: &settings.Relay{Process: settings.Process{
			Name: "a", PlatformAddresses: []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1")},
		}},
		Log: process.NewBoundedLog("a", "x"), Output: io.Discard,
	}
	f.conns = &peer.Conns{}
	f.build()
	key := func(name string) kv.KeyValue {
		m := fleet.Member{Kind: fleet.Entry, Name: name}
		return kv.NewKeyValue(m.Key(), []byte(`{"address":"127.0.0.1:2"}`), 1, 0)
	}
	f.apply(mirror.Update{Whole: true, KVs: []kv.KeyValue{key("a"), key("b"), key("c")}})
	f.apply(mirror.Update{Whole: true, KVs: []kv.KeyValue{key("b")}})
	if _, ok := f.others.all()["c"]; ok || f.others.count() != 1 {
		t.Errorf("the entries known are %v", f.others.all())
	}
	select {
	case <-f.doubt.Raised():
	default:
		t.Error("the process does not doubt its own lease")
	}
}
