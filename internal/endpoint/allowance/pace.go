package allowance

import "time"

const (
	// retryUnknown is the time to come back when no request has ended yet.
	retryUnknown = time.Second
	// retryLeast keeps a fast endpoint from being asked in a busy loop.
	retryLeast = 20 * time.Millisecond
	// retryMost keeps callers from staying away long after a stall has ended.
	retryMost = 10 * time.Second
	// paceWeight is the share, one in so many, of the newest gap in the mean.
	paceWeight = 8
)

// pace follows how often places become free.
type pace struct {
	last    time.Time
	gap     time.Duration
	refused int
}

// ended notes that a place has become free.
func (p *pace) ended(now time.Time) {
	if p.refused > 0 {
		p.refused--
	}
	if p.last.IsZero() || now.Before(p.last) {
		p.last = now
		return
	}
	gap := now.Sub(p.last)
	p.last = now
	if p.gap == 0 {
		p.gap = gap
		return
	}
	p.gap += (gap - p.gap) / paceWeight
}

// retryAfter returns when a place may be free for the one refused now; excess
// is how many more run than may.
//
// Decision, for a burst far above the bound. Harm prevented: all refused come
// back at the same moment, are refused again, and the endpoint runs empty
// between. Each gets the mean gap times its rank among those refused and not
// yet served, so that they come back spread at the pace of the endpoint. A gap
// that has already lasted longer than the mean replaces it, because the
// endpoint has slowed down.
func (p *pace) retryAfter(excess int, now time.Time) time.Duration {
	p.refused++
	if p.gap == 0 {
		return retryUnknown
	}
	gap := max(p.gap, now.Sub(p.last))
	rank := min(max(excess, 0)+p.refused, int(retryMost/retryLeast))
	return min(max(time.Duration(rank)*gap, retryLeast), retryMost)
}
