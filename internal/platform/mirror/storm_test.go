package mirror

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/platform"
)

// stormService is a service behind a narrow line in which a large value is written every gap.
type stormService struct {
	began time.Time
	gap   time.Duration
	// valueBytes is the size of a version in an answer, and otherBytes that of all other keys.
	valueBytes, otherBytes int
	// maxReply is the length from which on the answer to a poll is refused, in bytes.
	maxReply       int
	bytesPerSecond float64
	lists          int
}

func (s *stormService) revision() int64 { return 1 + int64(time.Since(s.began)/s.gap) }

// transfer returns once an answer has passed the line.
func (s *stormService) transfer(ctx context.Context, bytes int) error {
	select {
	case <-time.After(time.Duration(float64(bytes) / s.bytesPerSecond * float64(time.Second))):
	case <-ctx.Done():
	}
	return ctx.Err()
}

// newest returns the newest version.
func (s *stormService) newest() []platform.KeyValue {
	return []platform.KeyValue{platform.NewKeyValue("large", nil, s.revision(), 0)}
}

func (s *stormService) List(ctx context.Context, _, _ string, _ int) (platform.RangeReply, error) {
	s.lists++
	reply := platform.NewRangeReply(s.revision(), s.newest(), false)
	return reply, s.transfer(ctx, s.valueBytes+s.otherBytes)
}

func (s *stormService) Poll(ctx context.Context, _ string, after int64, _ time.Duration) (platform.Changed, error) {
	for s.revision() <= after && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	c := platform.Changed{Revision: s.revision(), KVs: s.newest()}
	bytes := int(c.Revision-after) * s.valueBytes
	if bytes > s.maxReply {
		if err := s.transfer(ctx, s.maxReply); err != nil {
			return platform.Changed{}, err
		}
		return platform.Changed{}, fmt.Errorf("%d bytes: %w", bytes, ErrTooLong)
	}
	return c, s.transfer(ctx, bytes)
}

// A value of a megabyte is written more often than the line of the process carries it, for longer than the
// service keeps its history. Guards against a process that falls behind without end, and against lists
// without a pause.
func TestChangesAreKnownInAStormBeyondTheLine(t *testing.T) {
	const (
		storm = 30 * time.Second
		bound = 2 * time.Second
	)
	for _, gap := range []time.Duration{10 * time.Millisecond, 80 * time.Millisecond, 250 * time.Millisecond, 400 * time.Millisecond} {
		t.Run(gap.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &stormService{
					began: time.Now(), gap: gap, valueBytes: 1_400_000, otherBytes: 200_000, maxReply: 2 << 20, bytesPerSecond: 5e6,
				}
				ctx, cancel := context.WithTimeout(t.Context(), storm)
				defer cancel()
				knownAt, updates, oldest := time.Now(), 0, time.Duration(0)
				m := &Mirror{
					Reader: s, Wait: 700 * time.Millisecond, Settle: 200 * time.Millisecond, Now: time.Now,
					Apply: func(u Update) {
						oldest = max(oldest, time.Since(knownAt))
						knownAt = u.RequestedAt
						updates++
					},
					OnError: func(err error) { t.Errorf("a call failed: %v", err) },
				}
				if err := m.Run(ctx); err != nil {
					t.Error(err)
				}
				if oldest = max(oldest, time.Since(knownAt)); oldest > bound {
					t.Errorf("the state became %v old", oldest)
				}
				if most := 1 + int(storm/minRelistInterval); s.lists > most {
					t.Errorf("%d lists in %v", s.lists, storm)
				}
				t.Logf("%d updates, %d lists, at most %v old", updates, s.lists, oldest)
			})
		})
	}
}
