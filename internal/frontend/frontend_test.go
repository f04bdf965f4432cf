package frontend

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/process"
	"github.com/hyssoprelay/hyssoprelay/internal/settings"
	logs "github.com/hyssoprelay/hyssoprelay/internal/standin"
	"github.com/hyssoprelay/hyssoprelay/internal/standin/line"
	"github.com/hyssoprelay/hyssoprelay/platform/standin"
)

func TestMain(m *testing.M) {
	process.QuietEventLoop()
	os.Exit(m.Run())
}

// config returns a configuration with a resumable stream, an order that must run once
// and an idempotent look-up, for an account with the given keys.
func config(version int, keys string) []byte {
	return fmt.Appendf(nil, `{"version":%d,"routes":[
	{"name":"stream","hostname":"h","prefix":"/stream/","kind":"streaming","timeoutMs":8000,"targetLatencyMs":500,
	 "service":"s","maxAttempts":2,"resumable":true,"gapTargetMs":120},
	{"name":"order","hostname":"h","prefix":"/order/","kind":"non_idempotent","timeoutMs":2000,"targetLatencyMs":300,
	 "service":"s","maxAttempts":1},
	{"name":"look","hostname":"h","prefix":"/look/","kind":"idempotent","timeoutMs":2000,"targetLatencyMs":300,
	 "service":"s","maxAttempts":2}],
	"services":[{"name":"s","healthPath":"/health","maxConnections":100}],
	"limits":{"maxBodyBytes":4194304},"tenants":[{"name":"t1","apiKeys":[%s]}]}`, version, keys)
}

// newLine starts a network line to an address, on which faults can be injected, and
// returns it with the address to connect to.
func newLine(t *testing.T, to string) (*line.Faulty, string) {
	t.Helper()
	l := &line.Faulty{To: to}
	return l, line.Start(t, l)
}

// system is a store with endpoints and entries.
type system struct {
	t         *testing.T
	store     *standin.Store
	endpoints []*standin.Endpoint
	// dial, when set, opens the entries' connections to each other.
	dial func(ctx context.Context, addr string) (net.Conn, error)
	// maxHostWait, when set, is the MaxHostWait of entries.
	maxHostWait time.Duration
	// handoverTime, when set, is the HandoverTime of the entries' relays.
	handoverTime time.Duration
}

func newSystem(t *testing.T, endpoints int) *system {
	t.Helper()
	s := &system{t: t, store: standin.NewStore()}
	t.Cleanup(s.store.Close)
	s.store.Put("op/config", config(1, `"k1","k2"`))
	for i := range endpoints {
		e := standin.StartEndpoint(fmt.Sprintf("i-%d", i), uint64(i+1))
		t.Cleanup(e.Close)
		s.endpoints = append(s.endpoints, e)
		s.put(e, "a", "ready")
	}
	return s
}

func (s *system) put(e *standin.Endpoint, dataCentre, state string) {
	key, value := e.Entry("s", dataCentre, state)
	s.store.Put(key, value)
}

// entry is a running entry process.
type entry struct {
	*Frontend
	log         *logs.Log
	begin, stop func()
}

// start starts an entry and waits until it is ready.
func (s *system) start(name, storeAddr string) *entry {
	s.t.Helper()
	e := s.listen(name, storeAddr)
	e.begin()
	s.eventually("the entry is ready", func() bool { return e.ready() == http.StatusOK })
	return e
}

// listen returns an entry that listens. It serves once begin is called.
func (s *system) listen(name, storeAddr string) *entry {
	s.t.Helper()
	local := netip.MustParseAddrPort(logs.LoopbackIP() + ":0")
	f := &Frontend{
		Settings: &settings.Relay{
			Process: settings.Process{
				Name: name, DataCentre: "a", PeerAddress: local,
				PlatformAddresses: []netip.AddrPort{netip.MustParseAddrPort(storeAddr)},
			},
			Bounds: settings.Bounds{
				ChangeApply: 2 * time.Second, KeyRevoke: 5 * time.Second, RetryShare: 0.2, RetrySlack: 500, RetryWindow: 10 * time.Second, Grace: 8 * time.Second,
			},
			CallerAddress: local, ReadyAddress: local, LineRate: 5e6,
		},
		Log: process.NewBoundedLog(name, "a"), MaxHostWait: cmp.Or(s.maxHostWait, time.Millisecond),
	}
	logOutput := &logs.Log{}
	f.Output = logOutput
	if err := f.Listen(); err != nil {
		s.t.Fatal(err)
	}
	f.peerConns.Dial = s.dial
	f.relay.HandoverTime = s.handoverTime
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	begin := func() { go func() { done <- f.Run(ctx) }() }
	var once sync.Once
	stop := func() {
		once.Do(func() {
			cancel()
			if err := <-done; err != nil {
				s.t.Errorf("%s: %v", name, err)
			}
		})
	}
	logs.Keep(s.t, name, logOutput.Text)
	s.t.Cleanup(stop)
	return &entry{Frontend: f, log: logOutput, begin: begin, stop: stop}
}

// eventually waits until cond holds. The time limit only ends a test that hangs; it
// does not check how long cond takes.
func (s *system) eventually(what string, cond func() bool) {
	s.t.Helper()
	end := time.Now().Add(20 * time.Second)
	for !cond() {
		if time.Now().After(end) {
			s.t.Fatalf("not: %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (e *entry) ready() int {
	resp, err := http.Get("http://" + e.ReadyAddress() + "/api/ready")
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

func (s *system) runs(id string) int {
	n := 0
	for _, e := range s.endpoints {
		n += e.Runs(id)
	}
	return n
}

func (s *system) wantStatus(resp response, status int) {
	s.t.Helper()
	if resp.err != nil || resp.status != status {
		s.t.Fatalf("status %d, %v, want %d: %s", resp.status, resp.err, status, resp.body)
	}
}

func TestRequestsAreServed(t *testing.T) {
	t.Parallel()
	s := newSystem(t, 2)
	e := s.start("entry1", s.store.Addr())
	ctx := context.Background()
	t.Run("an order", func(t *testing.T) {
		a := e.request(ctx, "/order/1?x=1", "o1", "k1")
		s.wantStatus(a, http.StatusOK)
		if s.runs("o1") != 1 || a.header.Get("X-Hyssoprelay-Replica-Seal") == "" {
			t.Fatalf("%d runs, %v", s.runs("o1"), a.header)
		}
	})
	t.Run("a stream", func(_ *testing.T) { s.wantWholeStream(e.request(ctx, "/stream/1", "s1", "k1"), 5) })
	t.Run("an unknown key", func(t *testing.T) {
		s.wantStatus(e.request(ctx, "/order/2", "o2", "wrong"), http.StatusUnauthorized)
		if s.runs("o2") != 0 {
			t.Fatal("the request ran")
		}
	})
	t.Run("an unknown route", func(_ *testing.T) { s.wantStatus(e.request(ctx, "/nowhere", "o3", "k1"), http.StatusNotFound) })
	t.Run("the account is forwarded without the key", func(t *testing.T) {
		s.wantStatus(e.request(ctx, "/look/1", "l1", "k1"), http.StatusOK)
		if s.endpoints[0].Account("l1")+s.endpoints[1].Account("l1") != "t1" {
			t.Fatal("wrong account")
		}
	})
}

// An endpoint runs an order and its connection breaks before the answer. Guards
// against running the order twice (a customer was sent two pallets): it must not be
// sent again, and its caller must not be told that it did not run.
func TestOrderWithLostResponseRunsOnce(t *testing.T) {
	t.Parallel()
	s := newSystem(t, 2)
	e := s.start("entry1", s.store.Addr())
	for _, ep := range s.endpoints {
		ep.Behave(standin.Resets)
	}
	s.wantStatus(e.request(context.Background(), "/order/1", "o1", "k1"), http.StatusBadGateway)
	if n := s.runs("o1"); n != 1 {
		t.Fatalf("the order ran %d times", n)
	}
}

// Every endpoint is full. The refusal must state that the order did not run, and when
// to retry.
func TestRefusedOrderDidNotRun(t *testing.T) {
	t.Parallel()
	s := newSystem(t, 2)
	e := s.start("entry1", s.store.Addr())
	for _, ep := range s.endpoints {
		ep.Behave(standin.Refuses)
	}
	a := e.request(context.Background(), "/order/1", "o1", "k1")
	s.wantStatus(a, http.StatusServiceUnavailable)
	if s.runs("o1") != 0 || a.header.Get("Retry-After") == "" {
		t.Fatalf("%d runs, %v", s.runs("o1"), a.header)
	}
}

// An endpoint fails a look-up. Guards against passing the failure on while another
// endpoint has the answer.
func TestIdempotentRequestIsRetriedElsewhere(t *testing.T) {
	t.Parallel()
	for name, b := range map[string]standin.Behaviour{"fails": standin.Fails, "resets the connection": standin.Resets, "refuses": standin.Refuses} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSystem(t, 2)
			e := s.start("entry1", s.store.Addr())
			s.endpoints[0].Behave(b)
			for i := range 4 {
				s.wantStatus(e.request(context.Background(), "/look/1", fmt.Sprint("l", i), "k1"), http.StatusOK)
			}
		})
	}
}

// A look-up may have run at an endpoint that closed the connection, and the next
// endpoint refuses it. Guards against telling the caller that it did not run.
func TestUnknownOutcomeIsNotReportedAsNotRun(t *testing.T) {
	t.Parallel()
	s := newSystem(t, 2)
	e := s.start("entry1", s.store.Addr())
	s.endpoints[0].Behave(standin.Resets)
	s.endpoints[1].Behave(standin.Refuses)
	for i := range 3 {
		a := e.request(context.Background(), "/look/1", fmt.Sprint("l", i), "k1")
		if s.runs(fmt.Sprint("l", i)) > 0 && a.status == http.StatusServiceUnavailable {
			t.Fatal("a request that ran is reported as not run")
		}
	}
}

// An endpoint crashes: its address refuses connections while its store entry remains.
// Guards against failed requests during that time.
func TestCrashedEndpointIsSkipped(t *testing.T) {
	t.Parallel()
	s := newSystem(t, 3)
	e := s.start("entry1", s.store.Addr())
	s.endpoints[1].Close()
	for i := range 12 {
		s.wantStatus(e.request(context.Background(), "/order/1", fmt.Sprint("o", i), "k1"), http.StatusOK)
	}
}

// An endpoint of another data centre resets its connections; the other endpoint must
// serve the requests. Then operators take that data centre out of service, and its
// endpoints must receive no more work.
func TestDataCentreIsCutOffAndTakenOut(t *testing.T) {
	t.Parallel()
	s := newSystem(t, 1)
	remote := standin.StartEndpoint("i-far", 9)
	t.Cleanup(remote.Close)
	s.endpoints = append(s.endpoints, remote)
	s.put(remote, "b", "ready")
	e := s.start("entry1", s.store.Addr())
	remote.Behave(standin.Resets)
	for i := range 4 {
		s.wantStatus(e.request(context.Background(), "/look/1", fmt.Sprint("l", i), "k1"), http.StatusOK)
	}
	remote.Behave(standin.Answers)
	s.store.Put("op/evacuate/b", []byte("{}"))
	s.eventually("the data centre order is in force", func() bool { return e.log.Has("data centre order in force") })
	before := remote.Runs("x")
	for range 20 {
		s.wantStatus(e.request(context.Background(), "/look/1", "x", "k1"), http.StatusOK)
	}
	if remote.Runs("x") != before {
		t.Fatal("an endpoint of a data centre out of service received work")
	}
}

// The store is unavailable. What is known must stay in force, and orders must still
// be served.
func TestStoreOutage(t *testing.T) {
	t.Parallel()
	s := newSystem(t, 2)
	e := s.start("entry1", s.store.Addr())
	s.store.SetFault(standin.Busy)
	s.eventually("the outage is noticed", func() bool { return e.log.Has("dependency lost") })
	s.wantStatus(e.request(context.Background(), "/order/1", "o1", "k1"), http.StatusOK)
	s.store.SetFault(standin.Well)
	s.eventually("the recovery is noticed", func() bool { return e.log.Has("dependency regained") })
}

// A key is revoked while the entry is cut off from the store. Guards against a former
// caller who orders on another's account: the entry must stop accepting keys in time.
// An entry whose peer reaches the store must go on serving the remaining keys.
func TestKeysWhileCutOff(t *testing.T) {
	t.Parallel()
	t.Run("without a peer, keys are refused", func(t *testing.T) {
		s := newSystem(t, 1)
		link, addr := newLine(t, s.store.Addr())
		e := s.start("entry1", addr)
		link.Set(line.Broken)
		s.store.Put("op/config", config(2, `"k1"`))
		revoked := time.Now()
		s.eventually("keys are refused", func() bool {
			sent := time.Since(revoked)
			a := e.request(context.Background(), "/order/1", "o1", "k2")
			if a.status == http.StatusOK && sent > e.Settings.Bounds.KeyRevoke {
				t.Fatalf("a request sent %v after its key was revoked was served", sent)
			}
			return a.status == http.StatusServiceUnavailable
		})
		if e.ready() == http.StatusOK {
			t.Fatal("the entry still reports ready")
		}
	})
	t.Run("with a peer, the change is received", func(t *testing.T) {
		s := newSystem(t, 1)
		link, addr := newLine(t, s.store.Addr())
		s.start("entry2", s.store.Addr())
		e := s.start("entry1", addr)
		s.eventually("the entries know each other", func() bool { return len(e.members.all()) == 2 })
		link.Set(line.Broken)
		s.store.Put("op/config", config(2, `"k1"`))
		s.eventually("the revoked key is refused as unknown", func() bool {
			return e.request(context.Background(), "/order/1", "o2", "k2").status == http.StatusUnauthorized
		})
		time.Sleep(3 * time.Second)
		s.wantStatus(e.request(context.Background(), "/order/1", "o3", "k1"), http.StatusOK)
	})
}

// An entry is stopped while it serves a stream and callers send new requests. Guards
// against interrupting any of them.
func TestDrainInterruptsNoRequest(t *testing.T) {
	t.Parallel()
	s := newSystem(t, 1)
	s.endpoints[0].Events, s.endpoints[0].Pause = 40, 50*time.Millisecond
	e := s.start("entry1", s.store.Addr())
	responses := make(chan response, 20)
	go func() { responses <- e.request(context.Background(), "/stream/1", "s1", "k1") }()
	s.eventually("the stream runs", func() bool { return s.runs("s1") == 1 })
	stopped := make(chan struct{})
	go func() {
		e.stop()
		close(stopped)
	}()
	s.eventually("the entry is not ready", func() bool { return e.ready() != http.StatusOK })
	a := e.request(context.Background(), "/look/1", "l1", "k1")
	s.wantStatus(a, http.StatusOK)
	if !a.close {
		t.Fatal("the caller is not asked to connect elsewhere")
	}
	s.wantWholeStream(<-responses, 40)
	<-stopped
}
