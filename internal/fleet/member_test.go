package fleet

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/platform"
	"github.com/hyssoprelay/hyssoprelay/internal/wake"
)

// fakeStore counts the writes of a member's key. Its leases can be made to expire, and
// it can be made unreachable.
type fakeStore struct {
	writes      atomic.Int64
	expired     atomic.Bool
	unreachable atomic.Bool
}

func (s *fakeStore) Txn(context.Context, platform.Txn) (platform.TxnReply, error) {
	s.writes.Add(1)
	s.expired.Store(false)
	return platform.NewTxnReply(1, true), nil
}

func (s *fakeStore) Grant(context.Context, time.Duration) (platform.LeaseID, error) {
	if s.unreachable.Load() {
		return 0, platform.NewNotSentError("away")
	}
	return platform.LeaseID(1), nil
}

func (s *fakeStore) KeepAlive(context.Context, platform.LeaseID) (time.Duration, error) {
	if s.expired.Load() {
		return 0, platform.NewRejectedError("no such lease", true)
	}
	return LeaseTTL, nil
}

func (s *fakeStore) Revoke(context.Context, platform.LeaseID) error { return nil }

// All leases expire in an outage of the store. Guards against a key that is written
// again only at the next regular renewal: after an outage, the leader of a group did not
// see several ranks for 3 s, because their agents had not yet renewed their leases, and
// a held step stayed held for as long.
func TestExpiredKeyIsWrittenAgainAtOnce(t *testing.T) {
	t.Parallel()
	store, renewNow := &fakeStore{}, &wake.Signal{}
	r := &Registrar{Store: store, Member: func() Member { return Member{Kind: Agent, Name: "a"} }, RenewNow: renewNow}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- r.Run(ctx) }()
	eventually(t, func() bool { return store.writes.Load() == 1 })
	store.expired.Store(true)
	renewNow.Raise()
	eventually(t, func() bool { return store.writes.Load() == 2 })
	cancel()
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}

// The store is unreachable and recovers. Checks that OnRecovered is called: the process
// can't rely on its polls to notice the recovery, because they may hang for a long time.
func TestStoreRecoveryIsReported(t *testing.T) {
	t.Parallel()
	store, recovered := &fakeStore{}, make(chan struct{}, 1)
	store.expired.Store(true)
	store.unreachable.Store(true)
	r := &Registrar{
		Store: store, Member: func() Member { return Member{Kind: Agent, Name: "a"} }, RenewNow: &wake.Signal{},
		OnRecovered: func() { recovered <- struct{}{} }, OnError: func(error) { store.unreachable.Store(false) },
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- r.Run(ctx) }()
	<-recovered
	cancel()
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}

// The store answers no call for 8 s. Guards against continuous retries in this time, and
// against a key that is written only long after the recovery.
func TestOutageCausesFewRetries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const outage, maxCalls = 8 * time.Second, 7
		store := &fakeStore{}
		store.expired.Store(true)
		store.unreachable.Store(true)
		calls := 0
		r := &Registrar{
			Store: store, Member: func() Member { return Member{Kind: Agent, Name: "a"} }, RenewNow: &wake.Signal{},
			OnError: func(error) { calls++ },
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- r.Run(ctx) }()
		time.Sleep(outage)
		synctest.Wait()
		if calls > maxCalls {
			t.Errorf("%d calls in %v", calls, outage)
		}
		store.unreachable.Store(false)
		time.Sleep(maxRetryDelay)
		synctest.Wait()
		if store.writes.Load() != 1 {
			t.Errorf("the key is missing %v after the recovery", maxRetryDelay)
		}
		cancel()
		if err := <-done; err != nil {
			t.Fatal(err)
		}
	})
}

// eventually fails the test unless the condition holds within a third of LeaseTTL,
// after which a process renews its lease without any signal.
func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(LeaseTTL / 3); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the key was not written within a third of LeaseTTL")
		}
	}
}
