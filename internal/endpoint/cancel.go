package endpoint

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

const (
	// cancelTimeout bounds one cancel at the engine.
	cancelTimeout = 5 * time.Second
	// cancelWorkers is how many cancels go to the engine at once. It leaves
	// control connections for load reports and orders when the engine hangs.
	cancelWorkers = controlConns / 2
)

func streamPath(requestID string) string {
	return "/v1/streams/" + url.PathEscape(requestID)
}

func resumePath(requestID string, from uint64) string {
	return streamPath(requestID) + "/resume?from=" + strconv.FormatUint(from, 10)
}

// Cancel asks for a request to be cancelled at the engine, after Run has
// begun. It doesn't wait: nobody is left to tell, and an engine that is slow to
// answer must not hold up the agent. A cancel that finds cancelQueue others
// waiting is dropped and counted.
func (c *Client) Cancel(requestID string) {
	if !c.pending.add(requestID) {
		return
	}
	select {
	case c.cancels <- requestID:
	default:
		c.pending.done(requestID)
		c.counters.cancelsDropped.Inc(1)
	}
}

// pendingCancels are the requests whose cancels wait or are on their way.
//
// Guard: a caller whose connection broke asks anew under the same request ID. The
// cancel of the first attempt, which bears that ID, would end the second one if it
// came after it. So a request is sent only when no cancel for it is pending.
type pendingCancels struct {
	mu    sync.Mutex
	ended map[string]chan struct{}
}

// add notes a cancel. It returns false if there is one already.
func (p *pendingCancels) add(requestID string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended[requestID] != nil {
		return false
	}
	if p.ended == nil {
		p.ended = map[string]chan struct{}{}
	}
	p.ended[requestID] = make(chan struct{})
	return true
}

// done notes that a cancel has ended.
func (p *pendingCancels) done(requestID string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.ended[requestID])
	delete(p.ended, requestID)
}

// of returns a channel that closes when the pending cancel for a request has ended, or nil if there
// is none.
func (p *pendingCancels) of(requestID string) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended[requestID]
}

// awaitCancel waits until no cancel for the request is pending.
func (c *Client) awaitCancel(ctx context.Context, requestID string) error {
	ended := c.pending.of(requestID)
	if ended == nil {
		return nil
	}
	select {
	case <-ended:
		return nil
	case <-ctx.Done():
		return notSent(ctx)
	case <-c.ended:
		return errStopped()
	}
}

// runCancels sends cancels until ctx ends, cancelWorkers at a time.
func (c *Client) runCancels(ctx context.Context) {
	done := make(chan struct{}, cancelWorkers)
	for range cancelWorkers {
		go func() {
			c.sendCancels(ctx)
			done <- struct{}{}
		}()
	}
	for range cancelWorkers {
		<-done
	}
}

func (c *Client) sendCancels(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case id := <-c.cancels:
			c.cancel(ctx, id)
			c.pending.done(id)
		}
	}
}

func (c *Client) cancel(ctx context.Context, requestID string) {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	err := c.callControl(ctx, http.MethodDelete, streamPath(requestID), 0, nil, nil)
	if err != nil && result.CodeOf(err) != result.AnswerNotFound {
		c.counters.cancelsFailed.Inc(1)
	}
}
