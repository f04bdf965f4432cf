package allowance

import "time"

const (
	// defaultServiceTime is the assumed service time of a request, and the
	// upper bound of the retry delay, until the first request has completed.
	defaultServiceTime = time.Second
	// minRetryAfter keeps callers from polling a fast endpoint in a busy loop.
	minRetryAfter = 20 * time.Millisecond
	// maxRetryAfter keeps callers from staying away long after a stall has
	// ended.
	maxRetryAfter = 5 * time.Second
	// serviceTimeDivisor is the inverse of the weight of a new sample in the
	// moving average of the service time.
	serviceTimeDivisor = 8
	// retriesPerSlot is the number of retries scheduled for each slot that is
	// expected to become free. Some callers don't come back, and a refusal costs
	// one message, whereas an unused slot costs capacity of the endpoint.
	retriesPerSlot = 2
)

// retryScheduler estimates how often slots become free and spreads the retries of
// refused requests accordingly.
type retryScheduler struct {
	// serviceTime is the moving average of the service time, or zero if no
	// request has completed.
	serviceTime time.Duration
	// lastProgress is when a request last completed or the endpoint last became
	// busy, whichever is later.
	lastProgress time.Time
	// nextRetry is when the request that was refused last is due to retry.
	nextRetry time.Time
}

// becameBusy records that the first request after an idle period starts, so that
// the idle period isn't taken for a stall.
func (s *retryScheduler) becameBusy(now time.Time) { s.lastProgress = now }

// completed records the completion of a request that was admitted at admittedAt. It
// isn't called for failed requests, whose duration says nothing about the service
// time.
func (s *retryScheduler) completed(admittedAt, now time.Time) {
	s.lastProgress = now
	elapsed := max(now.Sub(admittedAt), time.Nanosecond)
	if s.serviceTime == 0 {
		s.serviceTime = elapsed
		return
	}
	s.serviceTime += (elapsed - s.serviceTime) / serviceTimeDivisor
}

// retryAfter returns the retry delay for a request that is refused now; limit is
// the current concurrency limit.
//
// If all requests refused in a burst retried at the same time, they would be
// refused again and the endpoint would run empty in between. Slots become free at
// intervals of the mean service time divided by the limit (Little's law), and
// retries are scheduled one after another at that rate. The observed intervals
// between completions can't replace the estimate: when few callers retry, the
// intervals grow, and still fewer retries would be scheduled. If nothing has
// completed for longer than the mean service time, that period is used in its
// place. Delays beyond maxDelay wrap around into its second half, so that
// they stay spread.
func (s *retryScheduler) retryAfter(limit int, now time.Time) time.Duration {
	serviceTime, maxDelay := s.serviceTime, maxRetryAfter
	if serviceTime == 0 {
		serviceTime, maxDelay = defaultServiceTime, defaultServiceTime
	} else {
		serviceTime = max(serviceTime, now.Sub(s.lastProgress))
	}
	interval := serviceTime / time.Duration(max(limit, 1)*retriesPerSlot)
	if s.nextRetry.Before(now) {
		s.nextRetry = now
	}
	delay := s.nextRetry.Sub(now) + interval
	if delay > maxDelay {
		delay = maxDelay/2 + delay%(maxDelay/2)
	}
	s.nextRetry = now.Add(delay)
	return max(delay, minRetryAfter)
}
