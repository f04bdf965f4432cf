package relay

import (
	"time"

	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// Retry-After times by the reason for a refusal: how soon the reason usually passes.
const (
	// retryAfterBusy is about the time in which a batch frees a slot: streams last about two
	// seconds on 100 and more slots.
	retryAfterBusy = 250 * time.Millisecond
	// retryAfterNoEndpoint is about the time after which endpoints that start or come back are
	// listed.
	retryAfterNoEndpoint = 700 * time.Millisecond
	// minOutage is how long a service must have given no answer to count as down: several times the
	// usual interval between two answers.
	minOutage = 700 * time.Millisecond
	// maxOutageRetryAfter bounds the Retry-After time during an outage.
	maxOutageRetryAfter = 5 * time.Second
	// maxRetryAfterDivisor bounds Retry-After to the caller's remaining time divided by it. Callers
	// wait no longer than that before they retry, and the rest has to suffice for an answer.
	maxRetryAfterDivisor = 3
	// minClosedRetryAfterDivisor sets the least Retry-After of a closed group to the caller's
	// remaining time divided by it: a group takes a second or two to form once no rank is missing,
	// and the answer will be late in any case.
	minClosedRetryAfterDivisor = 4
)

func retryAfterFor(code result.Code) time.Duration {
	switch code {
	case result.EndpointBusy, result.EndpointCold, result.EndpointLimited:
		return retryAfterBusy
	default:
		return retryAfterNoEndpoint
	}
}

// outages records since when services have given no answer.
//
// When a whole group of engines is down because one of its ranks or the path to a data centre is
// lost, callers who come back at once are refused again and have used up their one retry. The best
// estimate of the remaining outage is its duration so far, so that is the Retry-After time.
type outages struct {
	since map[string]time.Time
}

// answered records that a part of an answer arrived.
func (o *outages) answered(service string, _ time.Time) { delete(o.since, service) }

// markDown records that a service gives no answers as of now, unless it is marked already.
func (o *outages) markDown(service string, now time.Time) {
	if o.since == nil {
		o.since = map[string]time.Time{}
	}
	if _, ok := o.since[service]; !ok {
		o.since[service] = now
	}
}

// recordOutcome marks a service as down after an attempt that was not run, or whose answer is
// missing or incomplete.
func (o *outages) recordOutcome(service string, outcome Outcome, now time.Time) {
	switch outcome.(type) {
	case NotRun, Unknown, Interrupted:
		o.markDown(service, now)
	}
}

// retryAfter returns the Retry-After time for a caller. It is usual, or longer during an outage.
func (o *outages) retryAfter(service string, usual time.Duration, now time.Time) time.Duration {
	since, ok := o.since[service]
	if !ok {
		return usual
	}
	lasted := now.Sub(since)
	if lasted < minOutage {
		return usual
	}
	return max(usual, min(lasted, maxOutageRetryAfter))
}
