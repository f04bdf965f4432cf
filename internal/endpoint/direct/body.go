package direct

import (
	"io"
	"time"
)

// Read reads the body. It returns io.EOF only if the body is complete.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.resp.Body.Read(p)
	if err == io.EOF {
		r.complete = true
	}
	return n, err
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
