package agent

import (
	"sync"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/endpoint"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// fallTime is the time within which connections that break belong to one fall of the endpoint.
const fallTime = 100 * time.Millisecond

// falls numbers the falls of the endpoint: the moments at which it broke connections with requests
// that it worked on.
type falls struct {
	mu     sync.Mutex // guards all below
	number uint64
	lastAt time.Time
}

// note records that a connection broke and returns the number of the fall.
func (f *falls) note(now time.Time) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.number == 0 || now.Sub(f.lastAt) > fallTime {
		f.number++
	}
	f.lastAt = now
	return f.number
}

// fellUnder reports whether the endpoint broke the connection of an attempt that it may have worked on.
func fellUnder(err error) bool {
	switch result.CodeOf(err) {
	case result.OutcomeUnknown, result.AnswerIncomplete:
		return endpoint.ConnectionLost(err)
	default:
		return false
	}
}
