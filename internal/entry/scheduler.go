package entry

import (
	"context"
	"sync"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/caller/admission"
	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/placement"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

const (
	// absentRetry is when a caller should come back whose route has no
	// endpoint in service: about the time in which a VM starts to be seen.
	absentRetry = time.Second
	// idleWake bounds how long the scheduler sleeps when nothing waits.
	idleWake = time.Second
	// leastWake keeps a deadline that is due from spinning the scheduler.
	leastWake = time.Millisecond
)

// job is one request on its way through the scheduler.
type job struct {
	id      string
	request admission.Request
	query   placement.Query
	// verdict gets one value for each time that the job is handed in: nil when
	// it has a place, else why it never will.
	verdict chan *result.Error

	// The scheduler's lock guards the rest.
	why     result.Code
	choice  placement.Choice
	attempt *placement.Attempt
}

// scheduler joins the deciding packages: admission says which request goes
// next, placement where to. The tables are shared by all requests.
type scheduler struct {
	mu        sync.Mutex
	admission admission.Controller
	balancer  placement.Balancer
	budget    admission.RetryBudget
	jobs      map[string]*job
	arrivals  map[string]int
	peaks     map[string]demand
	wake      chan struct{}
}

// demand is what an account asks of this entry.
type demand struct {
	rate float64 // requests a second
	open int
}

// peakDecay is the part of a peak that is left after each report, so that
// demand is remembered for some seconds.
const peakDecay = 0.8

// demand returns what each account has asked for lately, given that it is
// asked every period.
func (s *scheduler) demand(period time.Duration) map[string]demand {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, d := range s.peaks {
		d.rate = max(d.rate*peakDecay, float64(s.arrivals[name])/period.Seconds())
		d.open = max(int(float64(d.open)*peakDecay), s.admission.Open(name)+s.arrivals[name])
		s.peaks[name] = d
	}
	clear(s.arrivals)
	out := make(map[string]demand, len(s.peaks))
	for name, d := range s.peaks {
		out[name] = d
		if d.rate < leastRate && d.open == 0 {
			delete(s.peaks, name)
		}
	}
	return out
}

// leastRate is the demand below which an account counts as idle here.
const leastRate = 0.01

// arrived notes an arrival for the account's demand. The lock must be held.
func (s *scheduler) arrived(account string) {
	s.arrivals[account]++
	if _, ok := s.peaks[account]; !ok {
		s.peaks[account] = demand{}
	}
}

func (s *scheduler) init() {
	s.jobs = map[string]*job{}
	s.arrivals = map[string]int{}
	s.peaks = map[string]demand{}
	s.wake = make(chan struct{}, 1)
}

// submit hands a new job in. Its verdict comes at once or later.
func (s *scheduler) submit(j *job, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.jobs[j.id] = j
	s.arrived(j.request.Account)
	s.budget.RecordFirstAttempt(now)
	d := s.admission.Arrive(j.request, now, s.placer(now))
	s.decided(j, d, now)
}

// refused hands a job in again whose attempt an agent has refused as not run.
// The endpoint did no work for it, so it costs no retry budget; it waits like
// any other until an endpoint has room, and the refusing one is left alone for
// the time that its agent asked for.
func (s *scheduler) refused(j *job, retryAfter time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.release(j, true, retryAfter, now)
	s.requeue(j, now)
}

// retry hands a job in again whose attempt may have cost an endpoint work.
// Without the retry budget, the retries of an overload would multiply it.
func (s *scheduler) retry(j *job, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.Fail(j.attempt, now)
	s.release(j, false, 0, now)
	if !s.budget.TrySpend(now) {
		s.drop(j, result.New(result.RetryBudget, "").WithRetryAfter(absentRetry), now)
		return
	}
	s.requeue(j, now)
}

func (s *scheduler) requeue(j *job, now time.Time) {
	j.why = result.OK
	s.decided(j, s.admission.Requeue(j.id, now), now)
	s.pump(now)
}

func (s *scheduler) release(j *job, refused bool, retryAfter time.Duration, now time.Time) {
	if j.attempt == nil {
		return
	}
	j.query.Excluded = append(j.query.Excluded, j.choice.Endpoint)
	if refused {
		s.balancer.Refuse(j.attempt, retryAfter, now)
	} else {
		s.balancer.End(j.attempt, now)
	}
	j.attempt = nil
}

// decided passes a decision on to the job and to those it displaced.
func (s *scheduler) decided(j *job, d admission.Decision, now time.Time) {
	switch d := d.(type) {
	case admission.Start:
		j.verdict <- nil
	case admission.Wait:
		for _, r := range d.Displaced {
			s.refuse(r)
		}
		if absent(j.why) {
			// Waiting can't help: an endpoint must come into service first. The
			// caller learns it now, not at its deadline.
			s.drop(j, result.New(j.why, "").WithRetryAfter(absentRetry), now)
		}
		s.nudge()
	case admission.Refused:
		delete(s.jobs, j.id)
		j.verdict <- result.New(d.Code, "").WithRetryAfter(d.RetryAfter)
	}
}

// absent reports whether a route has no endpoint that could take work later.
func absent(c result.Code) bool {
	switch c {
	case result.NoEndpoint, result.OutOfService, result.NotServedHere:
		return true
	}
	return false
}

func (s *scheduler) drop(j *job, e *result.Error, now time.Time) {
	s.admission.Cancel(j.id)
	s.admission.Done(j.id, now)
	delete(s.jobs, j.id)
	j.verdict <- e
}

func (s *scheduler) refuse(r admission.QueuedRefusal) {
	j, ok := s.jobs[r.ID]
	if !ok {
		return
	}
	delete(s.jobs, r.ID)
	j.verdict <- result.New(r.Code, "").WithRetryAfter(r.RetryAfter)
}

// placer returns how admission asks for a place.
func (s *scheduler) placer(now time.Time) admission.Placer {
	return func(r *admission.Request) bool {
		j, ok := s.jobs[r.ID]
		if !ok {
			return false
		}
		c, ok := s.choose(j, now)
		if !ok {
			return false
		}
		j.choice = c
		j.attempt = s.balancer.Start(c, j.query, now)
		return j.attempt != nil
	}
}

// choose prefers endpoints that the job has not tried. When there is none, one
// that it has tried is better than no answer.
func (s *scheduler) choose(j *job, now time.Time) (placement.Choice, bool) {
	c, ok, why := s.balancer.Choose(j.query, now)
	if !ok && len(j.query.Excluded) > 0 {
		q := j.query
		q.Excluded = nil
		c, ok, why = s.balancer.Choose(q, now)
	}
	j.why = why
	return c, ok
}

// accepted notes that an attempt's agent took it.
func (s *scheduler) accepted(j *job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if j.attempt != nil {
		s.balancer.Accept(j.attempt)
	}
}

// piece notes that an attempt's answer goes on.
func (s *scheduler) piece(j *job, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if j.attempt != nil {
		s.balancer.Progress(j.attempt, now)
	}
}

// done ends a job, whatever its outcome, and starts what waits for its place.
func (s *scheduler) done(j *job, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.release(j, false, 0, now)
	if _, ok := s.jobs[j.id]; ok {
		delete(s.jobs, j.id)
		s.admission.Done(j.id, now)
	}
	s.pump(now)
}

// report takes an agent's report in and starts what it makes room for.
func (s *scheduler) report(r placement.Report, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.Update(r, now)
	s.pump(now)
}

// pump starts and refuses waiting jobs. The lock must be held.
func (s *scheduler) pump(now time.Time) {
	started, refused := s.admission.Next(now, s.placer(now))
	for i := range started {
		if j, ok := s.jobs[started[i].ID]; ok {
			j.verdict <- nil
		}
	}
	for _, r := range refused {
		s.refuse(r)
	}
}

func (s *scheduler) nudge() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// run refuses waiting jobs at the moment in which they can't be on time.
func (s *scheduler) run(ctx context.Context, now func() time.Time) error {
	t := time.NewTimer(idleWake)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.wake:
		case <-t.C:
		}
		t.Reset(s.tick(now()))
	}
}

// tick pumps and returns how long the scheduler may sleep.
func (s *scheduler) tick(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pump(now)
	at, ok := s.admission.NextRefusal()
	if !ok {
		return idleWake
	}
	return min(idleWake, max(leastWake, at.Sub(now)))
}
