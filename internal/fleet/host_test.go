package fleet

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/platform"
)

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
