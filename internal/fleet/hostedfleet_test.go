package fleet

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/platform"
	"github.com/hyssoprelay/hyssoprelay/internal/wake"
)

// lateWrite is how much later a write without an answer is executed.
const lateWrite = 1500 * time.Millisecond

// leaseStore is a store whose keys vanish with their leases.
type leaseStore struct {
	mu       sync.Mutex
	away     map[string]bool // names of those whose calls fail
	late     map[string]bool // names of those whose next write is executed lateWrite later
	revision int64
	nextID   platform.LeaseID
	expires  map[platform.LeaseID]time.Time
	keys     map[string]platform.KeyValue
	calls    int
	renewals int
}

func newLeaseStore() *leaseStore {
	return &leaseStore{away: map[string]bool{}, late: map[string]bool{}, expires: map[platform.LeaseID]time.Time{}, keys: map[string]platform.KeyValue{}}
}

// expire removes the keys of expired leases. mu must be held.
func (s *leaseStore) expire() {
	for id, at := range s.expires {
		if time.Now().Before(at) {
			continue
		}
		delete(s.expires, id)
		for key, kv := range s.keys {
			if kv.Lease() == id {
				delete(s.keys, key)
			}
		}
	}
}

// dropLeases makes all leases expire, as in an outage.
func (s *leaseStore) dropLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.expires {
		s.expires[id] = time.Now()
	}
	s.expire()
}

func (s *leaseStore) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	return len(s.keys)
}

func (s *leaseStore) has(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	_, ok := s.keys[key]
	return ok
}

func (s *leaseStore) setAway(name string, away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away[name] = away
}

// callsSince returns the calls since the last look, where a renewal counts a tenth.
func (s *leaseStore) callsSince() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := float64(s.calls) + float64(s.renewals)/10
	s.calls, s.renewals = 0, 0
	return n
}

// storeClient is the store as one process sees it.
type storeClient struct {
	*leaseStore
	name string
}

// begin counts a call. mu must be held.
func (c storeClient) begin() error {
	c.expire()
	if c.away[c.name] {
		return platform.NewNotSentError("away")
	}
	return nil
}

func (c storeClient) Grant(_ context.Context, ttl time.Duration) (platform.LeaseID, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	if err := c.begin(); err != nil {
		return 0, err
	}
	c.nextID++
	c.expires[c.nextID] = time.Now().Add(ttl)
	return c.nextID, nil
}

func (c storeClient) KeepAlive(_ context.Context, id platform.LeaseID) (time.Duration, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.renewals++
	if err := c.begin(); err != nil {
		return 0, err
	}
	if _, ok := c.expires[id]; !ok {
		return 0, platform.NewRejectedError("no such lease", true)
	}
	c.expires[id] = time.Now().Add(LeaseTTL)
	return LeaseTTL, nil
}

func (c storeClient) Revoke(_ context.Context, id platform.LeaseID) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	if err := c.begin(); err != nil {
		return err
	}
	c.expires[id] = time.Now()
	c.expire()
	return nil
}

func (c storeClient) Txn(_ context.Context, t platform.Txn) (platform.TxnReply, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	if err := c.begin(); err != nil {
		return platform.TxnReply{}, err
	}
	if c.late[c.name] {
		c.late[c.name] = false
		time.AfterFunc(lateWrite, func() { _, _ = c.Txn(context.Background(), t) })
		return platform.TxnReply{}, platform.NewUnknownOutcomeError("no answer")
	}
	var current []platform.KeyValue
	hold := true
	for _, cond := range t.If {
		if r, ok := cond.(platform.RevisionIs); ok {
			current = append(current, c.keys[r.Key])
			hold = hold && c.keys[r.Key].Revision() == r.Revision
		}
	}
	if !hold {
		return platform.NewFailedTxnReply(current), nil
	}
	c.revision++
	for _, op := range t.Then {
		switch op := op.(type) {
		case platform.Put:
			if _, ok := c.expires[op.Lease]; !ok {
				return platform.TxnReply{}, platform.NewRejectedError("no such lease", true)
			}
			c.keys[op.Key] = platform.NewKeyValue(op.Key, op.Value, c.revision, op.Lease)
		case platform.Delete:
			delete(c.keys, op.Key)
		}
	}
	return platform.NewTxnReply(c.revision, true), nil
}

// hostProcess is a host that may be down.
type hostProcess struct {
	*Host
	stop func()

	mu   sync.Mutex
	down bool
}

func (p *hostProcess) Register(ctx context.Context, q Request) error {
	if p.isDown() {
		return platform.NewNotSentError("the host is down")
	}
	return p.Host.Register(ctx, q)
}

func (p *hostProcess) Leave(ctx context.Context, m Member) error {
	if p.isDown() {
		return platform.NewNotSentError("the host is down")
	}
	return p.Host.Leave(ctx, m)
}

func (p *hostProcess) isDown() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.down
}

func (p *hostProcess) setDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
}

// kill stops a host without a word to its guests.
func (p *hostProcess) kill() {
	p.setDown(true)
	p.stop()
}

// hostedFleet is a store with hosts, and processes that register with them.
type hostedFleet struct {
	t     *testing.T
	store *leaseStore
	hosts []*hostProcess
	stops []func()
	wakes []*wake.Signal
}

func newHostedFleet(t *testing.T, hosts int) *hostedFleet {
	f := &hostedFleet{t: t, store: newLeaseStore()}
	for i := range hosts {
		h := &Host{Store: storeClient{f.store, fmt.Sprint("host", i)}, Now: time.Now}
		f.hosts = append(f.hosts, &hostProcess{Host: h, stop: f.start(h.Run)})
	}
	return f
}

// start runs a part of a process and returns a function that ends it.
func (f *hostedFleet) start(run func(context.Context) error) (stop func()) {
	ctx, cancel := context.WithCancel(f.t.Context())
	done := make(chan error, 1)
	go func() { done <- run(ctx) }()
	var once sync.Once
	return func() {
		once.Do(func() {
			cancel()
			if err := <-done; err != nil {
				f.t.Error(err)
			}
		})
	}
}

// renewForEachOther makes the hosts renew the leases of others.
func (f *hostedFleet) renewForEachOther() {
	for i, h := range f.hosts {
		h.RenewElsewhere = func(ctx context.Context, lease platform.LeaseID) error {
			_, err := f.hosts[(i+1)%len(f.hosts)].Store.KeepAlive(ctx, lease)
			return err
		}
	}
}

// addMembers starts n processes that register with the hosts.
func (f *hostedFleet) addMembers(n int) {
	for range n {
		i := len(f.wakes)
		w := &wake.Signal{}
		r := &Registrar{
			Store: storeClient{f.store, "member"}, Member: func() Member { return Member{Kind: Agent, Name: fmt.Sprint("a", i)} }, RenewNow: w,
			Hosts: func(context.Context) []RegistrationHost {
				var out []RegistrationHost
				for k := range f.hosts {
					out = append(out, f.hosts[(i+k)%len(f.hosts)])
				}
				return out
			},
		}
		f.wakes = append(f.wakes, w)
		f.stops = append(f.stops, f.start(r.Run))
	}
}

func (f *hostedFleet) stop() {
	for _, stop := range f.stops {
		stop()
	}
	for _, h := range f.hosts {
		h.stop()
	}
}

// wantAll checks for d that the keys of n processes are in the store.
func (f *hostedFleet) wantAll(n int, d time.Duration) {
	f.t.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if got := f.store.count(); got != n {
			f.t.Fatalf("%d keys are in the store, want %d", got, n)
		}
	}
}
