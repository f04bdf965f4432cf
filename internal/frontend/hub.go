package frontend

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"github.com/hyssoprelay/hyssoprelay/internal/boottime"
	"github.com/hyssoprelay/hyssoprelay/internal/fleet"
	"github.com/hyssoprelay/hyssoprelay/internal/fleet/fleetpb"
	"github.com/hyssoprelay/hyssoprelay/internal/pause"
	"github.com/hyssoprelay/hyssoprelay/internal/relay"
	"github.com/hyssoprelay/hyssoprelay/internal/wake"
)

const (
	// forwardIntervalPerEntry, times the number of entries in the hub's subgroup, is the
	// minimum interval between two rounds of messages to them. It limits the rate to what
	// one core of a hub handles.
	forwardIntervalPerEntry = 5 * time.Millisecond
	// remoteIntervalFactor is how many times longer the interval for other data centres
	// is: bandwidth to them is expensive, and load reports of engines make up for the
	// delay.
	remoteIntervalFactor = 4
	// hubLineShare is the share of its line's bytes a second that a hub may use for reports
	// to its data centre before it warns, and hubWarningInterval the shortest time between
	// two warnings.
	hubLineShare       = 0.5
	hubWarningInterval = time.Minute
)

// hub collects the work reports of entries and forwards them to the other entries of
// its subgroup, and to one entry of each other subgroup, which forwards them there.
// Subgroups are parts of a data centre, see fanout.Tree.
//
// If each of 150 entries in five data centres reported to all others, 30,000 messages
// per second would take more CPU time of the entries than their callers' requests,
// and most of the bandwidth between data centres. Any entry forwards what it is asked
// to forward, so the entries need not agree on a hub.
type hub struct {
	changed wake.Signal

	mu sync.Mutex // guards all below
	// local, near and remote hold what is still to be sent to the hub's subgroup, to the
	// other subgroups of its data centre and to those of the other ones: the newest report
	// of each entry, by its name.
	local, near, remote map[string]queuedWork
}

// queuedWork is a work report to be forwarded and the time at which it was true.
type queuedWork struct {
	work *fleetpb.EntryWork
	asOf time.Time
}

// add queues a report for forwarding to the receivers selected by to.
func (h *hub) add(w *fleetpb.EntryWork, to fleetpb.Passing, now time.Time) {
	if to == fleetpb.Passing_NOBODY {
		return
	}
	queued := queuedWork{work: w, asOf: timeOfAge(w.GetAgeMicros(), now)}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.local = keepNewest(h.local, queued)
	if to == fleetpb.Passing_ALL {
		h.near = keepNewest(h.near, queued)
		h.remote = keepNewest(h.remote, queued)
	}
	h.changed.Raise()
}

// keepNewest stores a report unless it is older than the stored one of the same
// entry.
func keepNewest(all map[string]queuedWork, queued queuedWork) map[string]queuedWork {
	if all == nil {
		all = map[string]queuedWork{}
	}
	old, ok := all[queued.work.GetName()]
	if !ok || newer(queued.work, old.work) {
		all[queued.work.GetName()] = queued
	}
	return all
}

// newer reports whether a is a later report than b of the same entry.
func newer(a, b *fleetpb.EntryWork) bool {
	return cmp.Or(cmp.Compare(a.GetBorn(), b.GetBorn()), cmp.Compare(a.GetNumber(), b.GetNumber())) > 0
}

// takeLocal removes and returns the reports for the hub's subgroup.
func (h *hub) takeLocal(now time.Time) []*fleetpb.EntryWork { return h.take(&h.local, now) }

// takeNear removes and returns the reports for the other subgroups of the data centre.
func (h *hub) takeNear(now time.Time) []*fleetpb.EntryWork { return h.take(&h.near, now) }

// takeRemote removes and returns the reports for the other data centres.
func (h *hub) takeRemote(now time.Time) []*fleetpb.EntryWork { return h.take(&h.remote, now) }

// take empties local, near or remote and returns its reports.
func (h *hub) take(from *map[string]queuedWork, now time.Time) []*fleetpb.EntryWork {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := withAges(*from, now)
	*from = nil
	return out
}

// hasRemote reports whether there are reports to be sent to other data centres.
func (h *hub) hasRemote() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.remote) > 0
}

// withAges returns the queued reports, sorted by entry name, with their ages at now.
func withAges(all map[string]queuedWork, now time.Time) []*fleetpb.EntryWork {
	out := make([]*fleetpb.EntryWork, 0, len(all))
	for _, name := range slices.Sorted(maps.Keys(all)) {
		queued := all[name]
		w := queued.work
		out = append(out, &fleetpb.EntryWork{
			Name: w.GetName(), Born: w.GetBorn(), Number: w.GetNumber(), Works: w.GetWorks(), Waiting: w.GetWaiting(), ServiceWaiting: w.GetServiceWaiting(),
			Limits:       w.GetLimits(),
			Cases:        w.GetCases(),
			RequestCases: w.GetRequestCases(),
			Demands:      w.GetDemands(),
			AgeMicros:    ageMicros(queued.asOf, now),
		})
	}
	return out
}

// forwardInterval returns the interval between two rounds of messages to the given
// number of entries of the hub's subgroup.
func forwardInterval(entries int) time.Duration {
	return max(minReportInterval, time.Duration(entries)*forwardIntervalPerEntry)
}

// forwardWork forwards the reports that the hub collects until ctx is done.
func (f *Frontend) forwardWork(ctx context.Context) error {
	var lastRemote time.Time
	timer := time.NewTimer(maxReportInterval)
	defer timer.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return nil
		case <-f.hub.changed.Raised():
		case <-timer.C:
		}
		now := boottime.Now()
		to := f.workReporter.peers()
		interval := forwardInterval(len(to.subgroup))
		sent := f.workReporter.forward(ctx, to.subgroup, f.hub.takeLocal(now), fleetpb.Passing_NOBODY)
		sent += f.workReporter.forward(ctx, to.near, f.hub.takeNear(now), fleetpb.Passing_SUBGROUP)
		f.warnOfHubLoad(sent, interval, now)
		if now.Sub(lastRemote) >= remoteIntervalFactor*interval {
			lastRemote = now
			f.workReporter.forward(ctx, to.remote, f.hub.takeRemote(now), fleetpb.Passing_SUBGROUP)
		}
		timer.Reset(maxReportInterval)
		if f.hub.hasRemote() {
			timer.Reset(remoteIntervalFactor * interval)
		}
		pause.For(ctx, interval)
	}
	return nil
}

// forward sends reports to entries, which pass them on as to says. It returns the number of
// bytes of all messages.
func (r *workReporter) forward(ctx context.Context, entries []fleet.Member, works []*fleetpb.EntryWork, to fleetpb.Passing) int {
	if len(works) == 0 {
		return 0
	}
	q := &fleetpb.WorkRequest{Entries: works, To: to}
	for _, m := range entries {
		r.send(ctx, m, q)
	}
	return len(entries) * proto.Size(q)
}

// warnOfHubLoad logs that the fleet is larger than this entry can forward reports for, given
// the bytes sent in a round and the time until the next one.
func (f *Frontend) warnOfHubLoad(sent int, interval time.Duration, now time.Time) {
	rate, warn := f.hubLoad.observe(sent, interval, f.Settings.LineRate, now)
	if warn {
		f.Log.WithFields(logrus.Fields{
			"bytesPerSecond": int(rate), "lineBytesPerSecond": int(f.Settings.LineRate), "entries": f.members.count(), "limit": "hubLineShare",
		}).Warn("reports need more of the line than a hub may use")
	}
}

// hubLoad decides when a hub warns of the rate at which it sends.
type hubLoad struct {
	warnedAt time.Time
}

// observe returns the rate, in bytes a second, at which a hub sends if it sends so many bytes
// each interval, and whether to warn of it. lineRate is in bytes a second, 0 if unknown.
func (l *hubLoad) observe(sent int, interval time.Duration, lineRate float64, now time.Time) (rate float64, warn bool) {
	rate = float64(sent) / interval.Seconds()
	if lineRate == 0 || rate <= hubLineShare*lineRate || now.Sub(l.warnedAt) < hubWarningInterval {
		return rate, false
	}
	l.warnedAt = now
	return rate, true
}

// Work implements fleetpb.EntryServer.
func (s *service) Work(_ context.Context, q *fleetpb.WorkRequest) (*fleetpb.WorkReply, error) {
	f := s.frontend
	now := boottime.Now()
	entryLoads := make([]relay.EntryLoad, 0, len(q.GetEntries()))
	for _, e := range q.GetEntries() {
		f.hub.add(e, q.GetTo(), now)
		if e.GetName() != f.Settings.Name {
			f.receiveLimits(e, now)
			f.receiveCases(e, now)
			entryLoads = append(entryLoads, decodeEntryLoad(e, now))
		}
	}
	f.state.SetEntryLoads(entryLoads, now)
	return &fleetpb.WorkReply{}, nil
}

func decodeEntryLoad(e *fleetpb.EntryWork, now time.Time) relay.EntryLoad {
	l := relay.EntryLoad{
		Entry: e.GetName(), Incarnation: e.GetBorn(), Sequence: e.GetNumber(), Running: map[string]int{}, Demand: map[string]float64{},
		WaitingByClass: waitingByClass(e), At: timeOfAge(e.GetAgeMicros(), now),
	}
	for _, work := range e.GetWorks() {
		l.Running[work.GetEndpoint()] = int(work.GetRunning())
	}
	for _, d := range e.GetDemands() {
		l.Demand[d.GetService()] = float64(d.GetPerSecond())
	}
	return l
}
