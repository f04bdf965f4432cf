package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/routing"
)

const (
	// fullBatch is the batch that the model engine runs without a limit, and longPause a pause with
	// eight requests for each engine that is longer than callers tolerate.
	fullBatch = 12
	longPause = 140 * time.Millisecond
)

// unreportedState returns the state of an entry with twelve engines, whose groups are unknown, of a
// service whose routes have the given priorities.
func unreportedState(priorities ...int) *State {
	e := testEngine()
	e.PrefillRate, e.PrefillChunk = 74800, 512
	s := &routing.Service{Name: "quotes", Engine: e}
	var routes []*routing.Route
	for _, p := range priorities {
		routes = append(routes, &routing.Route{
			Name: fmt.Sprint("r", p), Host: "h", Prefix: fmt.Sprint("/", p), Priority: p, MaxGap: 120 * time.Millisecond,
			Splits: []routing.Split{{Service: "quotes", Weight: 1}},
		})
	}
	st := &State{Name: "me", DataCentre: "a", Seed: 1, Freshness: &Freshness{}}
	st.Init(start)
	st.SetTable(routing.NewTable(1, routes, []*routing.Service{s}, nil, routing.Limits{}), start)
	listEndpoints(st, 12, "quotes")
	st.refresh(start)
	return st
}

// classesState returns unreportedState with the engines in two groups of six.
func classesState(priorities ...int) *State {
	st := unreportedState(priorities...)
	reportGroup(st, 1, 0, 6, false, start)
	reportGroup(st, 2, 6, 12, false, start)
	return st
}

// reportGroup reports the engines from first up to last, which run eight requests each, as a group.
func reportGroup(st *State, group uint64, first, last int, closed bool, at time.Time) {
	loads := newLoads(last, at)[first:]
	for i := range loads {
		loads[i].Running, loads[i].Group, loads[i].Closed = 8, group, closed
	}
	st.SetLoads(loads, at)
}

// observePauses has a stream of each of three engines of the first group pause for the given time, for
// a second, and returns the time after it.
func observePauses(st *State, pause time.Duration, from time.Time) time.Time {
	now := from
	for now.Sub(from) < time.Second {
		now = now.Add(pause)
		reportGroup(st, 1, 0, 6, false, now)
		for i := range 3 {
			st.ObservePauses(Assignment{Endpoint: st.endpoints[fmt.Sprint("e", i)]}, pause, pause, now)
		}
	}
	return now
}

func assertBatch(t *testing.T, st *State, engine, least, most int) {
	t.Helper()
	n, _ := st.endpointCapacity(st.endpoints[fmt.Sprint("e", engine)])
	if n < least || n > most {
		t.Errorf("engine %d may run %d requests, want %d to %d", engine, n, least, most)
	}
}

// Guards against batches with which passes stay longer than callers tolerate, and against a limit
// where none is called for: in another group, or for a service without classes.
func TestBatchLimitFollowsPausesOfItsGroup(t *testing.T) {
	t.Run("classes", func(t *testing.T) {
		st := classesState(0, 1)
		now := observePauses(st, longPause, start)
		st.ObservePauses(Assignment{Endpoint: st.endpoints["e6"]}, longPause/2, longPause/2, now)
		assertBatch(t, st, 0, 5, 7)
		assertBatch(t, st, 5, 5, 7)
		assertBatch(t, st, 6, fullBatch, fullBatch)
	})
	t.Run("no classes", func(t *testing.T) {
		st := classesState(1)
		observePauses(st, longPause, start)
		assertBatch(t, st, 0, fullBatch, fullBatch)
	})
	t.Run("groups unknown", func(t *testing.T) {
		st := unreportedState(0, 1)
		running := map[string]int{}
		for i := range 12 {
			running[fmt.Sprint("e", i)] = 8
		}
		st.SetEntryLoads([]EntryLoad{{Entry: "other", Sequence: 1, Running: running, At: start}}, start)
		for at := longPause; at < time.Second; at += longPause {
			st.ObservePauses(Assignment{Endpoint: st.endpoints["e0"]}, longPause, longPause, start.Add(at))
		}
		assertBatch(t, st, 0, 5, 7)
		assertBatch(t, st, 11, 5, 7)
	})
	t.Run("short pauses", func(t *testing.T) {
		st := classesState(0, 1)
		observePauses(st, longPause/2, start)
		assertBatch(t, st, 0, fullBatch, fullBatch)
	})
}

// Guards against a limit that outlives what it was derived from, and against one that is lost
// because a leader's report lacks a rank.
func TestBatchLimitOutlivesOnlyOpenGroup(t *testing.T) {
	t.Run("reopened", func(t *testing.T) {
		st := classesState(0, 1)
		now := observePauses(st, longPause, start)
		reportGroup(st, 1, 0, 6, true, now.Add(time.Millisecond))
		reportGroup(st, 1, 0, 6, false, now.Add(2*time.Millisecond))
		st.ObservePauses(Assignment{Endpoint: st.endpoints["e0"]}, longPause/2, longPause/2, now.Add(longPause))
		assertBatch(t, st, 0, fullBatch, fullBatch)
		st.refresh(now.Add(reportInterval))
		observePauses(st, longPause, now.Add(reportInterval))
		assertBatch(t, st, 0, 5, 7)
	})
	t.Run("report lacks a rank", func(t *testing.T) {
		st := classesState(0, 1)
		now := observePauses(st, longPause, start)
		reportGroup(st, 3, 0, 5, false, now.Add(time.Millisecond))
		assertBatch(t, st, 0, 5, 7)
		reportGroup(st, 1, 0, 6, false, now.Add(2*time.Millisecond))
		assertBatch(t, st, 5, 5, 7)
	})
	t.Run("no observations", func(t *testing.T) {
		st := classesState(0, 1)
		now := observePauses(st, longPause, start)
		for range 2 {
			now = now.Add(reportInterval)
			st.refresh(now)
		}
		assertBatch(t, st, 0, 5, 7)
		now = now.Add(reportInterval)
		st.refresh(now)
		assertBatch(t, st, 0, 7, fullBatch-2)
		for range 3 {
			now = now.Add(reportInterval)
			st.refresh(now)
		}
		assertBatch(t, st, 0, fullBatch, fullBatch)
	})
}

// newJob returns a job whose stream of an engine of the first group has had its first event.
func newJob(st *State) (*job, Assignment) {
	assigned := Assignment{Endpoint: st.endpoints["e0"]}
	j := &job{relay: &Relay{State: st}, table: st.Table(), service: st.Table().Service("quotes"), lastPartAt: start}
	j.observePause(assigned, true, start)
	return j, assigned
}

// Guards against a limit that falls because events are delivered late, or because a stream was moved
// or resumed, whose first event follows the reading of its prompt.
func TestLateDeliveriesDoNotLowerBatchLimit(t *testing.T) {
	for name, c := range map[string]struct {
		pauses  []time.Duration
		resumed bool
		limited bool
	}{
		"long passes":     {pauses: []time.Duration{longPause, longPause}, limited: true},
		"late deliveries": {pauses: []time.Duration{longPause, longPause / 4}},
		"resumed streams": {pauses: []time.Duration{longPause, longPause}, resumed: true},
		"stalled streams": {pauses: []time.Duration{time.Second, longPause}},
	} {
		t.Run(name, func(t *testing.T) {
			st := classesState(0, 1)
			j, assigned := newJob(st)
			now := start
			for i := range 40 {
				now = now.Add(c.pauses[i%len(c.pauses)])
				reportGroup(st, 1, 0, 6, false, now)
				j.observePause(assigned, c.resumed && i%2 == 0, now)
				j.lastPartAt = now
			}
			if c.limited {
				assertBatch(t, st, 0, 5, 7)
			} else {
				assertBatch(t, st, 0, fullBatch, fullBatch)
			}
		})
	}
}

// Guards against gauges that show no limit while one is in force, or one for a service without
// classes.
func TestBatchGauges(t *testing.T) {
	st := classesState(0, 1)
	if s := st.BatchStates(start)["quotes"]; s != (BatchState{Limit: fullBatch}) {
		t.Errorf("%+v without observations", s)
	}
	now := observePauses(st, longPause, start)
	if s := st.BatchStates(now)["quotes"]; s.Limit > 7 || s.Stretch < 3 || s.Decoding != 8 || s.PauseAge != 0 {
		t.Errorf("%+v after long pauses", s)
	}
	if states := classesState(1).BatchStates(start); len(states) > 0 {
		t.Errorf("%+v without classes", states)
	}
}

// BenchmarkObservePauses measures what each event of a stream costs.
func BenchmarkObservePauses(b *testing.B) {
	st := classesState(0, 1)
	assigned, now := Assignment{Endpoint: st.endpoints["e0"]}, start
	b.ReportAllocs()
	for range b.N {
		now = now.Add(3 * time.Millisecond)
		st.ObservePauses(assigned, 70*time.Millisecond, 70*time.Millisecond, now)
	}
}
