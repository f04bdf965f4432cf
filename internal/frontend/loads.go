package frontend

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hyssoprelay/hyssoprelay/internal/boottime"
	"github.com/hyssoprelay/hyssoprelay/internal/fleet"
	"github.com/hyssoprelay/hyssoprelay/internal/fleet/fleetpb"
	"github.com/hyssoprelay/hyssoprelay/internal/relay"
)

// Loads implements fleetpb.EntryServer.
func (s *service) Loads(ctx context.Context, q *fleetpb.LoadsRequest) (*fleetpb.LoadsReply, error) {
	f := s.frontend
	now := boottime.Now()
	targets := f.targetLists.Resolve(q.GetList(), q.GetTargets(), now)
	if targets == nil {
		return &fleetpb.LoadsReply{UnknownList: true}, nil
	}
	if q.GetForward() {
		// ctx ends with the reply to this call, before the report is forwarded.
		f.forwardLoads(context.WithoutCancel(ctx), q, targets)
	}
	f.state.SetLoads(loadsFrom(q, targets, now), now)
	return &fleetpb.LoadsReply{}, nil
}

// loadsFrom decodes the loads of engines. Missing counts are taken as zero and a
// missing slowdown as normal.
func loadsFrom(q *fleetpb.LoadsRequest, targets []*fleetpb.Target, now time.Time) []relay.EndpointLoad {
	at := timeOfAge(q.GetAgeMicros(), now)
	loads := make([]relay.EndpointLoad, 0, len(targets))
	for i, target := range targets {
		l := relay.EndpointLoad{Address: target.GetEndpoint(), Slowdown: 1, Closed: q.GetClosed(), Forming: q.GetForming(), Group: q.GetList(), At: at}
		l.Running = int(valueOr(q.GetRunning(), i, 0))
		l.Queued = int(valueOr(q.GetQueued(), i, 0))
		l.Slowdown = float64(valueOr(q.GetPace(), i, 100)) / 100
		l.Stood = time.Duration(q.GetStoodMillis()) * time.Millisecond
		loads = append(loads, l)
	}
	return loads
}

// valueOr returns element i of a list, or fallback if the list is shorter.
func valueOr(list []uint32, i int, fallback uint32) uint32 {
	if i >= len(list) {
		return fallback
	}
	return list[i]
}

// forwardLoads forwards a load report to the other entries of this entry's subgroup.
func (f *Frontend) forwardLoads(ctx context.Context, q *fleetpb.LoadsRequest, targets []*fleetpb.Target) {
	received := boottime.Now()
	for _, m := range f.workReporter.subgroup() {
		if m.Name != f.Settings.Name {
			go f.forwardLoad(ctx, m, q, targets, received)
		}
	}
}

// forwardLoad forwards a load report to one entry. The report refers to its engines by
// the id of a list of targets; if the entry does not know the list, the report is
// repeated with the targets.
func (f *Frontend) forwardLoad(ctx context.Context, m fleet.Member, q *fleetpb.LoadsRequest, targets []*fleetpb.Target, received time.Time) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	for _, listed := range [][]*fleetpb.Target{nil, targets} {
		known, err := f.sendLoads(ctx, m.Address, &fleetpb.LoadsRequest{
			List: q.GetList(), Targets: listed, Running: q.GetRunning(), Queued: q.GetQueued(), Pace: q.GetPace(),
			AgeMicros: q.GetAgeMicros() + uint64(boottime.Now().Sub(received).Microseconds()),
			Closed:    q.GetClosed(), Forming: q.GetForming(), StoodMillis: q.GetStoodMillis(),
		})
		if err != nil {
			f.Log.WithFields(logrus.Fields{"entry": m.Name, "cause": err.Error()}).Debug("load report not forwarded")
		}
		if known || err != nil {
			return
		}
	}
}

// sendLoads sends a load report to one entry and reports whether the entry knows the
// list of targets to which it refers.
func (f *Frontend) sendLoads(ctx context.Context, addr string, q *fleetpb.LoadsRequest) (known bool, err error) {
	conn, err := f.peerConns.Get(addr)
	if err != nil {
		return false, err
	}
	p, err := fleetpb.NewEntryClient(conn).Loads(ctx, q)
	return !p.GetUnknownList(), err
}
