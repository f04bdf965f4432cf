package frontend

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/hyssoprelay/hyssoprelay/internal/boottime"
	"github.com/hyssoprelay/hyssoprelay/internal/caller"
	"github.com/hyssoprelay/hyssoprelay/internal/fleet"
	"github.com/hyssoprelay/hyssoprelay/internal/fleet/fanout"
	"github.com/hyssoprelay/hyssoprelay/internal/fleet/fleetpb"
	"github.com/hyssoprelay/hyssoprelay/internal/quarantine"
	"github.com/hyssoprelay/hyssoprelay/internal/relay"
	"github.com/hyssoprelay/hyssoprelay/internal/settings"
)

const testFingerprint = "0123456789abcdef0123456789abcdef"

// endUnder has an entry record and announce that the i-th endpoint ended under a request.
func (e *entry) endUnder(i int) {
	s := relay.Subjects{Account: "t1", Fingerprint: testFingerprint}
	e.announceEnd(context.Background(), e.state.RecordEnd(goneEndpoint(i), s, time.Minute, boottime.Now()))
}

// waitUntilAllKnown waits until each entry knows all.
func (s *system) waitUntilAllKnown(entries []*entry) {
	for _, e := range entries {
		s.eventually("the entries know each other", func() bool { return e.members.count() == len(entries) })
	}
}

// Endpoints end under a request at one entry after the other. Guards against an entry that answers its
// caller before the others know, so that the caller's next attempt is sent once more: the ends must be
// known when announceEnd returns.
func TestEndsAreKnownBeforeTheCallerIsAnswered(t *testing.T) {
	for name, n := range map[string]int{"few entries": 3, "entries in subgroups": fanout.MaxDirectEntries + 2} {
		t.Run(name, func(t *testing.T) {
			s := newSystem(t, 1)
			entries := s.startEntries(n)
			s.waitUntilAllKnown(entries)
			for i := range 3 {
				entries[i].endUnder(i)
			}
			for _, e := range entries {
				if !e.state.RequestRefused(testFingerprint, boottime.Now()) {
					t.Errorf("%s does not refuse the request: %+v", e.Settings.Name, e.state.KnownOfRequest(testFingerprint))
				}
			}
		})
	}
}

// An entry has stopped when an endpoint ends. Guards against requests that wait for it again and again.
func TestEntryThatDoesNotAnswerIsWaitedForOnce(t *testing.T) {
	var s silentEntries
	now := boottime.Now()
	s.note("a", false, now)
	if !s.has("a", now.Add(time.Second)) || s.has("a", now.Add(silentPause)) || s.has("b", now) {
		t.Errorf("%+v", s.since)
	}
	s.note("a", true, now)
	if s.has("a", now) {
		t.Error("an entry that has answered is not waited for")
	}
}

// A request waits for a slot when the third endpoint ends under another copy of it. Guards against
// holding it, and against sending it as soon as there is a slot.
func TestWaitingCopyOfARefusedRequestIsRefusedAtOnce(t *testing.T) {
	t.Parallel()
	s := newSystem(t, 1)
	e := s.start("entry0", s.store.Addr())
	raw := &caller.RawRequest{Method: http.MethodGet, Host: "h", Target: "/look/1"}
	send := func() response { return e.request(context.Background(), "/look/1", "q", "k1") }
	refuse := func() { e.state.OrderRequest(relay.Fingerprint("t1", raw, "\n\n"), true, boottime.Now()) }
	s.wantRefusedWhileItWaits(e, send, refuse, "2024")
}

// An operator has a request refused at one entry, and lifts that at another. Guards against entries that
// do not learn of either.
func TestRequestOrdersReachAllEntries(t *testing.T) {
	t.Parallel()
	s := newSystem(t, 1)
	entries := s.startEntries(2)
	order := func(e *entry, refuse bool) {
		if err := e.give(&fleetpb.PartOrder{Part: testFingerprint, Refuse: refuse, Request: true}); err != nil {
			t.Fatal(err)
		}
	}
	refused := func(e *entry, want int) func() bool {
		return func() bool { return e.state.RefusedRequests(boottime.Now()) == want }
	}
	order(entries[0], true)
	s.eventually("the other entry refuses the request", refused(entries[1], 1))
	order(entries[1], false)
	s.eventually("the order is lifted", refused(entries[0], 0))
	if n := entries[0].state.RefusedParts(boottime.Now()); n != 0 {
		t.Errorf("%d parts refused", n)
	}
}

// Three endpoints end under a request. Guards against announcements that grow with what callers send, and
// against a sender whose messages grow with the fleet: it tells one entry of each subgroup.
func TestAnnouncementOfAnEndIsBounded(t *testing.T) {
	const maxBytes = 300
	now := boottime.Now()
	st := &relay.State{Name: "entry0"}
	st.Init(now)
	for i := range quarantine.CrashesToRefuse {
		s := relay.Subjects{Account: "account", Fingerprint: testFingerprint}
		c := st.RecordEnd(longNamedEndpoint(i, now), s, time.Second, now)
		q := &fleetpb.EndedRequest{RequestCases: encodeCases([]quarantine.Case{c}, now), To: fleetpb.Passing_SUBGROUP}
		t.Logf("%d ends: %d bytes", len(c.Crashes), proto.Size(q))
		if n := proto.Size(q); n > maxBytes {
			t.Errorf("%d bytes, want at most %d", n, maxBytes)
		}
	}
	for n, want := range map[int]int{36: 5, 107: 5, 532: 10, 1064: 20} {
		f := fleetOf(n)
		if got := len(f.subgroupDelegates()); got != want {
			t.Errorf("%d entries: %d are told, want %d", n, got, want)
		}
	}
}

// fleetOf returns an entry that knows n entries in five data centres, itself included.
func fleetOf(n int) *Frontend {
	f := &Frontend{Settings: &settings.Relay{Process: settings.Process{Name: "e0000", DataCentre: "dc0"}}}
	f.workReporter = newWorkReporter(f)
	for i := range n {
		f.members.put(fleet.Member{Name: fmt.Sprintf("e%04d", i), DataCentre: fmt.Sprint("dc", i%5)})
	}
	return f
}

// A thousand requests lose the endpoints that they had. Guards against messages between entries that
// grow with the number of requests.
func TestSizeOfManyRequestCasesIsBounded(t *testing.T) {
	const maxWorkBytes, maxExchangeBytes = 8 * 400, 16 * 400
	now := boottime.Now()
	st := &relay.State{Name: "entry0"}
	st.Init(now)
	for i := range 1000 {
		s := relay.Subjects{Account: "account", Fingerprint: fmt.Sprintf("%032x", i%100)}
		st.RecordEnd(longNamedEndpoint(i, now), s, time.Second, now.Add(time.Duration(i)*time.Millisecond/4))
	}
	now = now.Add(250 * time.Millisecond)
	if n := proto.Size(&fleetpb.EntryWork{RequestCases: encodeCases(st.RecentCases(now).Requests, now)}); n > maxWorkBytes || n == 0 {
		t.Errorf("a report takes %d bytes, want at most %d", n, maxWorkBytes)
	}
	if n := proto.Size(&fleetpb.PartsRequest{RequestCases: encodeCases(st.Cases().Requests, now)}); n > maxExchangeBytes || n == 0 {
		t.Errorf("an exchange takes %d bytes, want at most %d", n, maxExchangeBytes)
	}
}
