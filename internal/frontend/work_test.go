package frontend

import (
	"fmt"
	"io"
	"net/netip"
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/fleet"
	"github.com/hyssoprelay/hyssoprelay/internal/peer"
	kv "github.com/hyssoprelay/hyssoprelay/internal/platform"
	"github.com/hyssoprelay/hyssoprelay/internal/platform/mirror"
	"github.com/hyssoprelay/hyssoprelay/internal/process"
	"github.com/hyssoprelay/hyssoprelay/internal/settings"
)

// Each entry tells all others of its work: with 42 of them, as on a deployment of
// a hundred VMs, 1,700 messages every 20 ms would fill the lines between data
// centres. The time between them grows with the fleet, so that an entry sends and
// hears no more than in a fleet of ten.
func TestTellingDoesNotGrowWithTheFleet(t *testing.T) {
	for entries, want := range map[int]time.Duration{
		0: tellEvery, 9: tellEvery, fewEntries: tellEvery, 40: 4 * tellEvery, 640: 64 * tellEvery,
	} {
		if d := tellPause(entries); d != want {
			t.Errorf("%v between messages of %d entries, want %v", d, entries, want)
		}
	}
	if tellPause(640) > 2*time.Second {
		t.Error("others would take this entry for gone")
	}
}

// 42 entries in three data centres tell each other of their work. Those of other
// data centres hear of it more seldom, as bytes on the way there are dear; but what
// changed last reaches them too, though nothing changes after it.
func TestOtherDataCentresAreToldMoreSeldom(t *testing.T) {
	f := &Frontend{}
	x := &teller{frontend: f}
	for i := range 42 {
		f.others.set(fleet.Member{Name: fmt.Sprint(i)})
	}
	now := time.Unix(1000, 0)
	near, far := 0, 0
	for range 40 {
		near++
		if x.farDue(now) {
			far++
		}
		now = now.Add(tellPause(42))
	}
	if far < 9 || far > 11 {
		t.Errorf("others told %d times of %d", far, near)
	}
	for x.farDue(now) {
		now = now.Add(time.Millisecond)
	}
	if d := x.rest(now); d <= 0 || d > farPause(42) {
		t.Errorf("the last change waits for %v", d)
	}
	if farPause(fewEntries) != 0 {
		t.Error("in a small fleet others are told more seldom")
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
