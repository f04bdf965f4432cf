package frontend

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hyssoprelay/hyssoprelay/internal/fleet/fleetpb"
	"github.com/hyssoprelay/hyssoprelay/internal/relay"
)

// limitsTold is what endpoints have told this entry of their limits, for the others.
func (f *Frontend) limitsTold(now time.Time) []*fleetpb.Limit {
	own := f.belief.OwnLimits(now)
	out := make([]*fleetpb.Limit, 0, len(own))
	for _, l := range own {
		out = append(out, &fleetpb.Limit{
			Endpoint: l.Endpoint, Born: l.Born, PerSecond: l.PerSecond, None: l.None,
			AgeMicros: uint64(max(0, now.Sub(l.At).Microseconds())),
		})
	}
	return out
}

// hearLimits takes in what endpoints have told another entry.
func (f *Frontend) hearLimits(e *fleetpb.EntryWork, now time.Time) {
	if len(e.GetLimits()) == 0 {
		return
	}
	sent := now.Add(-time.Duration(e.GetAgeMicros()) * time.Microsecond)
	told := make([]relay.Limit, 0, len(e.GetLimits()))
	for _, l := range e.GetLimits() {
		told = append(told, relay.Limit{
			Endpoint: l.GetEndpoint(), Born: l.GetBorn(), PerSecond: l.GetPerSecond(), None: l.GetNone(),
			At: sent.Add(-time.Duration(l.GetAgeMicros()) * time.Microsecond),
		})
	}
	for _, l := range f.belief.HearLimits(told) {
		f.Log.WithFields(logrus.Fields{
			"endpoint": l.Endpoint, "born": l.Born, "perSecond": l.PerSecond, "none": l.None,
			"entry": e.GetName(), "age": now.Sub(l.At).Milliseconds(),
		}).Info("limit told by another entry")
	}
}
