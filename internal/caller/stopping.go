package caller

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hyssoprelay/hyssoprelay/internal/drain"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// ErrStopping is the cause with which the context of a request ends whose answer has not begun when the process
// is about to end. The request must get its final answer at once. No streamed response can be begun any more.
var ErrStopping = eris.New("caller: the process is about to end")

// IsStopping reports whether the context of a request has ended with ErrStopping.
func IsStopping(ctx context.Context) bool { return errors.Is(context.Cause(ctx), ErrStopping) }

// AdvanceStop does what becomes due until now in a stop by the given schedule. It must be called regularly from the
// beginning of the stop.
func (s *Server) AdvanceStop(schedule drain.Schedule, now time.Time) {
	s.conns.Range(func(_, value any) bool {
		c := value.(*conn)
		if c.advanceStop(schedule, now) {
			s.activeRequests.Begin()
			go s.refuseIncoming(c, now)
		}
		return true
	})
}

// advanceStop is AdvanceStop for one connection. It reports whether the request that is being received is to be
// refused.
func (c *conn) advanceStop(schedule drain.Schedule, now time.Time) (refuse bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := len(c.open) == 0
	for i, w := range c.open {
		switch schedule.Decide(drain.Request{Stage: w.stage(i)}, now) {
		case drain.Refuse, drain.GiveUp:
			w.end()
		}
	}
	if !c.receiving || !idle || c.closing {
		return false
	}
	refuse = schedule.Decide(drain.Request{Stage: drain.Receiving}, now) == drain.Refuse
	c.closing = refuse
	return refuse
}

// refuseIncoming refuses the request that is being received. Its caller may still send the rest, and a connection
// that is closed then is reset, so that the caller may not see the refusal. Therefore it is closed with the server.
func (s *Server) refuseIncoming(c *conn, now time.Time) {
	defer s.activeRequests.End()
	reply := c.refusalOfUnread(now)
	if reply == nil {
		return
	}
	c.enqueue(reply)
	defer c.dequeue(reply)
	reply.Fail(result.New(result.ShuttingDown, "").WithRetryAfter(time.Second))
	_ = c.waitPendingBelow(context.Background(), 1, s.maxStall)
}

// stage returns how far the i-th open request of its connection has come. Whether it waits for an endpoint is known
// to those who serve it. The mu of conn must be held.
func (w *Reply) stage(i int) drain.Stage {
	switch {
	case w.sending:
		return drain.Sending
	case w.begun:
		return drain.Begun
	case i > 0:
		return drain.Queued
	default:
		return drain.Unanswered
	}
}

// end ends the context of the request with ErrStopping, or has it end when the request's turn comes. The mu of conn
// must be held.
func (w *Reply) end() {
	w.ended = true
	if w.stopServing != nil {
		w.stopServing(ErrStopping)
	}
}

// bindStop arranges that stop is called when the request is to end, or at once if it is by now.
func (w *Reply) bindStop(stop func(cause error)) {
	w.conn.mu.Lock()
	defer w.conn.mu.Unlock()
	w.stopServing = stop
	if w.ended {
		stop(ErrStopping)
	}
}

// markBegun records that the answer begins. It returns false if it must not, because it is a streamed one that would
// have no time.
func (w *Reply) markBegun(streamed bool) bool {
	w.conn.mu.Lock()
	defer w.conn.mu.Unlock()
	if streamed && w.ended {
		return false
	}
	w.begun = true
	return true
}
