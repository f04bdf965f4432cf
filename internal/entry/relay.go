package entry

import (
	"net/http"

	"github.com/hyssoprelay/hyssoprelay/internal/caller"
	"github.com/hyssoprelay/hyssoprelay/internal/peer/peerpb"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// maxWholeBytes bounds an answer that is not streamed, which the entry holds
// until it is whole, so that a broken one can be tried again unseen.
const maxWholeBytes = 8 << 20

// relay passes one answer on to its caller. It outlives attempts: what has
// been passed on stays, and a later attempt goes on from there.
type relay struct {
	w       *caller.Reply
	stream  bool
	fetchID string

	head  *peerpb.Head
	next  uint64 // number of the piece that must come next
	bytes uint64
	body  []byte
	// skipped says that the caller has the first pieces already, so that the
	// count of bytes can't be checked.
	skipped bool
}

// begun reports whether the caller has seen a part of the answer.
func (r *relay) begun() bool { return r.w.Started() }

// reset forgets the pieces of an attempt that the caller has seen nothing of.
func (r *relay) reset() {
	r.head = nil
	r.next = 0
	r.bytes = 0
	r.body = nil
}

// takeHead takes the head of the answer. One that comes again with the rest of the answer must be the
// same.
func (r *relay) takeHead(h *peerpb.Head) error {
	switch {
	case r.head == nil:
		r.head = h
	case h.GetStatus() != r.head.GetStatus() || h.GetContentType() != r.head.GetContentType():
		return result.Newf(result.AnswerIncomplete, "status %d and %q came in place of %d and %q",
			h.GetStatus(), h.GetContentType(), r.head.GetStatus(), r.head.GetContentType())
	}
	return nil
}

// takePiece checks a piece's number and passes it on. A gap or a repeat means
// that the pieces don't belong together.
func (r *relay) takePiece(p *peerpb.Piece) error {
	if p.GetNumber() != r.next {
		return result.Newf(result.AnswerIncomplete, "piece %d came in place of %d", p.GetNumber(), r.next)
	}
	if r.head == nil {
		return result.New(result.AnswerIncomplete, "a piece came before the head")
	}
	r.next++
	r.bytes += uint64(len(p.GetData()))
	if !r.stream || !ok(r.head) {
		return r.collect(p.GetData())
	}
	if !r.w.Started() {
		if err := r.w.BeginStream(int(r.head.GetStatus()), r.head.GetContentType(), r.fetchID); err != nil {
			return err
		}
	}
	return r.w.WriteChunk(p.GetData())
}

// ok reports whether the endpoint took the request: its refusals are short and
// are passed on whole, also where a stream was asked for.
func ok(h *peerpb.Head) bool {
	return h.GetStatus() >= http.StatusOK && h.GetStatus() < http.StatusMultipleChoices
}

func (r *relay) collect(b []byte) error {
	if len(r.body)+len(b) > maxWholeBytes {
		return result.Newf(result.EndpointFailed, "the answer is over %d bytes", maxWholeBytes)
	}
	r.body = append(r.body, b...)
	return nil
}

// finish ends the answer if it is whole: the agent's count of pieces and bytes
// must agree with what has arrived.
func (r *relay) finish(e *peerpb.End) *result.Error {
	sized := r.skipped || e.GetBytes() == r.bytes
	if e.GetPieces() != r.next || !sized || r.head == nil {
		return result.Newf(result.AnswerIncomplete, "%d pieces of %d arrived", r.next, e.GetPieces())
	}
	if err := r.end(); err != nil {
		return result.New(result.Cancelled, "")
	}
	return nil
}

// end sends the answer, or the end of one that has begun.
func (r *relay) end() error {
	if r.w.Started() {
		return r.w.EndStream()
	}
	return r.w.Send(int(r.head.GetStatus()), r.head.GetContentType(), r.fetchID, r.body)
}
