package mirror

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/platform"
	"github.com/hyssoprelay/hyssoprelay/internal/wake"
)

// busy is a service in which a key changes each time that changeEvery has passed
// until quietFrom, and never after.
type busy struct {
	mu               sync.Mutex // guards all below
	began, quietFrom time.Time
	polls            int
}

// busyFor has keys change from a revision on, for a time.
func (b *busy) busyFor(from int64, d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.began, b.quietFrom = now.Add(-time.Duration(from-1)*changeEvery), now.Add(d)
}

func (b *busy) asked() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.polls
}

const changeEvery = 50 * time.Millisecond

func (b *busy) List(context.Context, string, string, int) (platform.RangeReply, error) {
	return platform.NewRangeReply(1, nil, false), nil
}

func (b *busy) revision() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	if now.After(b.quietFrom) {
		now = b.quietFrom
	}
	return 1 + int64(now.Sub(b.began)/changeEvery)
}

func (b *busy) Poll(ctx context.Context, _ string, after int64, wait time.Duration) (platform.Changed, error) {
	b.mu.Lock()
	b.polls++
	b.mu.Unlock()
	end := time.Now().Add(wait)
	for b.revision() <= after && time.Now().Before(end) && ctx.Err() == nil {
		time.Sleep(changeEvery / 2)
	}
	c := platform.Changed{Revision: b.revision()}
	for r := after + 1; r <= c.Revision; r++ {
		c.Order(platform.NewKeyValue(fmt.Sprint(r), nil, r, 0), false)
	}
	return c, ctx.Err()
}

// A fleet of a hundred processes starts, and something changes in the store twenty
// times a second for five seconds. A process that asks again a fixed time after
// each change makes 21 calls in that time, and the fleet 900. The pause grows while
// changes come, no change is known later than it allows, and after the start and
// when it is quiet a single change is known at once.
func TestPauseGrowsWhileChangesCome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const settle, most = 200 * time.Millisecond, 800 * time.Millisecond
		began := time.Now()
		b := &busy{}
		b.busyFor(1, 5*time.Second)
		ctx, cancel := context.WithCancel(t.Context())
		var last atomic.Int64
		m := &Mirror{
			Reader: b, Wait: 1500 * time.Millisecond, Settle: settle, MostSettle: most, StartTime: 6 * time.Second, Now: time.Now,
			Apply: func(u Update) {
				if late := b.revision() - last.Load(); last.Load() > 0 && time.Duration(late)*changeEvery > most+2*changeEvery {
					t.Errorf("%v: a change was known %v late", time.Since(began), time.Duration(late)*changeEvery)
				}
				last.Store(u.Revision)
			},
		}
		done := make(chan error, 1)
		go func() { done <- m.Run(ctx) }()
		time.Sleep(5 * time.Second)
		if n := b.asked(); n > 10 {
			t.Errorf("%d calls in 5 s", n)
		}
		time.Sleep(5 * time.Second)
		// Later an endpoint that leaves must be known at once, whatever else changes.
		b.busyFor(b.revision(), 3*time.Second)
		before := b.asked()
		time.Sleep(3 * time.Second)
		if n := b.asked() - before; n < 10 {
			t.Errorf("only %d calls in 3 s of changes after the start", n)
		}
		time.Sleep(3 * time.Second)
		known := last.Load()
		b.busyFor(known+1, 0)
		time.Sleep(2 * changeEvery)
		if last.Load() <= known {
			t.Error("a single change was not known at once")
		}
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}

// silent is a service that never answers the poll during which it fell silent, and
// answers the next one.
type silent struct{ polls chan struct{} }

func (s *silent) List(context.Context, string, string, int) (platform.RangeReply, error) {
	return platform.NewRangeReply(1, nil, false), nil
}

func (s *silent) Poll(ctx context.Context, _ string, _ int64, _ time.Duration) (platform.Changed, error) {
	s.polls <- struct{}{}
	if len(s.polls) == 1 {
		<-ctx.Done()
		return platform.Changed{}, ctx.Err()
	}
	c := platform.Changed{Revision: 2, Deleted: []string{"lease"}}
	return c, nil
}

// The store is silent for 6 s, in which the lease of a group's leader lapses. The
// poll that waits since before is never answered, and nothing else changes under
// the prefix: the group had no leader for 5 s more. A process whose renewals are
// answered again has the poll asked anew.
func TestDoubtedPollIsAskedAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &silent{polls: make(chan struct{}, 1000)}
		var doubt wake.Signal
		told := make(chan Update, 1000)
		ctx, cancel := context.WithCancel(t.Context())
		m := &Mirror{
			Reader: s, Wait: time.Hour, Settle: time.Second, Doubt: &doubt, Now: time.Now,
			Apply: func(u Update) { told <- u },
		}
		done := make(chan error, 1)
		go func() { done <- m.Run(ctx) }()
		<-told // what the list told
		synctest.Wait()
		began := time.Now()
		doubt.Raise()
		if u := <-told; len(u.Deleted) != 1 || !u.Returned {
			t.Errorf("told %+v", u)
		}
		if d := time.Since(began); d > time.Second {
			t.Errorf("the loss was known %v later", d)
		}
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}
