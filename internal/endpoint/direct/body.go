package direct

import (
	"bytes"
	"io"
	"slices"
	"time"
)

// Sizes in bytes of the parts in which a body of unknown size is read.
const (
	minPart = readBufferSize
	maxPart = 256 << 10
)

// Read reads the body. It returns io.EOF only if the body is complete, and a LimitError if its
// encoding exceeds a limit.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.resp.Body.Read(p)
	switch {
	case err == io.EOF:
		r.complete = true
	case err != nil && exceedsFraming(err):
		err = r.conn.guard.limitError(LimitFraming)
	}
	return n, err
}

// ReadAll reads the whole body and calls hold, which may fail, with the size of each part. It
// returns a LimitError if the body is too long, or a body of unknown length needs more memory than
// there is, and ErrSecondResponse if another response begins within the body.
func (r *Response) ReadAll(hold func(n int) error) ([]byte, error) {
	if r.Length > MaxAnswerBytes {
		return nil, &LimitError{Limit: LimitAnswer, Bytes: r.conn.guard.received}
	}
	var parts [][]byte
	size, next := 0, r.firstPart()
	for {
		part := make([]byte, next)
		n, err := r.fillPart(part)
		size += n
		parts = append(parts, part[:n])
		if limitErr := r.holdBody(size); limitErr != nil {
			return nil, limitErr
		}
		if holdErr := hold(n); holdErr != nil {
			return nil, holdErr
		}
		if err == io.EOF {
			return r.checkBody(join(parts))
		}
		if err != nil {
			return nil, err
		}
		next = min(max(size, minPart), maxPart)
	}
}

// checkBody returns the whole body, or ErrSecondResponse if another response begins within it.
func (r *Response) checkBody(body []byte) ([]byte, error) {
	if i := r.secondResponse(body); i >= 0 {
		r.reportSecond(body[i:])
		return nil, ErrSecondResponse
	}
	if r.endsWithinHead(body) {
		return nil, ErrSecondResponse
	}
	return body, nil
}

// endsWithinHead reports whether the length of the body cuts the head of another response in two, of
// which the second part follows the body. A response that begins behind the body is none of its parts.
func (r *Response) endsWithinHead(body []byte) bool {
	next, _ := r.conn.br.Peek(r.conn.br.Buffered()) // doesn't read
	if len(next) == 0 {
		return false
	}
	end := body[max(0, len(body)-maxHeadBytes):]
	seen := slices.Concat(end, next)
	i := r.secondResponse(seen)
	if i < 0 || i >= len(end) {
		return false
	}
	r.reportSecond(seen[i:])
	return true
}

// firstPart returns the size of the first part, which is the whole body if it is small and of known
// length.
func (r *Response) firstPart() int {
	if r.Length < 0 {
		return minPart
	}
	return int(min(max(r.Length, 1), maxPart))
}

func join(parts [][]byte) []byte {
	if len(parts) == 1 {
		return parts[0]
	}
	return bytes.Join(parts, nil)
}

// holdBody counts the bytes of a body that have been read.
func (r *Response) holdBody(size int) error {
	if size > MaxAnswerBytes {
		return &LimitError{Limit: LimitAnswer, Bytes: r.conn.guard.received}
	}
	if r.Length >= 0 {
		return nil
	}
	return r.hold(size, uncountedBodyBytes)
}

// fillPart reads until part is full or an error occurs.
func (r *Response) fillPart(part []byte) (int, error) {
	n := 0
	for n < len(part) {
		m, err := r.Read(part[n:])
		n += m
		if err != nil {
			return n, err
		}
	}
	return n, nil
}

// Discard reads the rest of a body that nobody needs, so that the connection can be used again. It
// leaves a body unread that is too long or arrives too late, and returns a LimitError if the endpoint
// sends more than a body of unknown length may have.
func (r *Response) Discard() error {
	if r.Length > maxDiscardedBytes {
		return nil
	}
	_ = r.conn.SetReadDeadline(time.Now().Add(discardTimeout)) // a failure shows in the next read
	n, err := io.Copy(io.Discard, io.LimitReader(r, maxDiscardedBytes+1))
	_ = r.conn.SetReadDeadline(time.Time{})
	if n > maxDiscardedBytes {
		return &LimitError{Limit: LimitDiscarded, Bytes: r.conn.guard.received}
	}
	if limitErr := AsLimitError(err); limitErr != nil {
		return limitErr
	}
	return nil
}
