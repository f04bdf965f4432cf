package engine

import (
	"sync"
	"time"
)

// stream is one request as it is computed: its tokens come one after another
// whether or not anybody reads them.
//
// Lock order: mu only.
type stream struct {
	id    string
	total int

	mu      sync.Mutex
	ready   int
	over    bool
	lost    bool
	changed chan struct{}
}

func newStream(id string, total int) *stream {
	return &stream{id: id, total: total, changed: make(chan struct{})}
}

// compute makes the tokens, pause long each, and returns whether all came.
func (s *stream) compute(pause func(n int) time.Duration, stallAt int) bool {
	for n := range s.total {
		if stallAt > 0 && n == stallAt {
			s.waitOver()
		}
		time.Sleep(pause(n))
		if !s.add() {
			return false
		}
	}
	s.end(false)
	return true
}

// add makes one more token ready unless the stream is over.
func (s *stream) add() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.over {
		return false
	}
	s.ready++
	s.notifyLocked()
	return true
}

// end ends the stream; lost means that readers lose their connection.
func (s *stream) end(lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.over {
		return
	}
	s.over, s.lost = true, lost
	s.notifyLocked()
}

func (s *stream) notifyLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// next waits until token n is ready and says whether it will be; lost says
// that the reader has to lose its connection.
func (s *stream) next(n int) (ok, lost bool) {
	for {
		s.mu.Lock()
		ready, over, dropped, changed := s.ready, s.over, s.lost, s.changed
		s.mu.Unlock()
		if n < ready {
			return true, false
		}
		if over {
			return false, dropped
		}
		<-changed
	}
}

// waitOver waits until the stream has ended.
func (s *stream) waitOver() {
	for {
		s.mu.Lock()
		over, changed := s.over, s.changed
		s.mu.Unlock()
		if over {
			return
		}
		<-changed
	}
}
