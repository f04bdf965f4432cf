package frontend

import "time"

const (
	// refuseTime is how long a leaving entry still takes requests like any
	// other: the platform's balancer asks once a second whether it is ready and
	// sends new connections until two answers in a row said no. When most
	// entries of a data centre leave at once it goes on sending; a stream that
	// began after this time would outlast the time until the kill, and its
	// caller is served by another entry at once.
	refuseTime = 2800 * time.Millisecond
	// settleTime is the least time without any request before it ends.
	settleTime = 500 * time.Millisecond
	// graceMargin is kept of the time that the platform gives before it kills.
	graceMargin = 600 * time.Millisecond
	leaveTick   = 50 * time.Millisecond
)

// leave runs the process down without cutting a request: it says that it is not
// ready, asks callers to connect elsewhere with each answer, takes requests until
// the balancer has heard of it, and ends when none runs any more.
func (f *Frontend) leave() {
	began := time.Now()
	f.stopping.Store(true)
	f.callers.Announce()
	f.Log.WithField("running", f.callers.Running()).Info("relay leaves")
	end := began.Add(f.bounds.Load().Grace - graceMargin)
	quiet := time.Time{}
	for now := began; now.Before(end); now = time.Now() {
		if f.callers.Running() > 0 {
			quiet = time.Time{}
		} else if quiet.IsZero() {
			quiet = now
		}
		if now.Sub(began) > refuseTime {
			f.relay.Refuse()
			f.callers.CloseIdle()
			if !quiet.IsZero() && now.Sub(quiet) > settleTime {
				break
			}
		}
		time.Sleep(leaveTick)
	}
	f.Log.WithField("running", f.callers.Running()).Info("relay stops")
}
