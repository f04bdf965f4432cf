package allowance

import "time"

const (
	// workUnknown is the time that one request is taken to need before any has
	// ended, and the longest time to come back until then.
	workUnknown = time.Second
	// retryLeast keeps a fast endpoint from being asked in a busy loop.
	retryLeast = 20 * time.Millisecond
	// retryMost keeps callers from staying away long after a stall has ended.
	retryMost = 5 * time.Second
	// paceWeight is the share, one in so many, of the newest time in the mean.
	paceWeight = 8
	// promisesPerPlace is to how many of the refused each place that becomes
	// free is promised. Some don't come back, and a refusal costs one message,
	// while an empty place costs the work of an endpoint.
	promisesPerPlace = 2
)

// pace follows how long requests take, and so how often places become free.
type pace struct {
	work time.Duration
	// last is when a request last ended, or when the first one began after
	// none ran.
	last     time.Time
	promised time.Time
}

// busy notes that the first request begins after none ran: an idle time is no
// stall.
func (p *pace) busy(now time.Time) { p.last = now }

// ended notes the whole answer of a request that began at began. Failures tell
// nothing about how long requests take.
func (p *pace) ended(began, now time.Time) {
	p.last = now
	took := max(now.Sub(began), time.Nanosecond)
	if p.work == 0 {
		p.work = took
		return
	}
	p.work += (took - p.work) / paceWeight
}

// retryAfter returns when the one refused now should come back; bound is how
// many requests may run.
//
// Decision, for a burst far above the bound. Harm prevented: all refused come
// back at the same moment, are refused again, and the endpoint runs empty
// between. Places become free once in the mean time of a request divided by the
// bound (Little's law), so the refused are called back one after another at
// that pace. The gaps between endings can't stand for it: when few come back
// the gaps grow, and fewer still would be called. Work that has ended nothing
// for longer than the mean slows the pace down. Beyond the longest time the
// promises start again in its second half, spread as before.
func (p *pace) retryAfter(bound int, now time.Time) time.Duration {
	work, most := p.work, retryMost
	if work == 0 {
		work, most = workUnknown, workUnknown
	} else {
		work = max(work, now.Sub(p.last))
	}
	gap := work / time.Duration(max(bound, 1)*promisesPerPlace)
	if p.promised.Before(now) {
		p.promised = now
	}
	wait := p.promised.Sub(now) + gap
	if wait > most {
		wait = most/2 + wait%(most/2)
	}
	p.promised = now.Add(wait)
	return max(wait, retryLeast)
}
