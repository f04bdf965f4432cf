package ranker

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hyssoprelay/hyssoprelay/internal/boottime"
	"github.com/hyssoprelay/hyssoprelay/internal/fleet"
	"github.com/hyssoprelay/hyssoprelay/internal/fleet/fanout"
	"github.com/hyssoprelay/hyssoprelay/internal/fleet/fleetpb"
)

// loadReportInterval is how often loads are reported to entries. A request lasts one
// or two seconds.
const loadReportInterval = 100 * time.Millisecond

// loadReporter keeps the state of load reports to entries.
//
// With 129 engines and 150 entries, sending every entry the loads of all engines with
// their addresses ten times a second took 40 Mbit/s, and the leader's link has 6
// Mbit/s. Nothing else passed the link, no poll returned all ranks, and the group
// never got a map. Therefore one entry of each data centre receives a report of half
// a kilobyte and forwards it to the others.
type loadReporter struct {
	// tree selects the entry of each data centre that receives reports.
	tree fanout.Tree
	// lastSent is when loads were last reported, lastClosed whether the group was
	// closed then.
	lastSent   time.Time
	lastClosed bool
	// sentLists records which target list, here one of engines, each entry has
	// received.
	sentLists fleet.SentLists
}

// newLoadReporter returns a reporter of the loads of a group. Each group has its own
// entries that forward them: one that forwarded those of all groups of a large fleet would
// have no time for its callers.
func newLoadReporter(group string) loadReporter {
	return loadReporter{tree: fanout.Tree{MaxDirect: fanout.MaxDirectEntries, MaxSize: fanout.MaxSubgroupEntries, Spread: group}}
}

// due reports whether a report is due now. A change between accepting and closed is
// reported at once, because requests wait for it.
func (r *loadReporter) due(closed bool, now time.Time) bool {
	if now.Sub(r.lastSent) < loadReportInterval && closed == r.lastClosed {
		return false
	}
	r.lastSent, r.lastClosed = now, closed
	return true
}

// loadsRequestProto encodes the engines' loads, ordered by rank. complete means that
// no rank is missing; a closed group that is complete is about to accept requests and
// is reported as forming. stood is for how long the group has stood.
func loadsRequestProto(reports []rankReport, complete bool, stood time.Duration) *fleetpb.LoadsRequest {
	sorted := slices.SortedFunc(slices.Values(reports), func(a, b rankReport) int { return a.state.Rank - b.state.Rank })
	closed := isClosed(reports)
	req := &fleetpb.LoadsRequest{Closed: closed, Forming: closed && complete, StoodMillis: uint32(stood.Milliseconds())}
	slow := false
	for _, report := range sorted {
		req.Targets = append(req.Targets, &fleetpb.Target{Endpoint: report.address})
		req.Running = append(req.Running, uint32(report.state.Running))
		req.Queued = append(req.Queued, uint32(report.state.Queued))
		req.Pace = append(req.Pace, uint32(100*report.state.Slowdown))
		slow = slow || report.state.Slowdown > 1
	}
	if !slow {
		req.Pace = nil
	}
	req.List = fleet.TargetListHash(req.Targets)
	return req
}

func isClosed(reports []rankReport) bool {
	return slices.ContainsFunc(reports, func(report rankReport) bool { return !report.state.Accepting })
}

// reportLoads sends entries the engines' loads, if a report is due, see loadsRequestProto
// for complete and stood. It does not wait for the entries' replies.
func (t *term) reportLoads(ctx context.Context, entries []fleet.Member, reports []rankReport, complete bool, stood time.Duration, now time.Time) {
	if !t.loads.due(isClosed(reports), now) {
		return
	}
	req := loadsRequestProto(reports, complete, stood)
	for _, subgroup := range t.loads.tree.Subgroups(entries) {
		go t.reportLoadsTo(ctx, t.loads.tree.Delegate(subgroup), req, len(subgroup) > 1)
	}
}

// reportLoadsTo reports loads to one entry. With forward set, that entry forwards the
// report to the others in its data centre.
func (t *term) reportLoadsTo(ctx context.Context, m fleet.Member, loads *fleetpb.LoadsRequest, forward bool) {
	ctx, cancel := context.WithTimeout(ctx, agentCallTimeout)
	defer cancel()
	conn, err := t.ranker.conns.Get(m.Address)
	if err != nil {
		return
	}
	req := &fleetpb.LoadsRequest{
		List: loads.List, Targets: loads.Targets, Running: loads.Running, Queued: loads.Queued,
		Pace: loads.Pace, Closed: loads.Closed, Forming: loads.Forming, Forward: forward, StoodMillis: loads.StoodMillis,
	}
	if t.loads.sentLists.MarkSent(m.Name, req.List) {
		req.Targets = nil
	}
	resp, err := fleetpb.NewEntryClient(conn).Loads(ctx, req)
	switch {
	case err != nil:
		t.loads.sentLists.Forget(m.Name)
		t.loads.tree.NoteFailure(m.Name, boottime.Now())
		t.ranker.conns.RemoveUnresponsive(m.Address)
		t.ranker.Log.WithFields(logrus.Fields{"entry": m.Name, "cause": err.Error()}).Debug("cannot report loads to entry")
	case resp.GetUnknownList():
		t.loads.sentLists.Forget(m.Name)
	}
}
