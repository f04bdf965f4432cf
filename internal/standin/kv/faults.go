package kv

import (
	"time"

	"github.com/sirupsen/logrus"
)

// faults are the switches that are on.
type faults struct {
	down bool
	slow time.Duration
	lose int
	hold bool
}

// Counts are the calls that the stand-in has met.
type Counts struct {
	writes int
	reads  int
	lost   int
}

// Writes returns the number of writes, a transaction being one.
func (c Counts) Writes() int { return c.writes }

// Reads returns the number of reads, a watch being one.
func (c Counts) Reads() int { return c.reads }

// Lost returns the number of writes whose answers were lost.
func (c Counts) Lost() int { return c.lost }

// Counts returns the calls so far.
func (s *Server) Counts() Counts {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// SetDown drops all connections and refuses new ones while down.
func (s *Server) SetDown(down bool) {
	s.init()
	s.mu.Lock()
	s.faults.down = down
	s.wake()
	g := s.gate
	s.mu.Unlock()
	if s.Events != nil {
		s.Events.WithFields(logrus.Fields{"process": "kv", "down": down}).Info("service switched")
	}
	if g != nil {
		g.set(down)
	}
}

// SetSlow delays each call by d before its effect.
func (s *Server) SetSlow(d time.Duration) {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.slow = d
}

// LoseAnswers lets the next n writes take effect without an answer.
func (s *Server) LoseAnswers(n int) {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.lose = n
}

// LapseLeases takes d from the time that each lease has left, as if its holder
// had been paused for d. Leases with more time left stay.
func (s *Server) LapseLeases(d time.Duration) {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.lapse(d)
	s.expire()
}

// HoldWatches holds watch events back; they are sent when it ends.
func (s *Server) HoldWatches(hold bool) {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.hold = hold
	s.wake()
}

// Compact forgets the changes before the current revision.
func (s *Server) Compact() {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.compact(s.store.revision + 1)
	s.wake()
}

// Copy is a copy of the stored state.
type Copy struct{ store *store }

// Copy takes a copy of the state.
func (s *Server) Copy() Copy {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{store: s.store.copy()}
}

// Restore puts an older copy in place of the state and breaks all watches.
func (s *Server) Restore(c Copy) {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store = c.store.copy()
	s.epoch++
	s.wake()
}

// meter counts calls a second against a limit.
type meter struct {
	limit int
	from  time.Time
	n     int
}

func (m *meter) take(now time.Time) bool {
	if m.limit == 0 {
		return true
	}
	if now.Sub(m.from) >= time.Second {
		m.from = now
		m.n = 0
	}
	m.n++
	return m.n <= m.limit
}
