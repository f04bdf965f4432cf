package frontend

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"github.com/hyssoprelay/hyssoprelay/internal/boottime"
	"github.com/hyssoprelay/hyssoprelay/internal/directory"
	"github.com/hyssoprelay/hyssoprelay/internal/fleet/fanout"
	"github.com/hyssoprelay/hyssoprelay/internal/fleet/fleetpb"
	"github.com/hyssoprelay/hyssoprelay/internal/relay"
	"github.com/hyssoprelay/hyssoprelay/platform/standin"
)

const promptWithPart = "f1:40,bad1:100,99:200"

// order gives an operator's order about a part to an entry.
func (e *entry) order(part string, refuse bool) error {
	return e.give(&fleetpb.PartOrder{Part: part, Refuse: refuse})
}

// give gives an operator's order to an entry.
func (e *entry) give(o *fleetpb.PartOrder) error {
	_, err := (&service{frontend: e.Frontend}).Parts(context.Background(), &fleetpb.PartsRequest{Order: o})
	return err
}

// goneEndpoint returns an assignment to the i-th of endpoints that have ended.
func goneEndpoint(i int) relay.Assignment {
	return relay.Assignment{Endpoint: directory.Endpoint{Entry: directory.Entry{ID: fmt.Sprint("gone-", i), StartMillis: uint64(i)}}}
}

// longNamedEndpoint is goneEndpoint for endpoints with IDs as long as those of the platform.
func longNamedEndpoint(i int, now time.Time) relay.Assignment {
	return relay.Assignment{Endpoint: directory.Endpoint{Entry: directory.Entry{ID: fmt.Sprintf("i-%010x", i*7919), StartMillis: uint64(now.UnixMilli())}}}
}

// wantRefusedWhileItWaits checks that a request that send sends, under the ID q, and that waits for a
// slot, is refused as not run with a code once refuse is called.
func (s *system) wantRefusedWhileItWaits(e *entry, send func() response, refuse func(), code string) {
	s.t.Helper()
	s.endpoints[0].Behave(standin.Hangs)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	const slots = 10 // six, and four in the endpoint's queue
	for i := range slots {
		go e.request(ctx, "/look/busy", fmt.Sprint("busy", i), "k1")
	}
	s.eventually("all slots are taken", func() bool { return len(s.endpoints[0].Arrivals()) == slots })
	done := make(chan response, 1)
	go func() { done <- send() }()
	s.eventually("the request waits", func() bool { return len(e.state.WaitingServices()) == 1 })
	refuse()
	resp := <-done
	s.wantStatus(resp, http.StatusServiceUnavailable)
	if got := resp.header.Get("X-Result-Code"); got != code || s.runs("q") != 0 {
		s.t.Errorf("code %s, %d runs", got, s.runs("q"))
	}
}

// wantPartRefused checks that a request with the part is refused as not run.
func (s *system) wantPartRefused(e *entry, id string) {
	s.t.Helper()
	resp := e.requestWithPrompt(context.Background(), "/look/1", id, "k1", promptWithPart)
	s.wantStatus(resp, http.StatusServiceUnavailable)
	if s.runs(id) != 0 || resp.header.Get("Retry-After") == "" || resp.header.Get("X-Result-Code") != "2023" {
		s.t.Errorf("%d runs, header %v", s.runs(id), resp.header)
	}
}

// An operator has a part refused at one entry, and lifts that at another. A third one starts
// meanwhile. Guards against entries that do not learn of either.
func TestPartOrdersReachAllEntries(t *testing.T) {
	s := newSystem(t, 2)
	entries := s.startEntries(2)
	if err := entries[0].order("bad1", true); err != nil {
		t.Fatal(err)
	}
	refused := func(e *entry, want int) func() bool {
		return func() bool { return e.state.RefusedParts(boottime.Now()) == want }
	}
	s.eventually("the other entry refuses the part", refused(entries[1], 1))
	third := s.start("entry2", s.store.Addr())
	s.eventually("an entry that has started refuses the part", refused(third, 1))
	for i, e := range append(entries, third) {
		s.wantPartRefused(e, fmt.Sprint("q", i))
	}
	s.wantStatus(third.requestWithPrompt(context.Background(), "/look/1", "q9", "k1", "f1:40,99:200"), http.StatusOK)
	if err := third.order("bad1", false); err != nil {
		t.Fatal(err)
	}
	for i, e := range append(entries, third) {
		s.eventually("the order is lifted", refused(e, 0))
		s.wantStatus(e.requestWithPrompt(context.Background(), "/look/1", fmt.Sprint("l", i), "k1", promptWithPart), http.StatusOK)
	}
	stopAll([]*entry{third})
}

// A message names a part that no caller can have sent. Guards against orders that do nothing and
// cases that fill the table.
func TestPartsOfMessagesAreChecked(t *testing.T) {
	t.Parallel()
	s := newSystem(t, 1)
	e := s.start("entry0", s.store.Addr())
	if err := e.order("NOT HEX", true); status.Code(err) != codes.InvalidArgument {
		t.Errorf("%v", err)
	}
	told := []*fleetpb.PartCase{{Part: "not hex", Ordered: 1}}
	if got := decodeCases(told, boottime.Now()); len(got) != 0 {
		t.Errorf("%+v", got)
	}
}

// A request waits for a slot when a part of its prompt becomes known to be fatal. Guards against
// holding it, and against sending it as soon as there is a slot.
func TestWaitingRequestsWithARefusedPartAreRefusedAtOnce(t *testing.T) {
	t.Parallel()
	s := newSystem(t, 1)
	e := s.start("entry0", s.store.Addr())
	send := func() response {
		return e.requestWithPrompt(context.Background(), "/look/1", "q", "k1", promptWithPart)
	}
	refuse := func() {
		if err := e.order("bad1", true); err != nil {
			t.Fatal(err)
		}
	}
	s.wantRefusedWhileItWaits(e, send, refuse, "2023")
}

// A thousand endpoints end within a second under requests with many parts. Guards against messages
// between entries that grow with what callers send.
func TestSizeOfManyCasesIsBounded(t *testing.T) {
	const maxWorkBytes, maxExchangeBytes = 8 * 400, 16 * 400
	now := boottime.Now()
	st := &relay.State{Name: "entry0"}
	st.Init(now)
	for i := range 1000 {
		parts := []string{fmt.Sprintf("%016x", i), fmt.Sprintf("%016x", i%7), "fatal"}
		st.RecordCrash(longNamedEndpoint(i, now), relay.Subjects{Account: "account", Parts: parts, Fingerprint: fmt.Sprint(i)}, false, now.Add(time.Duration(i)*time.Millisecond/4))
	}
	now = now.Add(250 * time.Millisecond)
	one := st.Cases().Parts[:1]
	t.Logf("a case of %d ends takes %d bytes", len(one[0].Crashes), proto.Size(&fleetpb.PartsRequest{Cases: encodeCases(one, now)}))
	if n := proto.Size(&fleetpb.EntryWork{Cases: encodeCases(st.RecentCases(now).Parts, now)}); n > maxWorkBytes || n == 0 {
		t.Errorf("a report takes %d bytes, want at most %d", n, maxWorkBytes)
	}
	if n := proto.Size(&fleetpb.PartsRequest{Cases: encodeCases(st.Cases().Parts, now)}); n > maxExchangeBytes || n == 0 {
		t.Errorf("an exchange takes %d bytes, want at most %d", n, maxExchangeBytes)
	}
}

// All entries are killed at once while a part is refused. Guards against learning anew, from further
// crashes, what the fleet knew, and against keys that outlive the refusal.
func TestRefusedPartsOutliveARestartOfAllEntries(t *testing.T) {
	s := newSystem(t, 2)
	entries := s.startEntries(2)
	now := boottime.Now()
	for i := range 3 {
		entries[i%2].state.RecordCrash(goneEndpoint(i), relay.Subjects{Account: "t1", Parts: []string{"bad1"}, Fingerprint: fmt.Sprint(i)}, false, now.Add(time.Duration(i-3)*time.Second))
	}
	stored := func() int { return len(s.store.Keys(refusedPartPrefix)) }
	s.eventually("the part is stored", func() bool { return stored() == 1 })
	stopAll(entries)
	entries = s.startEntries(2)
	for i, e := range entries {
		s.wantPartRefused(e, fmt.Sprint("q", i))
	}
	if err := entries[0].order("bad1", false); err != nil {
		t.Fatal(err)
	}
	s.eventually("the key is deleted", func() bool { return stored() == 0 })
	for i, e := range entries {
		s.wantStatus(e.requestWithPrompt(context.Background(), "/look/1", fmt.Sprint("l", i), "k1", promptWithPart), http.StatusOK)
	}
}

// Three endpoints end under requests of three entries of a fleet in which reports go through hubs.
// Guards against entries that do not learn of each other's crashes there.
func TestCrashesAreKnownToAllEntriesOfALargerFleet(t *testing.T) {
	const n = fanout.MaxDirectEntries + 2
	s := newSystem(t, 1)
	entries := s.startEntries(n)
	now := boottime.Now()
	for i := range 3 {
		entries[i*4].state.RecordCrash(goneEndpoint(i), relay.Subjects{Account: "t1", Parts: []string{"bad1"}, Fingerprint: fmt.Sprint(i)}, false, now.Add(time.Duration(i-3)*time.Second))
	}
	for _, e := range entries {
		s.eventually("each entry refuses the part", func() bool { return e.state.RefusedParts(boottime.Now()) == 1 })
	}
	if !entries[1].log.Has("prompt part refused from now on") {
		t.Error("no log line names the part")
	}
}
