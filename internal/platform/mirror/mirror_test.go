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

// changingService is a service in which a key is written every changeInterval from
// changesBegin to changesEnd.
type changingService struct {
	mu                       sync.Mutex // guards all below
	changesBegin, changesEnd time.Time
	pollCount                int
}

// changeFor makes the service change for a duration from now on. The revision is from at
// the start.
func (s *changingService) changeFor(from int64, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.changesBegin, s.changesEnd = now.Add(-time.Duration(from-1)*changeInterval), now.Add(d)
}

func (s *changingService) polls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pollCount
}

const changeInterval = 50 * time.Millisecond

func (s *changingService) List(context.Context, string, string, int) (platform.RangeReply, error) {
	return platform.NewRangeReply(1, nil, false), nil
}

func (s *changingService) revision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if now.After(s.changesEnd) {
		now = s.changesEnd
	}
	return 1 + int64(now.Sub(s.changesBegin)/changeInterval)
}

func (s *changingService) Poll(ctx context.Context, _ string, after int64, wait time.Duration) (platform.Changed, error) {
	s.mu.Lock()
	s.pollCount++
	s.mu.Unlock()
	end := time.Now().Add(wait)
	for s.revision() <= after && time.Now().Before(end) && ctx.Err() == nil {
		time.Sleep(changeInterval / 2)
	}
	c := platform.Changed{Revision: s.revision()}
	for r := after + 1; r <= c.Revision; r++ {
		c.Apply(platform.NewKeyValue(fmt.Sprint(r), nil, r, 0), false)
	}
	return c, ctx.Err()
}

// A fleet of a hundred processes starts, and keys change twenty times a second for five
// seconds. With a fixed pause after each answer a process made 21 calls in that time and
// the fleet 900. Checks that the pause grows while changes come, that no change is delayed
// by more than the pause, and that later on a single change is received at once.
func TestPauseGrowsWhileChangesCome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const settle, maxSettle = 200 * time.Millisecond, 800 * time.Millisecond
		began := time.Now()
		s := &changingService{}
		s.changeFor(1, 5*time.Second)
		ctx, cancel := context.WithCancel(t.Context())
		var last atomic.Int64
		m := &Mirror{
			Reader: s, Wait: 1500 * time.Millisecond, Settle: settle, MaxSettle: maxSettle, StartupPeriod: 6 * time.Second, Now: time.Now,
			Apply: func(u Update) {
				if missed := s.revision() - last.Load(); last.Load() > 0 && time.Duration(missed)*changeInterval > maxSettle+2*changeInterval {
					t.Errorf("%v: a change was received %v late", time.Since(began), time.Duration(missed)*changeInterval)
				}
				last.Store(u.Revision)
			},
		}
		done := make(chan error, 1)
		go func() { done <- m.Run(ctx) }()
		time.Sleep(5 * time.Second)
		if n := s.polls(); n > 10 {
			t.Errorf("%d calls in 5 s", n)
		}
		time.Sleep(5 * time.Second)
		// After StartupPeriod the removal of an endpoint must be received at once, however
		// many other changes there are.
		s.changeFor(s.revision(), 3*time.Second)
		before := s.polls()
		time.Sleep(3 * time.Second)
		if n := s.polls() - before; n < 10 {
			t.Errorf("only %d calls in 3 s of changes after the start", n)
		}
		time.Sleep(3 * time.Second)
		known := last.Load()
		s.changeFor(known+1, 0)
		time.Sleep(2 * changeInterval)
		if last.Load() <= known {
			t.Error("a single change was not received at once")
		}
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}

// stalledService is a service that never answers the first poll and answers all later
// ones.
type stalledService struct{ polls chan struct{} }

func (s *stalledService) List(context.Context, string, string, int) (platform.RangeReply, error) {
	return platform.NewRangeReply(1, nil, false), nil
}

func (s *stalledService) Poll(ctx context.Context, _ string, _ int64, _ time.Duration) (platform.Changed, error) {
	s.polls <- struct{}{}
	if len(s.polls) == 1 {
		<-ctx.Done()
		return platform.Changed{}, ctx.Err()
	}
	c := platform.Changed{Revision: 2, Deleted: []string{"lease"}}
	return c, nil
}

// The lease of a group's leader expires during an outage of the service. The poll that was
// pending when the outage began is never answered, and nothing else changes under the
// prefix: after an outage of 6 s a group had no leader for another 5 s. Checks that raising
// Repoll, as a process does when its lease renewals are answered again, repeats the poll.
func TestRepollRepeatsPendingPoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &stalledService{polls: make(chan struct{}, 1000)}
		var repoll wake.Signal
		updates := make(chan Update, 1000)
		ctx, cancel := context.WithCancel(t.Context())
		m := &Mirror{
			Reader: s, Wait: time.Hour, Settle: time.Second, Repoll: &repoll, Now: time.Now,
			Apply: func(u Update) { updates <- u },
		}
		done := make(chan error, 1)
		go func() { done <- m.Run(ctx) }()
		<-updates // of the list
		synctest.Wait()
		began := time.Now()
		repoll.Raise()
		if u := <-updates; len(u.Deleted) != 1 || !u.Recovered {
			t.Errorf("told %+v", u)
		}
		if d := time.Since(began); d > time.Second {
			t.Errorf("the deletion was received after %v", d)
		}
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}
