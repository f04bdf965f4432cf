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

// keys is a store that counts how often a member's key was written, and whose
// leases may lapse.
type keys struct {
	written atomic.Int64
	lapsed  atomic.Bool
	away    atomic.Bool
}

func (k *keys) Txn(context.Context, platform.Txn) (platform.TxnReply, error) {
	k.written.Add(1)
	k.lapsed.Store(false)
	return platform.NewTxnReply(1, true), nil
}

func (k *keys) Grant(context.Context, time.Duration) (platform.LeaseID, error) {
	if k.away.Load() {
		return 0, platform.NotSent("away")
	}
	return platform.LeaseID(1), nil
}

func (k *keys) KeepAlive(context.Context, platform.LeaseID) (time.Duration, error) {
	if k.lapsed.Load() {
		return 0, platform.Refused("no such lease", true)
	}
	return LeaseTime, nil
}

func (k *keys) Revoke(context.Context, platform.LeaseID) error { return nil }

// The store lets all leases lapse in an outage and is back. The leader of a group
// of ranks did not see several ranks for three seconds, because their agents had
// not renewed their leases since; a held step stayed held for as long.
func TestLapsedKeyIsWrittenAgainAtOnce(t *testing.T) {
	t.Parallel()
	store, doubt := &keys{}, &wake.Signal{}
	r := &Registrar{Store: store, Member: Member{Kind: Agent, Name: "a"}, Doubt: doubt}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- r.Run(ctx) }()
	eventually(t, func() bool { return store.written.Load() == 1 })
	store.lapsed.Store(true)
	doubt.Raise()
	eventually(t, func() bool { return store.written.Load() == 2 })
	cancel()
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}

// The store is away and back. The process says so, as its polls may hang for long.
func TestReturnOfTheStoreIsTold(t *testing.T) {
	t.Parallel()
	store, returned := &keys{}, make(chan struct{}, 1)
	store.lapsed.Store(true)
	store.away.Store(true)
	r := &Registrar{
		Store: store, Member: Member{Kind: Agent, Name: "a"}, Doubt: &wake.Signal{},
		Returned: func() { returned <- struct{}{} }, Failed: func(error) { store.away.Store(false) },
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- r.Run(ctx) }()
	<-returned
	cancel()
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}

// The store answers nobody for eight seconds. Guards against processes that ask it again
// and again meanwhile, and against one that is written again long after its return.
func TestOutageIsAskedIntoSeldom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const outage, mostCalls = 8 * time.Second, 7
		store := &keys{}
		store.lapsed.Store(true)
		store.away.Store(true)
		calls := 0
		r := &Registrar{
			Store: store, Member: Member{Kind: Agent, Name: "a"}, Doubt: &wake.Signal{},
			Failed: func(error) { calls++ },
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- r.Run(ctx) }()
		time.Sleep(outage)
		synctest.Wait()
		if calls > mostCalls {
			t.Errorf("%d calls in %v", calls, outage)
		}
		store.away.Store(false)
		time.Sleep(mostRetry)
		synctest.Wait()
		if store.written.Load() != 1 {
			t.Errorf("the key is not there %v after the return", mostRetry)
		}
		cancel()
		if err := <-done; err != nil {
			t.Fatal(err)
		}
	})
}

// eventually bounds a test that hangs; a third of a lease is what the process
// would wait for by itself.
func eventually(t *testing.T, is func() bool) {
	t.Helper()
	for end := time.Now().Add(LeaseTime / 3); !is(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the key was not written in time")
		}
	}
}
