package relay

import (
	"time"

	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// Retry-After by the reason of a refusal: how soon the reason usually passes.
const (
	// afterBusy is about the time in which a batch gives a place free: streams
	// last about two seconds on 100 and more places.
	afterBusy = 250 * time.Millisecond
	// afterMissing is when endpoints that start or come back are listed.
	afterMissing = 700 * time.Millisecond
	// outageFrom is how long a service must have answered nothing to count as
	// down: several times the usual time between two answers.
	outageFrom = 700 * time.Millisecond
	// mostComeBack bounds what a caller is asked to wait in an outage.
	mostComeBack = 5 * time.Second
	// comeBackPart is the part of its time after which a caller is asked back at
	// the latest. Callers wait no longer, and what is left has to do for an answer.
	comeBackPart = 3
	// closedPart is the part of its time after which a caller is asked back at the
	// earliest by a closed group: that takes a second or two to form once no rank is
	// missing, and the answer will be late whenever it comes.
	closedPart = 4
)

func retryAfterFor(why result.Code) time.Duration {
	switch why {
	case result.EndpointBusy, result.EndpointCold, result.EndpointLimited:
		return afterBusy
	default:
		return afterMissing
	}
}

// outages follows since when services have answered nothing.
//
// The load is a group of engines that is down as a whole, because one of its
// ranks or the way to a data centre is lost. Callers who come back at once are
// refused again and have used up their one retry. How much longer an outage
// lasts is best guessed by how long it has lasted, so that is when they are
// asked to come back.
type outages struct {
	since map[string]time.Time
}

// served notes that a part of an answer came.
func (o *outages) served(service string, _ time.Time) { delete(o.since, service) }

// began notes that a service is known to answer nothing from now on.
func (o *outages) began(service string, now time.Time) {
	if o.since == nil {
		o.since = map[string]time.Time{}
	}
	if _, ok := o.since[service]; !ok {
		o.since[service] = now
	}
}

// ended notes how an attempt ended.
func (o *outages) ended(service string, how Outcome, now time.Time) {
	switch how.(type) {
	case NotRun, Unknown, Broken:
		o.began(service, now)
	}
}

// comeBack returns when a caller may come back who would usually be asked to do
// so after usual.
func (o *outages) comeBack(service string, usual time.Duration, now time.Time) time.Duration {
	since, ok := o.since[service]
	if !ok {
		return usual
	}
	lasted := now.Sub(since)
	if lasted < outageFrom {
		return usual
	}
	return max(usual, min(lasted, mostComeBack))
}
