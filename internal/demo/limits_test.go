package demo

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/standin/engine"
)

const limitedConcurrency = 6

// mostAtOnce samples how many requests run at all engines together until ctx
// ends. An engine's own count is exact; the sum of counts that are read one
// after the other can miss requests that end and begin meanwhile, and is never
// more than what ran within one round of reading.
func mostAtOnce(ctx context.Context, s *System) int {
	most := 0
	for ctx.Err() == nil {
		sum := 0
		for _, dc := range s.DataCentres {
			sum += s.Engine(dc + "-engine-0").Counters().Running
		}
		most = max(most, sum)
		time.Sleep(200 * time.Microsecond)
	}
	return most
}

// A caller's program floods all six entries in three data centres at once, and
// one of the entries dies while another starts. Its account may have six
// requests open. Without shares whose sum stays under the limit, each entry
// would let six in, and 36 would take the engines from the other callers.
func TestAccountLimitHoldsOverAllEntries(t *testing.T) {
	s := startSystem(t, func(s *System) {
		s.Entries = 2
		s.EngineSettings = engine.Settings{Capacity: 16, ColdBound: 16, WarmAfter: 4, TokenMicros: 2000}
		s.Preset = strings.Replace(Preset("ordinary", 1), "concurrency = 400", fmt.Sprint("concurrency = ", limitedConcurrency), 1)
	})
	l := &Load{Rate: 300, Deadline: 2 * time.Second, Seed: 9, Entries: s.Serving, Dial: s.Network.From("callers"), Only: []Shape{Streamed, Plain}}
	ctx, cancel := context.WithCancel(context.Background())
	loaded := make(chan error, 1)
	go func() { loaded <- l.Run(ctx) }()
	watched := make(chan int, 1)
	go func() { watched <- mostAtOnce(ctx, s) }()
	time.Sleep(1500 * time.Millisecond)
	s.KillEntry(s.EntriesOf("b")[0])
	time.Sleep(time.Second)
	if _, err := s.StartEntry("b", "b-entry-new"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(1500 * time.Millisecond)
	cancel()
	if err := <-loaded; err != nil {
		t.Fatal(err)
	}
	most := <-watched
	r := NewReport(s, l.Outcomes(), nil)
	assertUnbroken(t, r)
	if most > limitedConcurrency {
		t.Errorf("%d ran at once, the limit is %d", most, limitedConcurrency)
	}
	served := 0
	for _, c := range r.counts {
		served += c.whole
	}
	if served == 0 {
		t.Error("nothing was served")
	}
	t.Logf("%d ran at once at most, %d were served; results %v", most, served, r.codes)
}
