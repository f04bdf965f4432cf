package endpoint

import "errors"

// Limits on what an endpoint may send besides the parts of an answer. What is held until it is whole
// is bounded by Client.MaxAnswerBytes; these bound what is dropped, which would otherwise go on until
// the deadline of the request.
const (
	// maxHeadBytes, maxHeadLines and maxInterim bound the head of an answer together with the interim
	// responses before it.
	maxHeadBytes = 32 << 10
	maxHeadLines = 200
	maxInterim   = 8
	// maxEventBytes bounds one event of a stream. Events usually carry a few tokens.
	maxEventBytes = 256 << 10
	// maxOtherBytes bounds the blocks without data between two events.
	maxOtherBytes = 64 << 10
	// maxFailedBytes bounds the body of a failed answer, of which detailLimit bytes are kept.
	maxFailedBytes = 64 << 10
	// maxFramingBytes bounds the chunk headers of an answer in excess of framingFactor times its data.
	// A chunk of one byte takes 6.
	maxFramingBytes = 64 << 10
	framingFactor   = 16
)

var (
	errHeadTooLong    = errors.New("the head of the answer is larger than the limit")
	errTooManyInterim = errors.New("too many interim responses")
	errOtherTooLong   = errors.New("more comments between events than the limit")
	errFramingTooLong = errors.New("more chunk headers than the limit")
	errAnswerTooLong  = errors.New("the answer is larger than the limit")
)

// received enforces the limits after n bytes have been parsed. A head that ends within them counts
// only with what came before.
func (r *response) received(n int) {
	if r.countStray(n) {
		return
	}
	switch {
	case !r.headDone:
		if r.headBytes += n; r.headBytes > maxHeadBytes {
			r.fail("%w", errHeadTooLong)
		}
		return
	case r.bodyGrew:
		// All bytes before the last n have been parsed, since a body part came after them.
		if r.rawBytes > maxFramingBytes+framingFactor*r.bodyBytes {
			r.fail("%w", errFramingTooLong)
		}
	}
	r.bodyGrew = false
	r.rawBytes += n
}

// countBody counts a part of the body.
func (r *response) countBody(n int) {
	r.bodyGrew = true
	if r.bodyBytes += n; r.stream == nil && r.bodyBytes > r.limit {
		r.fail("%w", errAnswerTooLong)
	}
}

// countHeadLine counts a header line or a trailer.
func (r *response) countHeadLine() {
	if r.headLines++; r.headLines > maxHeadLines {
		r.fail("%w", errHeadTooLong)
	}
}

// addDetail keeps the first bytes of a failed answer. Beyond maxFailedBytes the answer counts as
// complete, and its connection is closed: the head has said that the endpoint failed.
func (r *response) addDetail(data []byte) {
	n := min(len(data), detailLimit-len(r.failedDetail))
	r.failedDetail = append(r.failedDetail, data[:n]...)
	if r.bodyBytes > maxFailedBytes {
		r.complete, r.closing = true, true
	}
}
