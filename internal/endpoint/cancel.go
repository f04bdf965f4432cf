package endpoint

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
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
	select {
	case c.cancels <- requestID:
	default:
		c.counters.cancelsDropped.Inc(1)
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
