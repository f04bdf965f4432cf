package relay

import (
	"time"

	"github.com/sirupsen/logrus"
)

// location is where a request in progress is.
type location struct {
	// endpoint is the endpoint of its current attempt, or "" while it waits for one, since the given time.
	endpoint string
	since    time.Time
	// mayHaveRun means that an earlier attempt may have run the request.
	mayHaveRun bool
}

// moveTo records that the request is at an endpoint from now on, or waits for one if that is "".
func (j *job) moveTo(endpoint string, now time.Time) {
	j.location.Store(&location{endpoint: endpoint, since: now, mayHaveRun: j.attempts.MayHaveRun})
}

// describe returns where the request is, as fields of a log line. It may be called by any goroutine.
func (j *job) describe() logrus.Fields {
	l, now := j.location.Load(), j.relay.Now()
	f := logrus.Fields{
		"for": now.Sub(l.since).Milliseconds(), "mayHaveRun": l.mayHaveRun,
		"left": j.deadline.Sub(now).Milliseconds(), "route": j.route.Name,
	}
	if l.endpoint == "" {
		f["at"] = "entry"
		return f
	}
	f["at"], f["endpoint"] = "endpoint", l.endpoint
	return f
}
