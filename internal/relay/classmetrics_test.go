package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/hyssoprelay/hyssoprelay/internal/caller"
	"github.com/hyssoprelay/hyssoprelay/internal/routing"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// More requests wait than the queue holds. Guards against a displaced request whose log line does not
// say by which class, and against one that waited without a reason.
func TestWaitSaysWhichLimitAndWhoDisplaced(t *testing.T) {
	st, s := newGroup(2)
	now := start.Add(100 * time.Millisecond)
	reportLoads(st, true, true, now)
	waits := make([]Wait, maxWaiting)
	for i := range waits {
		req := classRequest(s, fmt.Sprint(i), 5, now)
		req.FirstPartDeadline, req.Wait = now.Add(-time.Millisecond), &waits[i]
		admitAsync(st, req, fixedClock(now))
	}
	for queued(st) < maxWaiting {
		time.Sleep(time.Millisecond)
	}
	if n := st.waitingOfClass(serviceClass{"quotes", 5}); n != maxWaiting {
		t.Errorf("%d of class 5 wait", n)
	}
	admitAsync(st, classRequest(s, "urgent", 0, now), fixedClock(now))
	for st.waitingOfClass(serviceClass{"quotes", 0}) == 0 {
		time.Sleep(time.Millisecond)
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	displaced, closed := 0, 0
	for _, w := range waits {
		if w.displaced && w.displacedBy == 0 {
			displaced++
		}
		if w.limit == result.GroupClosed {
			closed++
		}
	}
	// The others were never tried, because the first one was before them.
	if displaced != 1 || closed != 1 {
		t.Errorf("%d displaced by class 0, %d waited for the closed group", displaced, closed)
	}
}

// Thousands of accounts have waiting requests in turn. Guards against metrics that grow with them.
func TestAccountMetricsAreBounded(t *testing.T) {
	r := metrics.NewRegistry()
	m := NewMetrics(r)
	var shown []accountWaiting
	for round := range 100 {
		var now []accountWaiting
		for i := range maxAccountMetrics {
			now = append(now, accountWaiting{fmt.Sprint("a", round*3+i), int64(i)})
		}
		shown = m.showAccounts(shown, now)
	}
	n := 0
	r.Each(func(name string, _ any) {
		if len(name) > len("relay.accounts.") && name[:len("relay.accounts.")] == "relay.accounts." {
			n++
		}
	})
	if n != maxAccountMetrics {
		t.Errorf("%d metrics of accounts", n)
	}
}

// Guards against late answers that are not counted, in particular those that begin in time and pause.
func TestLateAnswers(t *testing.T) {
	st := newState("me", &routing.Service{Name: "quotes"})
	route := &routing.Route{TargetLatency: 400 * time.Millisecond, MaxGap: 120 * time.Millisecond}
	for name, c := range map[string]struct {
		first, pause time.Duration
		want         bool
	}{
		"in time":     {399 * time.Millisecond, 120 * time.Millisecond, false},
		"late first":  {401 * time.Millisecond, 0, true},
		"long pause":  {time.Millisecond, 121 * time.Millisecond, true},
		"no answer":   {0, 0, false},
		"at the edge": {400 * time.Millisecond, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			j := &job{relay: &Relay{State: st}, raw: &caller.RawRequest{ReceivedAt: start}, route: route, longestPause: c.pause}
			if c.first > 0 {
				j.firstPartAt = start.Add(c.first)
			}
			if got := j.isLate(); got != c.want {
				t.Errorf("late is %v", got)
			}
		})
	}
}

// Entries froze at different times. Guards against ages that show only the newest report.
func TestReportAges(t *testing.T) {
	st := newState("me", &routing.Service{Name: "quotes"})
	for i := range 5 {
		st.mu.Lock()
		st.entryLoads[fmt.Sprint("entry", i)] = EntryLoad{At: start.Add(time.Duration(-i) * time.Second)}
		st.mu.Unlock()
	}
	r := metrics.NewRegistry()
	NewMetrics(r).RegisterGauges(st, func() time.Time { return start })
	for name, want := range map[string]int64{"oldest": 4000, "median": 2000, "ignored": 2} {
		if got := r.Get("relay.reports." + name).(metrics.Gauge).Value(); got != want {
			t.Errorf("%s: %d, want %d", name, got, want)
		}
	}
}

// Guards against counters that allocate on each request.
func BenchmarkClassCounters(b *testing.B) {
	m := NewMetrics(metrics.NewRegistry())
	b.ReportAllocs()
	for b.Loop() {
		m.classOf(serviceClass{"quotes", 3}).started.Inc(1)
	}
}
