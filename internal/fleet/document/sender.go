package document

import (
	"sync"
	"time"
)

const (
	// maxQueueDelay is the longest delay with which a copy is sent while another process
	// could send it instead.
	maxQueueDelay = 50 * time.Millisecond
	// maxRecipients is the largest number of recipients that are recorded for redirects.
	maxRecipients = 64
)

// Response is the response to a request for the newest version: a Copy or a Redirect.
type Response interface{ isResponse() }

// Copy is the newest version, to be sent after Delay.
type Copy struct {
	Encoded Encoded
	Delay   time.Duration
}

// Redirect refers the requesting process to the address of a process that was sent the
// newest version.
type Redirect struct{ Address string }

func (Copy) isResponse()     {}
func (Redirect) isResponse() {}

// Sender answers requests for the newest version with a copy or a redirect. Set the
// exported fields before the first call. It is safe for concurrent use.
//
// If sixty entries of a data centre requested from one entry a value that occupies its
// link for 0.1 s, the last of them would wait for sixty copies. A request that would have to
// wait is redirected to a process that was already sent a copy, so that the number of
// possible sources doubles with each transmission time of a copy.
type Sender struct {
	Versions *Versions
	Pacer    *Pacer

	mu sync.Mutex // guards all below
	// recipients are the addresses to which the version at revision was sent, and
	// lastRedirect is the index of the one named in the last redirect.
	recipients   []string
	lastRedirect int
	revision     int64
}

// Answer returns the response to a request from the process at addr, which holds the
// version at the revision held, or none if held is 0. It fails if the version can't be
// encoded.
func (s *Sender) Answer(addr string, held int64, now time.Time) (Response, error) {
	e, err := s.Versions.Encode(held)
	if err != nil {
		return nil, err
	}
	if len(e.Bytes) == 0 {
		return Copy{Encoded: e}, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.Revision != s.revision {
		s.revision, s.recipients, s.lastRedirect = e.Revision, nil, 0
	}
	if len(s.recipients) > 0 && s.Pacer.Delay(now) > maxQueueDelay {
		s.lastRedirect = (s.lastRedirect + 1) % len(s.recipients)
		return Redirect{Address: s.recipients[s.lastRedirect]}, nil
	}
	if len(s.recipients) < maxRecipients {
		s.recipients = append(s.recipients, addr)
	}
	return Copy{Encoded: e, Delay: s.Pacer.Reserve(len(e.Bytes), now)}, nil
}
