package frontend

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/hyssoprelay/hyssoprelay/internal/boottime"
	"github.com/hyssoprelay/hyssoprelay/internal/fleet"
	"github.com/hyssoprelay/hyssoprelay/internal/fleet/fanout"
	"github.com/hyssoprelay/hyssoprelay/internal/fleet/fleetpb"
	"github.com/hyssoprelay/hyssoprelay/internal/pause"
	"github.com/hyssoprelay/hyssoprelay/internal/routing"
	"github.com/hyssoprelay/hyssoprelay/internal/wake"
)

const (
	// minReportInterval is the minimum time between two messages to one entry. A
	// request takes about a second; within this interval the whole fleet assigns one
	// or two requests to endpoints.
	minReportInterval = 20 * time.Millisecond
	// maxReportInterval is the maximum time between them: the next message makes up for
	// a lost one, and shows the others that this entry is alive.
	maxReportInterval = time.Second
	// maxReportedWaiting bounds the number of waiting requests of one class that is believed of another
	// entry. It is well above the length of an entry's queue.
	maxReportedWaiting = 1 << 10
	// reportTimeout limits the call that delivers one message.
	reportTimeout = 200 * time.Millisecond
)

// workReporter reports to the other entries how much work this one has given to
// endpoints.
//
// The engines of a group run in lockstep, so the fullest one slows down all of them.
// An entry may see only a ninth of the requests; without knowing the work of the
// others it would fill some engines while others are idle.
//
// In a fleet of more than fanout.MaxDirectEntries, messages from each entry to all
// others would grow with the square of the fleet. One entry of each subgroup then
// receives the reports and forwards them, see hub.
type workReporter struct {
	frontend    *Frontend
	incarnation uint64
	changed     wake.Signal
	sequence    uint64
	// tree selects the entries that forward the reports.
	tree fanout.Tree

	mu sync.Mutex // guards inFlight
	// inFlight holds the names of the entries to which a message is being sent.
	inFlight map[string]bool
}

func newWorkReporter(f *Frontend) *workReporter {
	return &workReporter{
		frontend: f, incarnation: uint64(boottime.Now().UnixNano()),
		tree: fanout.Tree{MaxDirect: 1, MaxSize: fanout.MaxSubgroupEntries}, inFlight: map[string]bool{},
	}
}

func (r *workReporter) run(ctx context.Context) error {
	timer := time.NewTimer(maxReportInterval)
	defer timer.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return nil
		case <-r.changed.Raised():
		case <-timer.C:
		}
		r.report(ctx, boottime.Now())
		// What has been reported counts in this entry's own quotas from now on.
		r.frontend.state.DispatchWaiting(boottime.Now())
		timer.Reset(maxReportInterval)
		pause.For(ctx, minReportInterval)
	}
	return nil
}

// addWaiting adds the waiting requests to a report, by service and class. The names of the services
// are for entries that know no classes.
func addWaiting(w *fleetpb.EntryWork, waiting map[string][]int) {
	for service, byClass := range waiting {
		sw := &fleetpb.ServiceWaiting{Service: service}
		for _, n := range byClass {
			sw.ByClass = append(sw.ByClass, uint32(n))
		}
		w.Waiting = append(w.Waiting, service)
		w.ServiceWaiting = append(w.ServiceWaiting, sw)
	}
}

// waitingByClass returns the waiting requests of a report by service and class. Classes beyond
// routing.MaxClass count as that class, and a service of which only the name is known counts as one
// request of routing.DefaultPriority.
func waitingByClass(e *fleetpb.EntryWork) map[string][]int {
	if len(e.GetWaiting()) == 0 && len(e.GetServiceWaiting()) == 0 {
		return nil
	}
	out := map[string][]int{}
	for _, sw := range e.GetServiceWaiting() {
		byClass := make([]int, min(len(sw.GetByClass()), int(routing.MaxClass)+1))
		for class, n := range sw.GetByClass() {
			byClass[min(class, int(routing.MaxClass))] += int(min(n, maxReportedWaiting))
		}
		out[sw.GetService()] = byClass
	}
	for _, service := range e.GetWaiting() {
		if out[service] == nil {
			out[service] = make([]int, routing.DefaultPriority+1)
			out[service][routing.DefaultPriority] = 1
		}
	}
	return out
}

// ownWork returns the report of this entry's work. It is called only from the goroutine
// of run.
func (r *workReporter) ownWork(now time.Time) *fleetpb.EntryWork {
	f := r.frontend
	r.sequence = f.state.NextSequence(r.sequence, r.incarnation, now)
	w := &fleetpb.EntryWork{Name: f.Settings.Name, Born: r.incarnation, Number: r.sequence, Limits: f.ownLimits(now)}
	addWaiting(w, f.state.ReportWaiting())
	f.reportCases(w, now)
	for id, n := range f.state.OwnRunning() {
		w.Works = append(w.Works, &fleetpb.Work{Endpoint: id, Running: uint32(n)})
	}
	for service, perSecond := range f.state.OwnDemands(now) {
		w.Demands = append(w.Demands, &fleetpb.ServiceDemand{Service: service, PerSecond: float32(perSecond)})
	}
	return w
}

func (r *workReporter) report(ctx context.Context, now time.Time) {
	f := r.frontend
	own := r.ownWork(now)
	if f.members.count() <= fanout.MaxDirectEntries {
		for _, m := range f.members.all() {
			r.send(ctx, m, &fleetpb.WorkRequest{Entries: []*fleetpb.EntryWork{own}})
		}
		return
	}
	hub := r.hub()
	if hub.Name == f.Settings.Name {
		f.hub.add(own, fleetpb.Passing_ALL, now)
		return
	}
	r.send(ctx, hub, &fleetpb.WorkRequest{Entries: []*fleetpb.EntryWork{own}, To: fleetpb.Passing_ALL})
}

// hub returns the hub of this entry's subgroup: the entry that forwards reports.
func (r *workReporter) hub() fleet.Member { return r.tree.Delegate(r.subgroup()) }

// subgroup returns the entries of this entry's subgroup, itself included.
func (r *workReporter) subgroup() fanout.Subgroup {
	local := r.frontend.members.inDataCentre(r.frontend.Settings.DataCentre)
	self := r.self()
	local[self.Name] = self
	return r.tree.SubgroupOf(slices.Collect(maps.Values(local)), self.Name)
}

// self returns this entry as a member of its data centre.
func (r *workReporter) self() fleet.Member {
	s := r.frontend.Settings
	return fleet.Member{Name: s.Name, DataCentre: s.DataCentre}
}

// hubPeers are the entries to which a hub forwards reports.
type hubPeers struct {
	// subgroup is the hub's own subgroup, the hub included.
	subgroup []fleet.Member
	// near are the hubs of the other subgroups of its data centre, and remote those of
	// the other data centres.
	near, remote []fleet.Member
}

// peers returns the entries to which this entry forwards reports if it is a hub.
func (r *workReporter) peers() hubPeers {
	self := r.self()
	all := r.frontend.members.all()
	all[self.Name] = self
	return peersOf(&r.tree, slices.Collect(maps.Values(all)), self)
}

// peersOf returns the entries to which a hub forwards reports, of all entries.
func peersOf(tree *fanout.Tree, entries []fleet.Member, self fleet.Member) hubPeers {
	var out hubPeers
	for _, s := range tree.Subgroups(entries) {
		switch {
		case s.Contains(self.Name):
			out.subgroup = s
		case s[0].DataCentre == self.DataCentre:
			out.near = append(out.near, tree.Delegate(s))
		default:
			out.remote = append(out.remote, tree.Delegate(s))
		}
	}
	return out
}

// send delivers a message to one entry in the background, unless another message to
// that entry is in flight.
func (r *workReporter) send(ctx context.Context, m fleet.Member, q *fleetpb.WorkRequest) {
	if m.Name != r.frontend.Settings.Name && r.markInFlight(m.Name) {
		go r.deliver(ctx, m, q)
	}
}

// markInFlight marks an entry as being sent a message, and reports false if it
// already is. A skipped entry receives the next message; each later report of an
// entry's work supersedes the skipped one.
func (r *workReporter) markInFlight(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.inFlight[name] {
		r.changed.Raise()
		return false
	}
	r.inFlight[name] = true
	return true
}

func (r *workReporter) clearInFlight(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.inFlight, name)
}

func (r *workReporter) deliver(ctx context.Context, m fleet.Member, q *fleetpb.WorkRequest) {
	defer r.clearInFlight(m.Name)
	f := r.frontend
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	conn, err := f.peerConns.Get(m.Address)
	if err == nil {
		_, err = fleetpb.NewEntryClient(conn).Work(ctx, q)
	}
	if err == nil {
		return
	}
	f.Log.WithFields(logrus.Fields{"entry": m.Name, "cause": err.Error()}).Debug("work report not delivered")
	r.tree.NoteFailure(m.Name, boottime.Now())
	if status.Code(err) == codes.DeadlineExceeded {
		f.peerConns.RemoveUnresponsive(m.Address)
	}
}
