package fleet

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
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

// The store turns a third of the hosts away for as long as a lease lasts. Guards against
// guests that all move, each of them a write.
func TestGuestsStayWhileTheStoreTurnsTheirHostAway(t *testing.T) {
	for _, n := range []int{36, 107, 532, 1064} {
		synctest.Test(t, func(t *testing.T) {
			hosts := 3 * (1 + n/120)
			f := newHostedFleet(t, hosts)
			defer f.stop()
			f.renewForEachOther()
			for range n {
				f.addMembers(1)
				time.Sleep(LeaseTTL / 3 / time.Duration(n)) // guests ask again at different times
			}
			time.Sleep(time.Second)
			f.store.callsSince()
			for i := 0; i < hosts; i += 3 {
				f.store.setAway(fmt.Sprint("host", i), true)
			}
			f.wantAll(n, LeaseTTL)
			for i := 0; i < hosts; i += 3 {
				f.store.setAway(fmt.Sprint("host", i), false)
			}
			f.wantAll(n, LeaseTTL)
			if calls, most := f.store.callsSince(), 1.2*float64(hosts); calls > most {
				t.Errorf("%d processes: %.1f calls, want at most %.1f", n, calls, most)
			}
		})
	}
}

// Guests of one host move to others, and some end. Guards against a transaction for each
// key that is to be deleted, and against keys that stay.
func TestKeysOfFormerGuestsAreDeletedTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n = 30
		store := newLeaseStore()
		h, other := &Host{Store: storeClient{store, "host"}, Now: time.Now}, storeClient{store, "other"}
		f := &hostedFleet{t: t, store: store}
		defer f.start(h.Run)()
		var registered []func()
		for i := range n {
			registered = append(registered, f.start(func(ctx context.Context) error {
				return h.Register(ctx, Request{Member: Member{Kind: Agent, Name: fmt.Sprint(i)}})
			}))
		}
		time.Sleep(time.Second)
		for i, done := range registered {
			done()
			if i%3 == 0 {
				key := Member{Kind: Agent, Name: fmt.Sprint(i)}.Key()
				if _, err := other.Txn(t.Context(), platform.Txn{Then: []platform.Op{platform.Delete{Key: key}}}); err != nil {
					t.Fatal(err)
				}
			}
		}
		store.callsSince()
		time.Sleep(2 * LeaseTTL)
		if left := store.count(); left != 0 {
			t.Errorf("%d keys are left", left)
		}
		if calls := store.callsSince(); calls > 3 {
			t.Errorf("%.1f calls to delete %d keys", calls, n)
		}
	})
}

// Guards against calls to the store, and writes while a fleet starts, that grow with the
// processes and not with the hosts.
func TestHostsRegisterManyProcessesWithFewCalls(t *testing.T) {
	for _, n := range []int{36, 107, 532, 1064} {
		synctest.Test(t, func(t *testing.T) {
			hosts := 2 + n/100
			f := newHostedFleet(t, hosts)
			defer f.stop()
			f.addMembers(n)
			time.Sleep(time.Second)
			f.wantAll(n, time.Second)
			if calls, most := f.store.callsSince(), float64(2*hosts+n/maxTxnKeys); calls > most {
				t.Errorf("%d processes: %.1f calls to register, want at most %.1f", n, calls, most)
			}
			f.wantAll(n, 30*time.Second)
			if calls, most := f.store.callsSince(), 1.2*float64(hosts); calls > most {
				t.Errorf("%d processes: %.1f calls in half a minute, want at most %.1f", n, calls, most)
			}
		})
	}
}

// A host is killed, or the store turns it away. Guards against guests whose keys vanish
// with its lease before they have registered elsewhere.
func TestGuestsMoveBeforeTheirHostsLeaseExpires(t *testing.T) {
	const n = 40
	for name, fail := range map[string]func(f *hostedFleet){
		"killed":      func(f *hostedFleet) { f.hosts[0].kill() },
		"stopping":    func(f *hostedFleet) { f.hosts[0].Stop() },
		"turned away": func(f *hostedFleet) { f.store.setAway("host0", true) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newHostedFleet(t, 3)
				defer f.stop()
				for range n {
					f.addMembers(1)
					time.Sleep(100 * time.Millisecond) // guests ask again at different times
				}
				time.Sleep(time.Second)
				fail(f)
				f.wantAll(n, 4*LeaseTTL)
			})
		})
	}
}

// Guards against a guest that returns to a host which it had left: the host takes its key
// for written, and the one that it comes from deletes it.
func TestGuestReturnsToAFormerHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newHostedFleet(t, 2)
		defer f.stop()
		f.addMembers(1)
		time.Sleep(time.Second)
		f.hosts[0].setDown(true)
		time.Sleep(LeaseTTL / 3)
		f.hosts[0].setDown(false)
		f.hosts[1].setDown(true)
		time.Sleep(LeaseTTL / 3)
		f.hosts[1].setDown(false)
		f.wantAll(1, 3*LeaseTTL)
	})
}

// Guards against a host that puts off its renewal whenever it has a guest to write, and
// then turns all its guests away.
func TestHostRenewsInTimeWhileGuestsJoin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newHostedFleet(t, 1)
		defer f.stop()
		for i := range 30 {
			f.addMembers(1)
			time.Sleep(2*time.Second + time.Duration(i)*50*time.Millisecond)
			h := f.hosts[0]
			h.Host.mu.Lock()
			age := time.Since(h.renewedAt)
			h.Host.mu.Unlock()
			if age > LeaseTTL/3+batchDelay {
				t.Fatalf("the lease was last renewed %v ago", age)
			}
		}
	})
}

// The store refuses one renewal. Guards against a host that waits for the next one, and
// turns its guests away before.
func TestRefusedRenewalIsRepeatedSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newHostedFleet(t, 2)
		defer f.stop()
		f.addMembers(20)
		time.Sleep(time.Second)
		f.store.callsSince()
		f.store.setAway("host0", true)
		time.Sleep(LeaseTTL/3 + minRetryDelay/2)
		f.store.setAway("host0", false)
		time.Sleep(LeaseTTL)
		if calls := f.store.callsSince(); calls >= 1 {
			t.Errorf("%.1f calls, so guests have moved", calls)
		}
	})
}

// The store gives a host no answer and executes its write after the guest has registered
// elsewhere. Guards against a key that then vanishes with a lease that is not its host's,
// or stays after its process has ended.
func TestLateWriteOfAFormerHostIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newHostedFleet(t, 2)
		defer f.stop()
		f.store.late["host0"] = true
		f.addMembers(1)
		time.Sleep(lateWrite + LeaseTTL/3 + time.Second)
		f.hosts[0].kill()
		f.wantAll(1, 2*LeaseTTL)
		f.stops[0]()
		time.Sleep(time.Second)
		f.wantAll(0, time.Second)
	})
}

// Guards against entries that start together and become hosts one after the other, because
// the first one is not listed yet.
func TestFirstHostIsListedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		self := Member{Kind: Entry, Name: "first"}
		h := &Host{Store: storeClient{newLeaseStore(), "host"}, Self: self.Key(), Now: time.Now}
		f := &hostedFleet{t: t}
		defer f.start(h.Run)()
		start := time.Now()
		if err := h.Register(t.Context(), Request{Member: self}); err != nil {
			t.Fatal(err)
		}
		if d := time.Since(start); d != 0 {
			t.Errorf("listed after %v", d)
		}
	})
}

// Guards against a guest that has given up and is then written over its key at the next
// host, or stays listed.
func TestAbandonedGuestIsNotWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := &Host{Store: storeClient{newLeaseStore(), "host"}, Now: time.Now}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if err := h.Register(ctx, Request{Member: Member{Kind: Agent, Name: "a"}}); !errors.Is(err, context.DeadlineExceeded) {
			t.Fatal(err)
		}
		if batch := h.takeUnwritten(time.Now()); len(batch) != 0 {
			t.Errorf("%d keys are to be written", len(batch))
		}
	})
}

// Guards against processes that stay listed after they ended, and against a host that
// deletes the key of one that has registered elsewhere.
func TestGoneGuestsAreDeregistered(t *testing.T) {
	t.Run("left", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newHostedFleet(t, 1)
			defer f.stop()
			f.addMembers(3)
			time.Sleep(time.Second)
			f.stops[0]()
			time.Sleep(time.Second)
			if f.store.has("hyssoprelay/agent/a0") || f.store.count() != 2 {
				t.Errorf("%d keys are in the store", f.store.count())
			}
		})
	})
	t.Run("died", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newHostedFleet(t, 1)
			defer f.stop()
			m := Member{Kind: Agent, Name: "dead"}
			if err := f.hosts[0].Register(t.Context(), Request{Member: m}); err != nil {
				t.Fatal(err)
			}
			time.Sleep(LeaseTTL - time.Second)
			if !f.store.has(m.Key()) {
				t.Error("the key has vanished too early")
			}
			time.Sleep(LeaseTTL)
			if f.store.has(m.Key()) {
				t.Error("the key is still there")
			}
		})
	})
	t.Run("moved", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newHostedFleet(t, 2)
			defer f.stop()
			m := Member{Kind: Agent, Name: "moved"}
			for _, h := range f.hosts {
				if err := h.Register(t.Context(), Request{Member: m, Rewrite: true}); err != nil {
					t.Fatal(err)
				}
			}
			for range 8 {
				time.Sleep(LeaseTTL / 3)
				if err := f.hosts[1].Register(t.Context(), Request{Member: m}); err != nil || !f.store.has(m.Key()) {
					t.Fatalf("%v, key in the store: %v", err, f.store.has(m.Key()))
				}
			}
		})
	})
}

// All leases expire in an outage. Guards against guests that stay invisible until their
// host's next regular renewal.
func TestHostWritesExpiredKeysAgainAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n = 100
		f := newHostedFleet(t, 1)
		defer f.stop()
		f.addMembers(n)
		time.Sleep(time.Second)
		f.store.dropLeases()
		f.wakes[0].Raise()
		time.Sleep(300 * time.Millisecond)
		f.wantAll(n, time.Second)
	})
}

// No host can be reached. Guards against a process that stays unregistered.
func TestProcessWithoutHostRegistersItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newHostedFleet(t, 2)
		defer f.stop()
		for _, h := range f.hosts {
			h.kill()
		}
		f.addMembers(1)
		time.Sleep(time.Second)
		f.wantAll(1, 2*LeaseTTL)
	})
}

// Guards against a host that all processes choose, one in another data centre, and new
// hosts on which the processes don't agree.
func TestHostCandidatesSpreadProcesses(t *testing.T) {
	const hosts, others = 5, 55
	var entries []Member
	for i := range 2 * (hosts + others) {
		entries = append(entries, Member{Kind: Entry, Name: fmt.Sprint("e", i), DataCentre: fmt.Sprint("dc", i%2), Host: i < 2*hosts})
	}
	guests, next := map[string]int{}, map[string]int{}
	for i := range 600 {
		c := HostCandidates(entries, "dc1", fmt.Sprint("p", i))
		for _, m := range c {
			if m.DataCentre != "dc1" {
				t.Fatalf("%s is elsewhere", m.Name)
			}
		}
		guests[c[0].Name]++
		next[c[hosts].Name]++
	}
	if len(guests) != hosts {
		t.Errorf("%d hosts, want %d", len(guests), hosts)
	}
	for name, n := range guests {
		if n > maxGuests {
			t.Errorf("%s has %d guests", name, n)
		}
	}
	if len(next) != 1 {
		t.Errorf("%d entries are asked to become hosts", len(next))
	}
	for _, m := range HostCandidates(entries, "dc1", "e1") {
		if m.Name == "e1" {
			t.Error("an entry is its own candidate")
		}
	}
}
