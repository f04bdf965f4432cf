package mirror

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/platform"
)

// busy is a service in which a key changes each time that changeEvery has passed
// until quietFrom, and never after.
type busy struct {
	began, quietFrom time.Time
	polls            int
}

const changeEvery = 50 * time.Millisecond

func (b *busy) List(context.Context, string, string, int) (platform.RangeReply, error) {
	return platform.NewRangeReply(1, nil, false), nil
}

func (b *busy) revision() int64 {
	now := time.Now()
	if now.After(b.quietFrom) {
		now = b.quietFrom
	}
	return 1 + int64(now.Sub(b.began)/changeEvery)
}

func (b *busy) Poll(ctx context.Context, _ string, after int64, wait time.Duration) (platform.Changed, error) {
	b.polls++
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
		b := &busy{began: began, quietFrom: began.Add(5 * time.Second)}
		ctx, cancel := context.WithCancel(t.Context())
		var last int64
		m := &Mirror{
			Reader: b, Wait: 1500 * time.Millisecond, Settle: settle, MostSettle: most, StartTime: 6 * time.Second, Now: time.Now,
			Apply: func(u Update) {
				if late := b.revision() - last; last > 0 && time.Duration(late)*changeEvery > most+2*changeEvery {
					t.Errorf("%v: a change was known %v late", time.Since(began), time.Duration(late)*changeEvery)
				}
				last = u.Revision
			},
		}
		done := make(chan error, 1)
		go func() { done <- m.Run(ctx) }()
		time.Sleep(5 * time.Second)
		if b.polls > 10 {
			t.Errorf("%d calls in 5 s", b.polls)
		}
		time.Sleep(5 * time.Second)
		// Later an endpoint that leaves must be known at once, whatever else changes.
		b.began, b.quietFrom = time.Now().Add(-b.quietFrom.Sub(b.began)), time.Now().Add(3*time.Second)
		before := b.polls
		time.Sleep(3 * time.Second)
		if n := b.polls - before; n < 10 {
			t.Errorf("only %d calls in 3 s of changes after the start", n)
		}
		time.Sleep(3 * time.Second)
		b.began, b.quietFrom = b.began.Add(-changeEvery), b.quietFrom.Add(changeEvery)
		known := last
		time.Sleep(2 * changeEvery)
		if last <= known {
			t.Error("a single change was not known at once")
		}
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}
