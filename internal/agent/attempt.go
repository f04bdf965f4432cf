package agent

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssoprelay/hyssoprelay/internal/peer/peerpb"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// maxAnswerBytes is how much of one answer an agent holds. Beyond it the
// endpoint waits for the slowest follower, and pieces that all have are
// forgotten.
const maxAnswerBytes = 4 << 20

// attempt is one run of a request at the endpoint, with the answer so far.
// Pieces are only ever appended, so that any number of calls can follow it,
// each at its own pace, and a piece of one attempt can't reach another.
type attempt struct {
	req    *peerpb.RunRequest
	digest uint64
	// serial names the attempt among all of the endpoint's agents.
	serial uint64
	begun  time.Time
	// cancel ends the run at the endpoint.
	cancel context.CancelFunc

	mu       sync.Mutex
	accepted *peerpb.Accepted
	head     *peerpb.Head
	first    uint64 // number of pieces[0]
	pieces   [][]byte
	bytes    int    // of pieces
	total    uint64 // bytes of all pieces, forgotten ones included
	end      *peerpb.End
	endedAt  time.Time
	// holder and holderRequestID name the attempt that holds the claim.
	holder, holderRequestID string
	// falls are the numbers of the endpoint's falls while it worked on the attempt.
	falls []uint64
	// changed closes at the next change.
	changed   chan struct{}
	followers map[*follower]struct{}
}

// follower is one call that reads an attempt.
type follower struct {
	next uint64
}

func newAttempt(req *peerpb.RunRequest, cancel context.CancelFunc, now time.Time) *attempt {
	return &attempt{
		req:       req,
		digest:    bodyDigest(req),
		begun:     now,
		cancel:    cancel,
		changed:   make(chan struct{}),
		followers: map[*follower]struct{}{},
	}
}

// is reports whether a call that knows the serial, or none, means this attempt.
//
// Guard: a caller whose answer broke asks anew under the same request id and
// then fetches the rest of the first answer. Pieces of the new attempt would
// follow those of the old one, and the two texts would read as one answer.
func (a *attempt) is(serial uint64) bool { return serial == 0 || serial == a.serial }

// bodyDigest names what is asked for, to tell a repeat from another request
// under the same id.
func bodyDigest(req *peerpb.RunRequest) uint64 {
	h := xxhash.New()
	for _, s := range []string{req.GetRoute(), req.GetMethod(), req.GetPath(), req.GetIdempotencyKey()} {
		_, _ = h.WriteString(s)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(req.GetBody())
	return h.Sum64()
}

// notify wakes all who wait. The attempt's lock must be held.
func (a *attempt) notify() {
	close(a.changed)
	a.changed = make(chan struct{})
}

func (a *attempt) setAccepted(m *peerpb.Accepted) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.accepted = m
	a.notify()
}

// noteFall records that the endpoint fell while it worked on the attempt.
func (a *attempt) noteFall(number uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !slices.Contains(a.falls, number) {
		a.falls = append(a.falls, number)
	}
}

func (a *attempt) setHead(h *peerpb.Head) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.head = h
	a.notify()
}

// add appends a piece. When the answer is larger than an agent holds, it waits
// until followers have read; without a follower nobody will, and the answer
// can't be kept whole.
func (a *attempt) add(ctx context.Context, b []byte) error {
	for {
		a.mu.Lock()
		a.forget()
		if a.bytes == 0 || a.bytes+len(b) <= maxAnswerBytes {
			a.pieces = append(a.pieces, b)
			a.bytes += len(b)
			a.total += uint64(len(b))
			a.notify()
			a.mu.Unlock()
			return nil
		}
		unread := len(a.followers) == 0
		changed := a.changed
		a.mu.Unlock()
		if unread {
			return result.Newf(result.AnswerIncomplete, "the answer is over %d bytes and nobody reads it", maxAnswerBytes)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// set makes body the only piece of an answer that is known already. Calls follow
// the attempt by then.
func (a *attempt) set(body []byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pieces = [][]byte{body}
	a.bytes = len(body)
	a.total = uint64(len(body))
	a.notify()
}

// forget drops pieces that every follower has, once the answer is too large to
// be kept whole. The lock must be held.
func (a *attempt) forget() {
	if a.bytes < maxAnswerBytes/2 || len(a.followers) == 0 {
		return
	}
	least := a.first + uint64(len(a.pieces))
	for f := range a.followers {
		least = min(least, f.next)
	}
	for a.first < least && a.bytes >= maxAnswerBytes/2 {
		a.bytes -= len(a.pieces[0])
		a.pieces[0] = nil
		a.pieces = a.pieces[1:]
		a.first++
	}
}

// finish sets the attempt's end. The first end stays.
func (a *attempt) finish(e *peerpb.End, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.end != nil {
		return
	}
	e.Pieces = a.first + uint64(len(a.pieces))
	e.Bytes = a.total
	e.Holder = a.holder
	e.HolderRequestId = a.holderRequestID
	e.EndpointFalls = a.falls
	a.end = e
	a.endedAt = now
	a.notify()
}

// count returns how many pieces the attempt has so far.
func (a *attempt) count() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.first + uint64(len(a.pieces))
}

// ended returns the end and its time, or nil while the attempt runs.
func (a *attempt) ended() (*peerpb.End, time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.end, a.endedAt
}

// kept returns how many bytes the attempt holds.
func (a *attempt) kept() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.bytes
}

// cursor is how far a follower has come.
type cursor struct {
	accepted, head bool
}

// follow passes the attempt's messages to send, from piece number from on,
// until its end or until ctx ends.
func (a *attempt) follow(ctx context.Context, from uint64, joined bool, send func(*peerpb.RunReply) error) error {
	f := &follower{next: from}
	if !a.attach(f) {
		return send(endReply(result.New(result.AnswerNotFound, "the first pieces are no longer kept")))
	}
	defer a.detach(f)
	var c cursor
	for {
		reply, changed := a.next(f, &c, joined)
		if reply == nil {
			select {
			case <-changed:
				continue
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		if err := send(reply); err != nil {
			return err
		}
		if reply.GetEnd() != nil {
			return nil
		}
	}
}

func (a *attempt) attach(f *follower) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if f.next < a.first {
		return false
	}
	a.followers[f] = struct{}{}
	return true
}

func (a *attempt) detach(f *follower) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.followers, f)
	a.notify()
}

// next returns the follower's next message, or a channel that closes when
// there may be one.
func (a *attempt) next(f *follower, c *cursor, joined bool) (*peerpb.RunReply, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.accepted != nil && !c.accepted:
		c.accepted = true
		m := &peerpb.Accepted{Endpoint: a.accepted.Endpoint, Incarnation: a.accepted.Incarnation, Joined: joined, Serial: a.serial}
		return &peerpb.RunReply{Kind: &peerpb.RunReply_Accepted{Accepted: m}}, nil
	case a.head != nil && !c.head:
		c.head = true
		return &peerpb.RunReply{Kind: &peerpb.RunReply_Head{Head: a.head}}, nil
	case f.next < a.first+uint64(len(a.pieces)):
		p := &peerpb.Piece{Number: f.next, Data: a.pieces[f.next-a.first]}
		f.next++
		if a.bytes >= maxAnswerBytes/2 {
			a.notify()
		}
		return &peerpb.RunReply{Kind: &peerpb.RunReply_Piece{Piece: p}}, nil
	case a.end != nil:
		return &peerpb.RunReply{Kind: &peerpb.RunReply_End{End: a.end}}, nil
	}
	return nil, a.changed
}

// endReply returns the message for a request that e answers.
func endReply(e *result.Error) *peerpb.RunReply {
	return &peerpb.RunReply{Kind: &peerpb.RunReply_End{End: endOf(e)}}
}

func endOf(e *result.Error) *peerpb.End {
	if e == nil {
		return &peerpb.End{Code: int32(result.OK)}
	}
	return &peerpb.End{
		Code:             int32(e.Code()),
		Detail:           e.Detail(),
		RetryAfterMicros: e.RetryAfter().Microseconds(),
	}
}
