package document

import (
	"sync"
	"time"
)

const (
	// mostWait is how long a copy may wait for its turn on the line of who was asked
	// while others hold one.
	mostWait = 50 * time.Millisecond
	// mostNamed is how many receivers are remembered, to name them to others.
	mostNamed = 64
)

// Answer is what one who asks for the newest version gets: Copy or Elsewhere.
type Answer interface{ isAnswer() }

// Copy is the newest version, to be sent after some time.
type Copy struct {
	Packed Packed
	After  time.Duration
}

// Elsewhere is the address of one who has been given the newest version.
type Elsewhere struct{ Address string }

func (Copy) isAnswer()      {}
func (Elsewhere) isAnswer() {}

// Sender decides who gives the newest version to whom. Set the exported fields before
// the first call. It is safe for concurrent use.
//
// Load: sixty entries of a data centre ask one of them for a value that takes a tenth
// of a second of its line. Harm prevented: the last of them waits for sixty copies. Who
// would have to wait is sent to one that has its copy, so the number of those who can
// give one doubles with each copy's time.
type Sender struct {
	Holder *Holder
	Pace   *Pace

	mu sync.Mutex // guards all below
	// given are the addresses of those who were given the revision, and next the one
	// that is named next.
	given    []string
	next     int
	revision int64
}

// Ask answers one who is met at an address and holds the version of a revision.
func (s *Sender) Ask(asker string, held int64, now time.Time) (Answer, error) {
	p, err := s.Holder.Pack(held)
	if err != nil {
		return nil, err
	}
	if len(p.Bytes) == 0 {
		return Copy{Packed: p}, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.Revision != s.revision {
		s.revision, s.given, s.next = p.Revision, nil, 0
	}
	if len(s.given) > 0 && s.Pace.Wait(now) > mostWait {
		s.next = (s.next + 1) % len(s.given)
		return Elsewhere{Address: s.given[s.next]}, nil
	}
	if len(s.given) < mostNamed {
		s.given = append(s.given, asker)
	}
	return Copy{Packed: p, After: s.Pace.Take(len(p.Bytes), now)}, nil
}
