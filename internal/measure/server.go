package measure

import (
	"fmt"
	"math"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/placement"
)

const (
	// batchGain is how much faster a request runs alone than in a full batch.
	batchGain = 1.0
	// coldCapacity is what a cold endpoint bears, and coldTime how long it
	// stays cold.
	coldCapacity = 1
	coldTime     = 10 * time.Second
	// prefillAlone is the time to the first piece in seconds, prefillBatch what
	// a full batch adds, and pieceEvery the time between later pieces.
	prefillAlone = 0.05
	prefillBatch = 0.15
	pieceEvery   = 0.2
)

// server is an endpoint: a few lines of behaviour.
type server struct {
	index     int
	name      string
	dc        int
	jobs      []*job
	updated   time.Duration
	version   int
	slow      float64
	out       bool
	failing   bool
	coldUntil time.Duration
	// incarnation counts restarts.
	incarnation uint64
	// overloads counts how often it got more than it bears while cold.
	overloads int
	falls     int
}

func newServer(i int) *server {
	return &server{
		index: i, name: fmt.Sprintf("endpoint%02d", i), dc: i / endpointsPerDC, slow: 1, incarnation: 1,
	}
}

func dcName(dc int) string { return fmt.Sprintf("dc%d", dc+1) }

func (s *server) cold(now time.Duration) bool { return now < s.coldUntil }

// bears returns how many requests the endpoint can run at once.
func (s *server) bears(now time.Duration) int {
	if s.cold(now) {
		return coldCapacity
	}
	return endpointCapacity
}

// speed returns how fast each of n requests advances: faster in a small batch,
// and beyond capacity so slowly that the whole endpoint yields less.
func (s *server) speed(n int) float64 {
	if n <= endpointCapacity {
		return (1 + batchGain) / (1 + batchGain*float64(n)/endpointCapacity) / s.slow
	}
	over := endpointCapacity / float64(n)
	return over * over / s.slow
}

// advance brings the progress of all running requests to now.
func (s *server) advance(now time.Duration) {
	done := (now - s.updated).Seconds() * s.speed(len(s.jobs))
	s.updated = now
	for _, j := range s.jobs {
		j.remaining -= done
	}
}

// nextEnd returns when the first running request ends, if nothing changes.
func (s *server) nextEnd() (time.Duration, bool) {
	if len(s.jobs) == 0 {
		return 0, false
	}
	least := math.Inf(1)
	for _, j := range s.jobs {
		least = math.Min(least, j.remaining)
	}
	left := math.Max(0, least) / s.speed(len(s.jobs))
	return s.updated + toDuration(left) + time.Microsecond, true
}

// take starts a request. It returns the requests that are lost when a cold
// endpoint gets more than it bears and falls over.
func (s *server) take(j *job, now time.Duration) (lost []*job) {
	s.advance(now)
	s.version++
	j.server = s
	j.remaining = j.work
	s.jobs = append(s.jobs, j)
	if !s.cold(now) || len(s.jobs) <= coldCapacity {
		return nil
	}
	s.overloads++
	return s.fall(now)
}

// fall restarts the endpoint, cold and empty.
func (s *server) fall(now time.Duration) []*job {
	lost := s.jobs
	s.jobs = nil
	s.falls++
	s.incarnation++
	s.coldUntil = now + coldTime
	return lost
}

// drop takes a request off, whether done or cancelled.
func (s *server) drop(j *job, now time.Duration) {
	s.advance(now)
	s.version++
	for i, x := range s.jobs {
		if x == j {
			s.jobs = append(s.jobs[:i], s.jobs[i+1:]...)
			return
		}
	}
}

// report returns what the agent says of the endpoint.
func (s *server) report(now time.Duration) placement.Report {
	r := placement.Report{
		Endpoint: s.name, Incarnation: s.incarnation, DataCentre: dcName(s.dc),
		Routes: []string{route}, Allowance: s.bears(now), Capacity: endpointCapacity,
		Running: len(s.jobs), Cold: s.cold(now), OutOfService: s.out, ValidAt: clock(now),
	}
	for _, j := range s.jobs {
		r.CommittedTokens += uint64(j.tokens)
	}
	return r
}

// route is the one model that the tables serve.
const route = "model"

var epoch = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

func clock(d time.Duration) time.Time { return epoch.Add(d) }
