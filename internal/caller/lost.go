package caller

import (
	"time"

	"github.com/sirupsen/logrus"
)

// Lost describes a caller's connection that was closed while a request was being received or
// answered, other than by the server's own decision.
type Lost struct {
	// Cause is the end of the stream if the caller or the event loop closed the connection, or else
	// the failure of a read, a write or a deadline.
	Cause error
	// Received is the number of bytes of a request that had not been received completely.
	Received int
	// Answering reports whether a request was being answered, and Pending is the number of bytes of
	// its answer that had not been sent.
	Answering bool
	Pending   int
	// Age is the time since the connection was opened.
	Age time.Duration
}

// Fields returns the description as fields of a log line.
func (l Lost) Fields() logrus.Fields {
	return logrus.Fields{
		"cause": l.Cause.Error(), "received": l.Received, "answering": l.Answering, "pending": l.Pending,
		"age": l.Age.Milliseconds(),
	}
}

// lost returns the description of a connection that cause has closed. It reports false if no
// request was being received or answered. It must be called before markDisconnected.
func (c *conn) lost(cause error, now time.Time) (Lost, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := Lost{
		Cause: cause, Received: int(c.unparsedBytes.Load()), Pending: c.pending, Age: now.Sub(c.openedAt),
	}
	select {
	case <-c.lastDone:
	default:
		// The goroutine that serves the request may not have seen yet that its answer was sent.
		l.Answering = c.handedOver != c.lastDone || c.pending > 0
	}
	return l, l.Answering || l.Received > 0
}
