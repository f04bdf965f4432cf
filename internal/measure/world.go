package measure

import (
	"container/heap"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/placement"
)

// lag describes how old reports are.
type lag struct {
	every time.Duration
	delay time.Duration
}

var usualLag = lag{every: 200 * time.Millisecond, delay: 100 * time.Millisecond}

// entry is the policy of one entry.
type entry interface {
	// arrive meets a request, for the first time or again.
	arrive(j *job, now time.Duration)
	// heard takes in a report.
	heard(r placement.Report, now time.Duration)
	// ended learns that an attempt has ended; whole says whether it ran to its
	// end.
	ended(j *job, whole bool, now time.Duration)
	// expired learns that the caller's deadline has passed.
	expired(j *job, now time.Duration)
	// piece learns of a piece of an attempt's answer.
	piece(j *job, now time.Duration)
	// tick gives the entry a moment to start what waits.
	tick(now time.Duration)
}

// world holds the simulated time, the endpoints and the entries.
type world struct {
	shape   shape
	lag     lag
	servers []*server
	entries []entry
	jobs    []*job
	queue   eventQueue
	seq     uint64
	now     time.Duration
	// naive says that the entries hear no pieces and that no bound is needed,
	// which saves most of a run's time.
	naive bool
	// agentRefusals counts offers that an agent turned down.
	agentRefusals int
}

func (w *world) at(t time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, event{max(t, w.now), w.seq, do})
}

const tickEvery = 20 * time.Millisecond

// newWorld prepares one run. The policy makes the entries.
func newWorld(s shape, l lag, seed uint64, policy func(w *world, i int) entry) *world {
	w := &world{shape: s, lag: l, jobs: s.arrivals(seed)}
	for i := range dataCentres * endpointsPerDC {
		w.servers = append(w.servers, newServer(i))
	}
	for i := range dataCentres * entriesPerDC {
		w.entries = append(w.entries, policy(w, i))
	}
	return w
}

// end is when the last deadline has passed.
func (w *world) end() time.Duration {
	end := runLength
	for _, j := range w.jobs {
		end = max(end, j.deadline)
	}
	return end
}

// run plays all events to the last deadline.
func (w *world) run() {
	w.plan()
	end := w.end()
	for len(w.queue) > 0 && w.queue[0].at <= end {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
}

func (w *world) plan() {
	for _, s := range w.servers {
		// Agents report at different moments, as real ones do.
		w.reports(s, time.Duration(s.index)*w.lag.every/time.Duration(len(w.servers)))
	}
	for i := range w.entries {
		w.ticks(w.entries[i], time.Duration(i)*time.Millisecond)
	}
	for _, j := range w.jobs {
		w.at(j.arrival, func() { w.entries[j.entry].arrive(j, w.now) })
		w.at(j.deadline, func() { w.expire(j) })
	}
	w.planFaults()
}

func (w *world) planFaults() {
	if w.shape.slowEndpoint > 0 {
		s := w.servers[5]
		w.at(30*time.Second, func() { w.setSlow(s, w.shape.slowEndpoint) })
		w.at(90*time.Second, func() { w.setSlow(s, 1) })
	}
	if w.shape.failing {
		s := w.servers[5]
		w.at(30*time.Second, func() { s.failing = true })
		w.at(90*time.Second, func() { s.failing = false })
	}
	if w.shape.leave {
		w.at(30*time.Second, func() { w.setOut(2, true) })
		w.at(70*time.Second, func() { w.setOut(2, false) })
	}
}

func (w *world) setSlow(s *server, factor float64) {
	s.advance(w.now)
	s.slow = factor
	s.version++
	w.planEnd(s)
}

// setOut takes a data centre out of service. It is cold when it returns.
func (w *world) setOut(dc int, out bool) {
	for _, s := range w.servers {
		if s.dc != dc {
			continue
		}
		s.out = out
		if !out {
			s.incarnation++
			s.coldUntil = w.now + coldTime
		}
	}
}

func (w *world) reports(s *server, at time.Duration) {
	w.at(at, func() {
		r := s.report(w.now)
		w.at(w.now+w.lag.delay, func() {
			for _, e := range w.entries {
				e.heard(r, w.now)
			}
		})
		w.reports(s, w.now+w.lag.every)
	})
}

func (w *world) ticks(e entry, at time.Duration) {
	w.at(at, func() {
		e.tick(w.now)
		w.ticks(e, w.now+tickEvery)
	})
}

// failAfter is how long a failing endpoint takes to fail.
const failAfter = 20 * time.Millisecond

// start runs an attempt at an endpoint, whatever that can bear.
func (w *world) start(s *server, j *job) {
	j.attempt++
	attempt := j.attempt
	if s.failing {
		w.at(w.now+failAfter, func() {
			if j.attempt == attempt {
				w.entries[j.entry].ended(j, false, w.now)
			}
		})
		return
	}
	lost := s.take(j, w.now)
	for _, x := range lost {
		w.at(w.now, func() { w.entries[x.entry].ended(x, false, w.now) })
	}
	if lost != nil {
		return
	}
	w.planEnd(s)
	if w.naive {
		return
	}
	prefill := prefillAlone + prefillBatch*float64(len(s.jobs))/endpointCapacity
	w.pieces(s, j, attempt, toDuration(prefill*s.slow))
}

// pieces sends the entry a piece after d and then one each pieceEvery.
func (w *world) pieces(s *server, j *job, attempt uint64, d time.Duration) {
	w.at(w.now+d, func() {
		if j.attempt != attempt || j.server != s {
			return
		}
		w.entries[j.entry].piece(j, w.now)
		w.pieces(s, j, attempt, toDuration(pieceEvery*s.slow))
	})
}

// offer runs an attempt if the endpoint's agent accepts it.
func (w *world) offer(s *server, j *job) bool {
	if s.out || len(s.jobs) >= s.bears(w.now) {
		w.agentRefusals++
		return false
	}
	w.start(s, j)
	return true
}

// cancel stops an attempt.
func (w *world) cancel(j *job) {
	s := j.server
	if s == nil {
		return
	}
	j.server = nil
	s.drop(j, w.now)
	w.planEnd(s)
}

func (w *world) planEnd(s *server) {
	at, ok := s.nextEnd()
	if !ok {
		return
	}
	version := s.version
	w.at(at, func() {
		if s.version == version {
			w.finish(s)
		}
	})
}

// finish ends the requests whose work is done.
func (w *world) finish(s *server) {
	s.advance(w.now)
	const eps = 1e-5
	for _, j := range append([]*job(nil), s.jobs...) {
		if j.remaining > eps {
			continue
		}
		s.drop(j, w.now)
		j.server = nil
		w.deliver(j)
		w.entries[j.entry].ended(j, true, w.now)
	}
	s.version++
	w.planEnd(s)
}

// deliver hands a whole answer to the caller.
func (w *world) deliver(j *job) {
	if j.outcome != pending {
		return
	}
	j.outcome = served
}

func (w *world) expire(j *job) {
	if j.outcome == pending {
		j.outcome = late
		w.tell(j)
	}
	w.entries[j.entry].expired(j, w.now)
}

// tell records that the caller has heard of a failure.
func (w *world) tell(j *job) {
	if j.told == 0 {
		j.told = w.now
	}
}

// giveUp records that the caller has been refused for good.
func (w *world) giveUp(j *job) {
	if j.outcome == pending {
		j.outcome = refused
		w.tell(j)
	}
}
