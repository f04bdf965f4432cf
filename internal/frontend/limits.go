package frontend

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hyssoprelay/hyssoprelay/internal/fleet/fleetpb"
	"github.com/hyssoprelay/hyssoprelay/internal/relay"
)

// ownLimits returns the limits that endpoints have reported to this entry, for the
// other entries.
func (f *Frontend) ownLimits(now time.Time) []*fleetpb.Limit {
	own := f.state.RecentOwnLimits(now)
	out := make([]*fleetpb.Limit, 0, len(own))
	for _, l := range own {
		out = append(out, &fleetpb.Limit{
			Endpoint: l.Endpoint, Born: l.Incarnation, PerSecond: l.PerSecond, None: l.Unlimited,
			AgeMicros: ageMicros(l.At, now),
		})
	}
	return out
}

// receiveLimits applies the limits that endpoints have reported to another entry.
func (f *Frontend) receiveLimits(e *fleetpb.EntryWork, now time.Time) {
	if len(e.GetLimits()) == 0 {
		return
	}
	sent := timeOfAge(e.GetAgeMicros(), now)
	limits := make([]relay.RateLimit, 0, len(e.GetLimits()))
	for _, l := range e.GetLimits() {
		limits = append(limits, relay.RateLimit{
			Endpoint: l.GetEndpoint(), Incarnation: l.GetBorn(), PerSecond: l.GetPerSecond(), Unlimited: l.GetNone(),
			At: timeOfAge(l.GetAgeMicros(), sent),
		})
	}
	for _, l := range f.state.MergeLimits(limits) {
		f.Log.WithFields(logrus.Fields{
			"endpoint": l.Endpoint, "born": l.Incarnation, "perSecond": l.PerSecond, "none": l.Unlimited,
			"entry": e.GetName(), "age": now.Sub(l.At).Milliseconds(),
		}).Info("endpoint limit received from another entry")
	}
}
