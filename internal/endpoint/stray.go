package endpoint

import "github.com/sirupsen/logrus"

const (
	// maxStrays is how many answers to other requests are skipped before the request's own.
	maxStrays = 2
	// maxStrayBytes bounds them together. What one read returns beyond the last of them is not counted.
	maxStrayBytes = 256 << 10
)

// strayAnswer is an answer to another request than the one that was sent last.
type strayAnswer struct {
	status int
	// names is the request that the answer names.
	names string
}

// checkRequestID compares the ID that an answer names with that of the request.
//
// Guard: an endpoint may answer a request twice, the second time when its connection has been given
// to the next request, whose caller would get another one's answer. The ID tells them apart, so an
// answer on a connection that has carried other requests has to name its request, and a connection
// is kept only after an answer that does.
func (r *response) checkRequestID(id string) {
	switch {
	case id == r.requestID:
		r.named = true
	case r.reused && r.stray == nil:
		r.stray = &strayAnswer{names: id}
	case !r.reused:
		r.fail("answer to request %q", id)
	}
}

// checkOwner decides, after the head, whether the answer is the request's own.
func (r *response) checkOwner() {
	switch {
	case r.fault != nil:
	case r.stray != nil:
		r.stray.status = r.status
		if r.named || len(r.strays) == maxStrays {
			r.fail("answer to request %q", r.stray.names)
		}
	case !r.named && !r.failed():
		r.unnamed = true
		if r.reused {
			r.fail("status %d without a request ID, on a connection that has carried other requests", r.status)
		}
	}
}

// countStray bounds the skipped answers, after n bytes have been parsed. It reports whether the bytes
// have been counted.
func (r *response) countStray(n int) bool {
	ended := r.strayEnded
	r.strayEnded = false
	if r.stray == nil {
		return ended
	}
	if r.strayBytes += n; r.strayBytes > maxStrayBytes {
		r.fail("%w", errAnswerTooLong)
	}
	return true
}

// skipStray notes that a stray answer has been read and makes r ready for the next one.
func (r *response) skipStray() {
	r.strays = append(r.strays, *r.stray)
	r.stray, r.strayEnded = nil, true
	r.status, r.length, r.contentType, r.incarnation, r.retryAfter = 0, "", "", "", 0
	r.chunked, r.closing, r.named = false, false, false
	r.headBytes, r.headLines, r.interims = 0, 0, 0
}

// reportUnnamed logs the first answer that names no request.
func (c *Client) reportUnnamed(cn *conn, resp *response) {
	c.logOf(cn, resp).WithField("answerStatus", resp.status).Info("an answer from endpoint names no request; each call gets a connection of its own")
}

func (c *Client) logOf(cn *conn, resp *response) logrus.FieldLogger {
	return c.Log.WithFields(logrus.Fields{"address": c.Addr, "request": resp.requestID, "requestsBefore": cn.requests})
}

// reportStrays logs and counts what the endpoint sent on cn besides the answer to the call.
func (c *Client) reportStrays(cn *conn, resp *response) {
	log := c.logOf(cn, resp)
	for _, s := range resp.strays {
		c.counters.strayAnswers.Inc(1)
		log.WithFields(logrus.Fields{"answerStatus": s.status, "names": s.names}).Info("answer from endpoint names another request")
	}
	if resp.foreign() && (resp.headDone || resp.unnamed) {
		c.counters.strayAnswers.Inc(1)
		log.WithField("answerStatus", resp.status).Info("answer from endpoint names no request")
	}
	if resp.overrun {
		c.reportUnasked(cn, 0)
	}
}

// reportUnasked logs and counts bytes that came while no answer was due, n of which were not parsed.
func (c *Client) reportUnasked(cn *conn, n int) {
	c.counters.strayBytes.Inc(1)
	c.Log.WithFields(logrus.Fields{"address": c.Addr, "requestsBefore": cn.requests, "bytes": n}).Info("bytes from endpoint belong to no answer")
}
