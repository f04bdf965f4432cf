package frontend

import (
	"context"
	"fmt"
	"net/http"
	"regexp"
	"strings"
	"testing"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	"github.com/hyssoprelay/hyssoprelay/internal/fleet/fleetpb"
	"github.com/hyssoprelay/hyssoprelay/internal/holdback"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
	"github.com/hyssoprelay/hyssoprelay/platform/standin"
)

// classConfig returns a configuration in which streams have class 0, look-ups class 1 and orders
// class 2, with a second account whose key is k9.
func classConfig() []byte {
	return []byte(strings.NewReplacer(
		`"name":"stream",`, `"name":"stream","priority":0,`, `"name":"look",`, `"name":"look","priority":1,`,
		`"tenants":[`, `"tenants":[{"name":"t2","apiKeys":["k9"]},`,
	).Replace(string(config(2, `"k1"`))))
}

func newClassSystem(t *testing.T, endpoints int) *system {
	t.Helper()
	s := newSystem(t, endpoints)
	s.store.Put("op/config", classConfig())
	return s
}

// heldClass and heldAccount return the orders that hold back a class, or an account.
func heldClass(class int) *fleetpb.HoldOrder {
	return &fleetpb.HoldOrder{Target: &fleetpb.HoldTarget{Service: "s", Class: uint32(class)}, By: "op1"}
}

func heldAccount(name string) *fleetpb.HoldOrder {
	return &fleetpb.HoldOrder{Target: &fleetpb.HoldTarget{Account: name}, By: "op1"}
}

// hold gives an operator's order to an entry and returns the code of the result.
func (e *entry) hold(t *testing.T, o *fleetpb.HoldOrder, release bool) result.Code {
	t.Helper()
	reply, err := (&service{frontend: e.Frontend}).Holds(context.Background(), &fleetpb.HoldsRequest{Order: o, Release: release})
	if err != nil {
		t.Fatal(err)
	}
	return result.Code(reply.GetCode())
}

// holdIDs returns the IDs of the targets that an entry holds back.
func (e *entry) holdIDs() string {
	var ids []string
	for _, o := range e.state.Holds() {
		ids = append(ids, o.Target.ID())
	}
	return strings.Join(ids, " ")
}

// awaitHolds waits until entries hold back exactly the targets with the given IDs.
func (s *system) awaitHolds(want string, entries ...*entry) {
	s.t.Helper()
	for _, e := range entries {
		s.eventually(e.Settings.Name+" holds back "+want, func() bool { return e.holdIDs() == want })
	}
}

// wantHeldBack checks that a request is refused as held back and was not run.
func (s *system) wantHeldBack(e *entry, path, id, key string) {
	s.t.Helper()
	resp := e.request(context.Background(), path, id, key)
	s.wantStatus(resp, http.StatusServiceUnavailable)
	if s.runs(id) != 0 || resp.header.Get("Retry-After") == "" || resp.header.Get("X-Result-Code") != "2025" {
		s.t.Errorf("%d runs, header %v", s.runs(id), resp.header)
	}
}

// wantServed checks that a request is served.
func (s *system) wantServed(e *entry, path, id, key string) {
	s.t.Helper()
	s.wantStatus(e.request(context.Background(), path, id, key), http.StatusOK)
}

// An operator holds back a class and an account at one entry and releases them at another; a third
// one starts meanwhile. Guards against entries that do not learn of an order or of its end, and
// against orders that cover other requests.
func TestHoldsReachAllEntries(t *testing.T) {
	s := newClassSystem(t, 2)
	entries := s.startEntries(2)
	if code := entries[0].hold(t, heldClass(1), false); code != result.OK {
		t.Fatal(code)
	}
	s.awaitHolds("class/s/1", entries...)
	third := s.start("entry2", s.store.Addr())
	entries = append(entries, third)
	s.awaitHolds("class/s/1", third)
	for i, e := range entries {
		s.wantHeldBack(e, "/look/1", fmt.Sprint("l", i), "k1")
		s.wantServed(e, "/order/1", fmt.Sprint("o", i), "k1")
	}
	if code := third.hold(t, heldAccount("t2"), false); code != result.OK {
		t.Fatal(code)
	}
	s.awaitHolds("account/t2 class/s/1", entries...)
	if code := third.hold(t, heldClass(1), true); code != result.OK {
		t.Fatal(code)
	}
	s.awaitHolds("account/t2", entries...)
	for i, e := range entries {
		s.wantHeldBack(e, "/order/1", fmt.Sprint("p", i), "k9")
		s.wantServed(e, "/look/1", fmt.Sprint("m", i), "k1")
		if !e.log.Has("hold in force") || !e.log.Has("hold released") && i < 2 {
			t.Errorf("%s logs no change", e.Settings.Name)
		}
	}
	stopAll([]*entry{third})
}

// A request waits for a slot when its class is held back. Guards against holding it until its
// deadline.
func TestWaitingRequestsAreRefusedWhenHeldBack(t *testing.T) {
	t.Parallel()
	s := newClassSystem(t, 1)
	e := s.start("entry0", s.store.Addr())
	s.eventually("the classes are known", func() bool { return e.state.Table().Classes("s") == 3 })
	send := func() response { return e.request(context.Background(), "/order/1", "q", "k1") }
	refuse := func() {
		if code := e.hold(t, heldClass(2), false); code != result.OK {
			t.Fatal(code)
		}
	}
	s.wantRefusedWhileItWaits(e, send, refuse, "2025")
}

// A request waits for a slot in vain. Guards against metrics and log lines that don't tell its class
// and on what it waited.
func TestClassIsCountedAndLogged(t *testing.T) {
	t.Parallel()
	s := newClassSystem(t, 1)
	e := s.start("entry0", s.store.Addr())
	s.eventually("the classes are known", func() bool { return e.state.Table().Classes("s") == 3 })
	count := func(name string) int64 { return e.Registry.Get("relay.class.s." + name).(metrics.Counter).Count() }
	refuse := func() {
		if n := e.Registry.Get("relay.class.s.2.waiting").(metrics.Gauge).Value(); n != 1 {
			t.Errorf("%d wait", n)
		}
		if code := e.hold(t, heldClass(2), false); code != result.OK {
			t.Fatal(code)
		}
	}
	send := func() response { return e.request(context.Background(), "/order/1", "q", "k1") }
	s.wantRefusedWhileItWaits(e, send, refuse, "2025")
	s.eventually("requests are counted", func() bool { return count("1.started") == 10 && count("2.refused") == 1 && count("2.started") == 0 })
	line := regexp.MustCompile(`"class":2,[^\n]*"request":"q"[^\n]*"waited":[0-9]+,"waitedFor":"endpointBusy"`)
	s.eventually("the line is logged", func() bool { return line.MatchString(e.log.Text()) })
}

// The store is unavailable while an order is in force, and while one is given and one released.
// Guards against an order that ends with the store, and against an operator who is told that an order
// was made, or not made, when it was the other way round.
func TestHoldsWhileTheStoreIsUnavailable(t *testing.T) {
	t.Parallel()
	s := newClassSystem(t, 1)
	e := s.start("entry0", s.store.Addr())
	if code := e.hold(t, heldClass(1), false); code != result.OK {
		t.Fatal(code)
	}
	s.awaitHolds("class/s/1", e)
	s.store.SetFault(standin.Busy)
	s.eventually("the outage is noticed", func() bool { return e.log.Has("dependency lost") })
	s.wantHeldBack(e, "/look/1", "l1", "k1")
	for _, release := range []bool{false, true} {
		if code := e.hold(t, heldClass(1), release); code != result.PlatformRefused {
			t.Errorf("release %v: code %d", release, code)
		}
	}
	s.wantHeldBack(e, "/look/1", "l2", "k1")
	s.store.SetFault(standin.Well)
	s.eventually("the recovery is noticed", func() bool { return e.log.Has("dependency regained") })
	s.wantHeldBack(e, "/look/1", "l3", "k1")
	s.store.SetFault(standin.LostAnswers)
	if code := e.hold(t, heldAccount("t2"), false); code != result.WriteUnknown {
		t.Errorf("lost answer: code %d", code)
	}
	s.store.SetFault(standin.Well)
	s.awaitHolds("account/t2 class/s/1", e)
}

// Guards against orders that are accepted although they mean nothing, or something else than was
// meant: a mistyped name would hold back nothing, unnoticed.
func TestMalformedHoldOrdersChangeNothing(t *testing.T) {
	t.Parallel()
	s := newClassSystem(t, 1)
	e := s.start("entry0", s.store.Addr())
	s.eventually("the classes are known", func() bool { return e.state.Table().Classes("s") == 3 })
	for name, o := range map[string]*fleetpb.HoldOrder{
		"no target":         {},
		"empty target":      {Target: &fleetpb.HoldTarget{}},
		"both targets":      {Target: &fleetpb.HoldTarget{Service: "s", Account: "t1"}},
		"class of account":  {Target: &fleetpb.HoldTarget{Class: 1, Account: "t1"}},
		"unknown service":   {Target: &fleetpb.HoldTarget{Service: "S"}},
		"unknown account":   heldAccount("t3"),
		"unknown class":     heldClass(3),
		"class too large":   {Target: &fleetpb.HoldTarget{Service: "s", Class: 1 << 31}},
		"long name":         heldAccount(strings.Repeat("x", 1000)),
		"operator with LF":  {Target: heldClass(1).GetTarget(), By: "a\nb"},
		"broken UTF-8 name": heldAccount("\xff"),
	} {
		if code := e.hold(t, o, false); code != result.MalformedOrder {
			t.Errorf("%s: code %d", name, code)
		}
	}
	if keys := s.store.Keys(holdPrefix); len(keys) != 0 || e.holdIDs() != "" {
		t.Errorf("keys %v, in force %q", keys, e.holdIDs())
	}
	if code := e.hold(t, heldAccount("t3"), true); code != result.OK {
		t.Errorf("release of what the configuration no longer has: code %d", code)
	}
}

// Another writer leaves orders in the store that can't be read, one of them over an order in force.
// Guards against an entry that holds back something else, ends what is in force, or stops reading.
func TestMalformedHoldsInTheStoreChangeNothing(t *testing.T) {
	t.Parallel()
	s := newClassSystem(t, 1)
	e := s.start("entry0", s.store.Addr())
	if code := e.hold(t, heldClass(1), false); code != result.OK {
		t.Fatal(code)
	}
	s.awaitHolds("class/s/1", e)
	other := mustMarshal(t, heldClass(2))
	bad := map[string][]byte{
		"class/s/1": []byte("\xff\xff"), "class/s/0": nil, "class/s/2": []byte("{}"), "class/s/9": other,
		"account/t1": other, "": other, "class/s/02": other, "account/%zz": nil,
	}
	for id, value := range bad {
		s.store.Put(holdPrefix+id, value)
	}
	s.store.Put(holdKey(holdback.Account{Name: "t2"}), mustMarshal(t, heldAccount("t2")))
	s.awaitHolds("account/t2 class/s/1", e)
	malformed := func() int { return int(e.holdsMalformed.Count()) }
	s.eventually("all are counted", func() bool { return malformed() >= len(bad) })
	if !e.log.Has("malformed hold in the store ignored") {
		t.Error("no log line")
	}
	s.wantHeldBack(e, "/look/1", "l1", "k1")
	s.wantServed(e, "/order/1", "o1", "k1")
	// The entry misses a release and lists the store.
	listings := strings.Count(e.log.Text(), "full store listing applied")
	s.store.SetFault(standin.Busy)
	s.store.Remove(holdKey(holdback.Account{Name: "t2"}))
	s.store.Compact()
	s.store.SetFault(standin.Well)
	s.awaitHolds("class/s/1", e)
	s.eventually("the store is listed", func() bool { return strings.Count(e.log.Text(), "full store listing applied") > listings })
	s.wantHeldBack(e, "/look/1", "l2", "k1")
	s.store.Remove(holdPrefix + "class/s/1")
	s.awaitHolds("", e)
}

func mustMarshal(t *testing.T, m proto.Message) []byte {
	t.Helper()
	b, err := proto.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	return b
}
