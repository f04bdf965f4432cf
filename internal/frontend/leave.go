package frontend

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hyssoprelay/hyssoprelay/internal/boottime"
	"github.com/hyssoprelay/hyssoprelay/internal/drain"
)

const (
	// drainAcceptTime is how long a draining entry still accepts requests as usual: the
	// platform's balancer checks readiness once per second and sends new connections
	// until two consecutive checks fail. When most entries of a data centre drain at
	// once, the balancer keeps sending; a stream that began after this time would outlast the
	// time until the process is killed, whereas another entry serves its caller
	// immediately.
	drainAcceptTime = 2800 * time.Millisecond
	// minIdleTime is the minimum time without any request that is being received or answered, or answer
	// that is being read, before the process ends.
	minIdleTime = 500 * time.Millisecond
	// graceMargin is the part, at the end of the time that the platform allows before it
	// kills the process, that the drain leaves unused.
	graceMargin       = 600 * time.Millisecond
	drainPollInterval = 50 * time.Millisecond
	// maxCutOffLines bounds the log lines about requests that the stop cuts off.
	maxCutOffLines = 50
)

// drain stops the process without interrupting a request: it reports not ready, asks
// callers in each answer to connect elsewhere, accepts requests until the balancer
// has noticed, and returns when all answers have been sent or the grace time is used up. The callers'
// server closes idle connections, and cuts off callers that read nothing, so that it waits for neither.
func (f *Frontend) drain() {
	start := boottime.Now()
	f.stopping.Store(true)
	f.host.Stop()
	f.callerServer.StartDraining()
	f.Log.WithField("running", f.callerServer.ActiveRequests()).Info("relay draining")
	schedule := drain.NewSchedule(start, f.bounds.Load().Grace-graceMargin)
	f.relay.BeginStop(schedule)
	f.stopBy = schedule.End
	idleSince := time.Time{}
	for now := start; now.Before(schedule.End); now = boottime.Now() {
		f.relay.AdvanceStop(now)
		f.callerServer.AdvanceStop(schedule, now)
		if f.callerServer.OpenCount() > 0 {
			idleSince = time.Time{}
		} else if idleSince.IsZero() {
			idleSince = now
		}
		if now.Sub(start) > drainAcceptTime {
			f.relay.StopAccepting()
			f.callerServer.CloseIdle()
			if !idleSince.IsZero() && now.Sub(idleSince) > minIdleTime {
				break
			}
		}
		time.Sleep(drainPollInterval)
	}
	f.logDrainEnd(time.Now())
}

// logDrainEnd logs that the process stops, and which requests it cuts off.
func (f *Frontend) logDrainEnd(now time.Time) {
	open := f.callerServer.OpenRequests()
	for _, r := range open[:min(len(open), maxCutOffLines)] {
		f.Log.WithFields(r.Fields(now)).Warn("request cut off by the stop")
	}
	running := f.callerServer.ActiveRequests()
	if running > 0 {
		f.Log.WithFields(logrus.Fields{
			"answers": running, "pending": f.callerServer.PendingBytes(),
		}).Warn("answers cut off, the grace time is used up")
	}
	f.Log.WithFields(logrus.Fields{"running": running, "open": len(open)}).Info("relay stopping")
}
