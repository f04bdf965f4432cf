package readers

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

// simulation is a data centre in which each process, every tick, sends a request to the
// store or to another process, unless it waits for an answer.
type simulation struct {
	names     []string
	selectors map[string]*SourceSelector
	// dead processes don't run. The store rejects the calls of rejected ones at once.
	dead, rejected map[string]bool
	// shuttingDown processes are shutting down, and neither send requests nor serve others.
	shuttingDown map[string]bool
	// Calls of partitioned processes to the store time out. timedOut holds those of
	// them that have had such a call, and callEnds the time at which the pending one
	// times out.
	partitioned, timedOut map[string]bool
	callEnds              map[string]time.Time
	// waiting holds the pending request of each process to another one.
	waiting   map[string]pendingRequest
	freshness map[string]*Freshness
	// switches counts how often each process changed its source.
	switches   map[string]int
	lastSource map[string]string
	// knownAt is the time before which a process knows all changes.
	knownAt map[string]time.Time
	now     time.Time
	calls   int
}

// pendingRequest is a request to source, which waits for a change until a time.
type pendingRequest struct {
	source string
	until  time.Time
}

const (
	tick = 50 * time.Millisecond
	// retryPollWait is the wait of a poll if the store did not answer the last one, or
	// if the state of the process comes from another one.
	retryPollWait = 50 * time.Millisecond
)

func newSimulation(n int) *simulation {
	s := &simulation{
		selectors: map[string]*SourceSelector{}, dead: map[string]bool{}, rejected: map[string]bool{},
		shuttingDown: map[string]bool{}, partitioned: map[string]bool{}, timedOut: map[string]bool{}, callEnds: map[string]time.Time{},
		waiting:   map[string]pendingRequest{},
		freshness: map[string]*Freshness{}, switches: map[string]int{}, lastSource: map[string]string{},
		knownAt: map[string]time.Time{}, now: start,
	}
	for i := range n {
		name := fmt.Sprint("entry", i)
		s.names = append(s.names, name)
		s.selectors[name] = &SourceSelector{Self: name}
		s.freshness[name] = &Freshness{Self: name, Wait: tick / 2}
		s.knownAt[name] = start
	}
	return s
}

// newLongPollSimulation returns a simulation whose polls wait as long as they do where
// changes have to be in force within the time change. It has already run for a second.
func newLongPollSimulation(n int, change time.Duration) *simulation {
	s := newSimulation(n)
	for _, f := range s.freshness {
		f.Wait = Wait(change)
	}
	s.run(time.Second)
	return s
}

// run advances the simulation by d and returns the number of calls that the store got.
func (s *simulation) run(d time.Duration) int {
	s.calls = 0
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(tick) {
		for _, name := range s.names {
			if !s.dead[name] && !s.shuttingDown[name] {
				s.step(name)
			}
		}
	}
	return s.calls
}

// step makes a process send a request, or continues its pending one.
func (s *simulation) step(name string) {
	selector := s.selectors[name]
	if until, ok := s.callEnds[name]; ok {
		if s.now.Before(until) {
			return
		}
		delete(s.callEnds, name)
		s.timedOut[name] = true
		s.freshness[name].NoteFailure()
		selector.NoteStore(false, s.now)
		return
	}
	if q, ok := s.waiting[name]; ok {
		s.checkPending(name, q)
		return
	}
	source := selector.Source(s.names, s.now)
	if s.lastSource[name] != source {
		s.lastSource[name] = source
		s.switches[name]++
	}
	if source == "" && s.partitioned[name] {
		s.sendUnansweredPoll(name)
		return
	}
	if source == "" {
		s.calls++
		selector.NoteStore(!s.rejected[name], s.now)
		if !s.rejected[name] {
			s.knownAt[name] = s.now
			s.freshness[name].NoteUpdate(name)
		}
		return
	}
	if s.running(source) && s.outcome(name, source) == Fresh && !s.knownAt[source].After(s.knownAt[name]) {
		s.waiting[name] = pendingRequest{source: source, until: s.now.Add(MaxFollowWait)}
		return
	}
	s.receive(name, source)
}

// running reports whether a process runs and isn't shutting down.
func (s *simulation) running(name string) bool { return !s.dead[name] && !s.shuttingDown[name] }

// outcome returns the outcome of a request of the process name to source.
func (s *simulation) outcome(name, source string) Outcome {
	return s.freshness[source].Answer(name, s.knownAt[source], s.now)
}

// checkPending ends a request once the source has an update, the time is over, or the
// source's own poll is late.
func (s *simulation) checkPending(name string, q pendingRequest) {
	updated := s.running(q.source) && s.knownAt[q.source].After(s.knownAt[name])
	late := s.freshness[q.source].LateAt()
	if !updated && s.now.Before(q.until) && (late.IsZero() || s.now.Before(late)) {
		return
	}
	delete(s.waiting, name)
	s.receive(name, q.source)
}

// sendUnansweredPoll makes a process send a poll to the store that will time out.
func (s *simulation) sendUnansweredPoll(name string) {
	due := s.now.Add(s.freshness[name].Wait)
	if s.timedOut[name] || s.freshness[name].Origin() != name {
		due = s.now.Add(retryPollWait)
	}
	s.freshness[name].NoteRequest(due)
	s.callEnds[name] = due.Add(PollSlack)
}

// receive delivers the answer of source to the process name.
func (s *simulation) receive(name, source string) {
	o := NoAnswer
	switch {
	case s.shuttingDown[source]:
		o = ShuttingDown
	case !s.dead[source]:
		o = s.outcome(name, source)
	}
	s.selectors[name].NoteAnswer(source, o, s.now)
	if o == Fresh {
		s.knownAt[name] = s.knownAt[source]
		s.freshness[name].NoteUpdate(s.freshness[source].Origin())
	}
}

// checkFresh verifies that the state of each process that isn't dead is at most within
// old.
func (s *simulation) checkFresh(t *testing.T, within time.Duration) {
	t.Helper()
	for _, name := range s.names {
		if age := s.now.Sub(s.knownAt[name]); !s.dead[name] && age > within {
			t.Errorf("the state of %s is %v old", name, age)
		}
	}
}

// maxAge advances the simulation by d and returns the greatest age that the state of any
// process had in that time, other than those in except.
func (s *simulation) maxAge(d time.Duration, except ...string) time.Duration {
	var age time.Duration
	for end := s.now.Add(d); s.now.Before(end); {
		s.run(tick)
		for _, name := range s.names {
			if !slices.Contains(except, name) {
				age = max(age, s.now.Sub(s.knownAt[name]))
			}
		}
	}
	return age
}
