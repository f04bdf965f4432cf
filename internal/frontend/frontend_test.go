package frontend

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
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

// config has a resumable stream, an order that runs once and a look-up, for a
// caller with the key.
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

// newLine returns a line to an address, and where it is entered.
func newLine(t *testing.T, to string) (*line.Faulty, string) {
	t.Helper()
	l := &line.Faulty{To: to}
	addr, err := l.Listen()
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- l.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return l, addr
}

// system is a store, endpoints and entries.
type system struct {
	t         *testing.T
	store     *standin.Store
	endpoints []*standin.Endpoint
	// dial, when set, opens the entries' connections to each other.
	dial func(ctx context.Context, addr string) (net.Conn, error)
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

func (s *system) put(e *standin.Endpoint, zone, state string) {
	key, value := e.Entry("s", zone, state)
	s.store.Put(key, value)
}

// entry is a running entry.
type entry struct {
	*Frontend
	log  *logs.Log
	stop func()
}

func (s *system) start(name, storeAddr string) *entry {
	s.t.Helper()
	local := netip.MustParseAddrPort("127.0.0.1:0")
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
		Log: process.NewBoundedLog(name, "a"),
	}
	out := &logs.Log{}
	f.Output = out
	if err := f.Listen(); err != nil {
		s.t.Fatal(err)
	}
	f.conns.Dial = s.dial
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f.Run(ctx) }()
	var once sync.Once
	stop := func() {
		once.Do(func() {
			cancel()
			if err := <-done; err != nil {
				s.t.Errorf("%s: %v", name, err)
			}
		})
	}
	s.t.Cleanup(func() {
		stop()
		if s.t.Failed() {
			s.t.Logf("log of %s:\n%s", name, out.Text())
		}
	})
	e := &entry{Frontend: f, log: out, stop: stop}
	s.eventually("the entry is ready", func() bool { return e.ready() == http.StatusOK })
	return e
}

// eventually waits for something that must come to be; the time bounds a test
// that hangs and measures nothing.
func (s *system) eventually(what string, is func() bool) {
	s.t.Helper()
	end := time.Now().Add(20 * time.Second)
	for !is() {
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

// answer is what a caller got.
type answer struct {
	status int
	header http.Header
	body   string
	// close says that the caller is asked to connect elsewhere.
	close bool
	err   error
}

// ask sends one request of a caller.
func (e *entry) ask(ctx context.Context, path, id, key string) answer {
	method := http.MethodGet
	if strings.HasPrefix(path, "/order/") || strings.HasPrefix(path, "/stream/") {
		method = http.MethodPost
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+e.CallerAddress()+path, nil)
	if err != nil {
		return answer{err: err}
	}
	r.Host = "h"
	r.Header.Set("X-Hyssoprelay-Attempt-Id", id)
	r.Header.Set("X-Hyssoprelay-Deadline-Ms", "6000")
	r.Header.Set("X-Api-Key", key)
	resp, err := (&http.Client{Transport: &http.Transport{}}).Do(r)
	if err != nil {
		return answer{err: err}
	}
	b, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	return answer{status: resp.StatusCode, header: resp.Header, body: string(b), close: resp.Close, err: err}
}

func (s *system) runs(id string) int {
	n := 0
	for _, e := range s.endpoints {
		n += e.Runs(id)
	}
	return n
}

func (s *system) want(a answer, status int) {
	s.t.Helper()
	if a.err != nil || a.status != status {
		s.t.Fatalf("status %d, %v, want %d: %s", a.status, a.err, status, a.body)
	}
}

func TestRequestsAreServed(t *testing.T) {
	t.Parallel()
	s := newSystem(t, 2)
	e := s.start("entry1", s.store.Addr())
	ctx := context.Background()
	t.Run("an order", func(t *testing.T) {
		a := e.ask(ctx, "/order/1?x=1", "o1", "k1")
		s.want(a, http.StatusOK)
		if s.runs("o1") != 1 || a.header.Get("X-Hyssoprelay-Replica-Seal") == "" {
			t.Fatalf("%d runs, %v", s.runs("o1"), a.header)
		}
	})
	t.Run("a stream", func(_ *testing.T) { s.wantWholeStream(e.ask(ctx, "/stream/1", "s1", "k1"), 5) })
	t.Run("an unknown key", func(t *testing.T) {
		s.want(e.ask(ctx, "/order/2", "o2", "wrong"), http.StatusUnauthorized)
		if s.runs("o2") != 0 {
			t.Fatal("it ran")
		}
	})
	t.Run("an unknown route", func(_ *testing.T) { s.want(e.ask(ctx, "/nowhere", "o3", "k1"), http.StatusNotFound) })
	t.Run("the account is told and the key is not", func(t *testing.T) {
		s.want(e.ask(ctx, "/look/1", "l1", "k1"), http.StatusOK)
		if s.endpoints[0].Account("l1")+s.endpoints[1].Account("l1") != "t1" {
			t.Fatal("another account")
		}
	})
}

// A hotel gets two pallets: an endpoint ran an order and its connection broke
// before the answer; the order must not be sent again, and its caller not be told
// that it did not run.
func TestOrderWhoseAnswerIsLostRunsOnce(t *testing.T) {
	t.Parallel()
	s := newSystem(t, 2)
	e := s.start("entry1", s.store.Addr())
	for _, one := range s.endpoints {
		one.Behave(standin.Resets)
	}
	s.want(e.ask(context.Background(), "/order/1", "o1", "k1"), http.StatusBadGateway)
	if n := s.runs("o1"); n != 1 {
		t.Fatalf("the order ran %d times", n)
	}
}

// Every endpoint is full. The refusal says that the order did not run, and when
// to come back.
func TestRefusalIsTrue(t *testing.T) {
	t.Parallel()
	s := newSystem(t, 2)
	e := s.start("entry1", s.store.Addr())
	for _, one := range s.endpoints {
		one.Behave(standin.Refuses)
	}
	a := e.ask(context.Background(), "/order/1", "o1", "k1")
	s.want(a, http.StatusServiceUnavailable)
	if s.runs("o1") != 0 || a.header.Get("Retry-After") == "" {
		t.Fatalf("%d runs, %v", s.runs("o1"), a.header)
	}
}

// A look-up's endpoint fails it; another one has the answer.
func TestLookUpIsRepeatedElsewhere(t *testing.T) {
	t.Parallel()
	for name, b := range map[string]standin.Behaviour{"fails": standin.Fails, "breaks off": standin.Resets, "refuses": standin.Refuses} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSystem(t, 2)
			e := s.start("entry1", s.store.Addr())
			s.endpoints[0].Behave(b)
			for i := range 4 {
				s.want(e.ask(context.Background(), "/look/1", fmt.Sprint("l", i), "k1"), http.StatusOK)
			}
		})
	}
}

// A look-up may have run at an endpoint that broke off, and the next one refuses
// it. The caller must not hear that it did not run.
func TestRefusalAfterAnUnknownOutcomeIsNotSaid(t *testing.T) {
	t.Parallel()
	s := newSystem(t, 2)
	e := s.start("entry1", s.store.Addr())
	s.endpoints[0].Behave(standin.Resets)
	s.endpoints[1].Behave(standin.Refuses)
	for i := range 3 {
		a := e.ask(context.Background(), "/look/1", fmt.Sprint("l", i), "k1")
		if s.runs(fmt.Sprint("l", i)) > 0 && a.status == http.StatusServiceUnavailable {
			t.Fatal("a request that ran is said not to have run")
		}
	}
}

// An endpoint crashes: its address refuses connections while its entry is still
// there.
func TestCrashedEndpointIsPassedOver(t *testing.T) {
	t.Parallel()
	s := newSystem(t, 3)
	e := s.start("entry1", s.store.Addr())
	s.endpoints[1].Close()
	for i := range 12 {
		s.want(e.ask(context.Background(), "/order/1", fmt.Sprint("o", i), "k1"), http.StatusOK)
	}
}

// A data centre is cut off: connections to its endpoints hang. The others serve.
// Then operators take it out, and bring it back.
func TestDataCentreIsCutOffAndTakenOut(t *testing.T) {
	t.Parallel()
	s := newSystem(t, 1)
	far := standin.StartEndpoint("i-far", 9)
	t.Cleanup(far.Close)
	s.endpoints = append(s.endpoints, far)
	s.put(far, "b", "ready")
	e := s.start("entry1", s.store.Addr())
	far.Behave(standin.Resets)
	for i := range 4 {
		s.want(e.ask(context.Background(), "/look/1", fmt.Sprint("l", i), "k1"), http.StatusOK)
	}
	far.Behave(standin.Answers)
	s.store.Put("op/evacuate/b", []byte("{}"))
	s.eventually("the order is in force", func() bool { return e.log.Has("data centre order in force") })
	before := far.Runs("x")
	for range 20 {
		s.want(e.ask(context.Background(), "/look/1", "x", "k1"), http.StatusOK)
	}
	if far.Runs("x") != before {
		t.Fatal("an endpoint of a data centre that is out got work")
	}
}

// The store is away. What is known stays in force, and orders go on being served.
func TestStoreOutage(t *testing.T) {
	t.Parallel()
	s := newSystem(t, 2)
	e := s.start("entry1", s.store.Addr())
	s.store.SetFault(standin.Busy)
	s.eventually("the outage is noticed", func() bool { return e.log.Has("dependency lost") })
	s.want(e.ask(context.Background(), "/order/1", "o1", "k1"), http.StatusOK)
	s.store.SetFault(standin.Well)
	s.eventually("its end is noticed", func() bool { return e.log.Has("dependency regained") })
}

// A former caller orders on another's account: its key was taken away while the
// entry was cut off from the store. The entry stops to believe keys in time; and
// one whose peer reaches the store goes on serving the keys that are left.
func TestKeysWhileCutOff(t *testing.T) {
	t.Parallel()
	t.Run("alone, it refuses", func(t *testing.T) {
		s := newSystem(t, 1)
		way, addr := newLine(t, s.store.Addr())
		e := s.start("entry1", addr)
		way.Set(line.Broken)
		s.store.Put("op/config", config(2, `"k1"`))
		taken := time.Now()
		s.eventually("keys are refused", func() bool {
			asked := time.Since(taken)
			a := e.ask(context.Background(), "/order/1", "o1", "k2")
			if a.status == http.StatusOK && asked > e.Settings.Bounds.KeyRevoke {
				t.Fatalf("a request asked %v after its key was taken away was served", asked)
			}
			return a.status == http.StatusServiceUnavailable
		})
		if e.ready() == http.StatusOK {
			t.Fatal("it still takes callers")
		}
	})
	t.Run("with a peer, it learns", func(t *testing.T) {
		s := newSystem(t, 1)
		way, addr := newLine(t, s.store.Addr())
		s.start("entry2", s.store.Addr())
		e := s.start("entry1", addr)
		s.eventually("the entries know each other", func() bool { return len(e.others.all()) == 2 })
		way.Set(line.Broken)
		s.store.Put("op/config", config(2, `"k1"`))
		s.eventually("the key is refused for good", func() bool {
			return e.ask(context.Background(), "/order/1", "o2", "k2").status == http.StatusUnauthorized
		})
		time.Sleep(3 * time.Second)
		s.want(e.ask(context.Background(), "/order/1", "o3", "k1"), http.StatusOK)
	})
}

// An entry is stopped while it serves a stream and callers keep coming.
func TestStopCutsNothing(t *testing.T) {
	t.Parallel()
	s := newSystem(t, 1)
	s.endpoints[0].Events, s.endpoints[0].Pause = 40, 50*time.Millisecond
	e := s.start("entry1", s.store.Addr())
	results := make(chan answer, 20)
	go func() { results <- e.ask(context.Background(), "/stream/1", "s1", "k1") }()
	s.eventually("the stream runs", func() bool { return s.runs("s1") == 1 })
	stopped := make(chan struct{})
	go func() {
		e.stop()
		close(stopped)
	}()
	s.eventually("it is not ready", func() bool { return e.ready() != http.StatusOK })
	a := e.ask(context.Background(), "/look/1", "l1", "k1")
	s.want(a, http.StatusOK)
	if !a.close {
		t.Fatal("the caller is not asked to connect elsewhere")
	}
	s.wantWholeStream(<-results, 40)
	<-stopped
}
