package frontend

import (
	"fmt"
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

// 150 entries in five data centres report their work to each other. Guards against
// messages that grow with the square of the fleet and fill the lines between data
// centres: a hub sends at most 200 messages per second to its own data centre,
// whatever the number of entries, and to one entry of each other data centre a
// quarter as often.
func TestHubMessageRateIsBounded(t *testing.T) {
	for entries, want := range map[int]float64{0: 0, 2: 100, 9: 200, 29: 200, 63: 200} {
		if perSecond := float64(entries) / forwardInterval(entries).Seconds(); perSecond > want+1 {
			t.Errorf("a hub sends %.0f messages per second to %d entries, want at most %.0f", perSecond, entries, want)
		}
	}
	if forwardInterval(fanout.MaxSubgroupEntries) > maxReportInterval {
		t.Error("other entries would consider this one gone")
	}
}

// Every entry reports once, and the hubs forward the reports. Guards against an entry that
// gets a report twice or not at all, and against a hub whose messages, or whose interval,
// grow with its data centre and not with its subgroup: at a hundred entries one hub sent
// the reports of all to all, and at twice as long intervals as at fifty.
func TestEachReportReachesEachEntryOnce(t *testing.T) {
	for _, n := range []int{36, 107, 532, 1064} {
		tree := &fanout.Tree{MaxDirect: 1, MaxSize: fanout.MaxSubgroupEntries}
		var entries []fleet.Member
		for i := range n {
			entries = append(entries, fleet.Member{Name: fmt.Sprintf("e%04d", i), DataCentre: fmt.Sprint("dc", i%5)})
		}
		for _, from := range []fleet.Member{entries[0], entries[n/2], entries[n-1]} {
			received := map[string]int{}
			hub := tree.Delegate(tree.SubgroupOf(entries, from.Name))
			to := peersOf(tree, entries, hub)
			for _, m := range to.subgroup {
				received[m.Name]++
			}
			for _, next := range append(to.near, to.remote...) {
				for _, m := range peersOf(tree, entries, next).subgroup {
					received[m.Name]++
				}
			}
			for _, m := range entries {
				if received[m.Name] != 1 {
					t.Fatalf("%d entries: %s gets the report of %s %d times", n, m.Name, from.Name, received[m.Name])
				}
			}
			if d := forwardInterval(len(to.subgroup)); d > maxReportInterval/3 {
				t.Errorf("%d entries: the hub forwards every %v", n, d)
			}
		}
	}
}

// Guards against an entry that ends with its first report, because it knows no entry yet.
func TestFirstReportIsSentBeforeAnyEntryIsKnown(t *testing.T) {
	f := &Frontend{Settings: &settings.Relay{Process: settings.Process{Name: "a", DataCentre: "x"}}}
	f.workReporter = newWorkReporter(f)
	if hub := f.workReporter.hub(); hub.Name != "a" {
		t.Errorf("the hub is %q", hub.Name)
	}
	if to := f.workReporter.peers(); len(to.subgroup) != 1 || len(to.near)+len(to.remote) != 0 {
		t.Errorf("reports go to %v", to)
	}
}

// newWork returns a report of an entry; number grows with each report.
func newWork(name string, number uint64) *fleetpb.EntryWork {
	return &fleetpb.EntryWork{Name: name, Born: 1, Number: number}
}

func checkForwarded(t *testing.T, step string, got []*fleetpb.EntryWork, want ...uint64) {
	t.Helper()
	if len(got) != len(want) {
		t.Fatalf("%s: %d reports are forwarded, want %d", step, len(got), len(want))
	}
	for i, w := range got {
		if w.GetNumber() != want[i] {
			t.Errorf("%s: report %d of %s is forwarded, want %d", step, w.GetNumber(), w.GetName(), want[i])
		}
	}
}

// Guards against reports that are forwarded twice, in the wrong order, back to the
// data centre from which they came, or as newer than they are.
func TestHubForwardsNewestReports(t *testing.T) {
	h, now := &hub{}, time.Unix(1000, 0)
	h.add(newWork("a", 2), fleetpb.Passing_ALL, now)
	h.add(newWork("a", 1), fleetpb.Passing_ALL, now)
	h.add(newWork("b", 5), fleetpb.Passing_SUBGROUP, now)
	h.add(newWork("c", 9), fleetpb.Passing_NOBODY, now)
	now = now.Add(30 * time.Millisecond)
	checkForwarded(t, "subgroup", h.takeLocal(now), 2, 5)
	checkForwarded(t, "subgroup again", h.takeLocal(now))
	checkForwarded(t, "near", h.takeNear(now), 2)
	checkForwarded(t, "near again", h.takeNear(now))
	if !h.hasRemote() {
		t.Error("the last report is not queued for other data centres")
	}
	remote := h.takeRemote(now)
	checkForwarded(t, "far", remote, 2)
	if remote[0].GetAgeMicros() != 30_000 || h.hasRemote() {
		t.Errorf("forwarded with an age of %d µs, more reports queued: %v", remote[0].GetAgeMicros(), h.hasRemote())
	}
	h.add(remote[0], fleetpb.Passing_SUBGROUP, now)
	if age := h.takeLocal(now.Add(time.Millisecond))[0].GetAgeMicros(); age != 31_000 {
		t.Errorf("forwarded twice with an age of %d µs", age)
	}
}

// An entry's VM is replaced while the store drops the history in which its key
// vanished, and the others read a full listing. Guards against keeping the dead entry
// for as long as they run: they would send it work reports and count it when they
// divide the capacity of cold endpoints.
func TestEntryMissingFromListingIsRemoved(t *testing.T) {
	f := &Frontend{
		Settings: &settings.Relay{Process: settings.Process{
			Name: "a", PlatformAddresses: []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1")},
		}},
		Log: process.NewBoundedLog("a", "x"), Output: io.Discard,
	}
	f.peerConns = &peer.ConnPool{}
	f.build()
	key := func(name string) kv.KeyValue {
		m := fleet.Member{Kind: fleet.Entry, Name: name}
		return kv.NewKeyValue(m.Key(), []byte(`{"address":"127.0.0.1:2"}`), 1, 0)
	}
	f.apply(mirror.Update{Complete: true, KVs: []kv.KeyValue{key("a"), key("b"), key("c")}})
	f.apply(mirror.Update{Complete: true, KVs: []kv.KeyValue{key("b")}})
	if _, ok := f.members.all()["c"]; ok || f.members.count() != 1 {
		t.Errorf("the known entries are %v, want only b", f.members.all())
	}
	select {
	case <-f.leaseSuspect.Raised():
	default:
		t.Error("the process does not recheck its own lease")
	}
}

// Guards against a fleet that outgrows its hubs unnoticed: knowledge of others' work then
// only gets older.
func TestHubWarnsBeforeItsLineIsFull(t *testing.T) {
	const lineRate = 5e6
	var l hubLoad
	start := time.Now()
	for _, c := range []struct {
		sent  int
		after time.Duration
		warn  bool
	}{
		{sent: 1e6, warn: false},
		{sent: 3e6, warn: true},
		{sent: 3e6, after: time.Second, warn: false},
		{sent: 3e6, after: 2 * hubWarningInterval, warn: true},
	} {
		if _, warn := l.observe(c.sent, time.Second, lineRate, start.Add(c.after)); warn != c.warn {
			t.Errorf("%d bytes a second after %v: warning %v", c.sent, c.after, warn)
		}
	}
	if _, warn := (&hubLoad{}).observe(1e9, time.Second, 0, start); warn {
		t.Error("a warning though the line's rate is unknown")
	}
}

// A hub passes on a report. Guards against a field that it leaves out: the entries behind it would
// not learn of limits, demands or crashes.
func TestHubForwardsAllOfAReport(t *testing.T) {
	report := newWork("a", 1)
	report.Born = 7
	report.Works = []*fleetpb.Work{{Endpoint: "i-1", Running: 2}}
	report.Waiting = []string{"s"}
	report.ServiceWaiting = []*fleetpb.ServiceWaiting{{Service: "s", ByClass: []uint32{1}}}
	report.Limits = []*fleetpb.Limit{{Endpoint: "i-1", PerSecond: 3}}
	report.Cases = []*fleetpb.PartCase{{Part: "ab", Crashes: []*fleetpb.PartCrash{{Endpoint: "i-1"}}}}
	report.RequestCases = []*fleetpb.PartCase{{Part: "cd", Crashes: []*fleetpb.PartCrash{{Endpoint: "i-1"}}}}
	report.Demands = []*fleetpb.ServiceDemand{{Service: "s", PerSecond: 4}}
	fields := report.ProtoReflect().Descriptor().Fields()
	h, now := &hub{}, time.Unix(1000, 0)
	h.add(report, fleetpb.Passing_ALL, now)
	forwarded := h.takeRemote(now.Add(time.Millisecond))[0].ProtoReflect()
	for i := range fields.Len() {
		if !forwarded.Has(fields.Get(i)) {
			t.Errorf("%s is not forwarded", fields.Get(i).Name())
		}
	}
}
