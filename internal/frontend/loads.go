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
	targets := f.engines.Learn(q.GetList(), q.GetTargets())
	if targets == nil {
		return &fleetpb.LoadsReply{UnknownList: true}, nil
	}
	if q.GetForward() {
		// The caller's context ends with the answer, before others are told.
		f.forwardLoads(context.WithoutCancel(ctx), q, targets)
	}
	f.belief.SetLoads(loadsFrom(q, targets, now), now)
	return &fleetpb.LoadsReply{}, nil
}

// loadsFrom reads the loads of engines. Figures that are missing count as none.
func loadsFrom(q *fleetpb.LoadsRequest, targets []*fleetpb.Target, now time.Time) []relay.Load {
	at := now.Add(-time.Duration(q.GetAgeMicros()) * time.Microsecond)
	loads := make([]relay.Load, 0, len(targets))
	for i, target := range targets {
		l := relay.Load{Address: target.GetEndpoint(), Pace: 1, Closed: q.GetClosed(), Forming: q.GetForming(), At: at}
		l.Running = int(at32(q.GetRunning(), i, 0))
		l.Queued = int(at32(q.GetQueued(), i, 0))
		l.Pace = float64(at32(q.GetPace(), i, 100)) / 100
		loads = append(loads, l)
	}
	return loads
}

// at32 returns a value of a list, or another if the list is shorter.
func at32(list []uint32, i int, other uint32) uint32 {
	if i >= len(list) {
		return other
	}
	return list[i]
}

// forwardLoads tells the other entries of the own data centre.
func (f *Frontend) forwardLoads(ctx context.Context, q *fleetpb.LoadsRequest, targets []*fleetpb.Target) {
	received := boottime.Now()
	for name, m := range f.others.near(f.Settings.DataCentre) {
		if name != f.Settings.Name {
			go f.forwardLoad(ctx, m, q, targets, received)
		}
	}
}

// forwardLoad tells one entry, and once more with the targets if it lacks them.
func (f *Frontend) forwardLoad(ctx context.Context, m fleet.Member, q *fleetpb.LoadsRequest, targets []*fleetpb.Target, received time.Time) {
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	for _, told := range [][]*fleetpb.Target{nil, targets} {
		known, err := f.tellLoads(ctx, m.Address, &fleetpb.LoadsRequest{
			List: q.GetList(), Targets: told, Running: q.GetRunning(), Queued: q.GetQueued(), Pace: q.GetPace(),
			AgeMicros: q.GetAgeMicros() + uint64(boottime.Now().Sub(received).Microseconds()),
			Closed:    q.GetClosed(), Forming: q.GetForming(),
		})
		if err != nil {
			f.Log.WithFields(logrus.Fields{"entry": m.Name, "cause": err.Error()}).Debug("loads not passed on")
		}
		if known || err != nil {
			return
		}
	}
}

// tellLoads tells one entry and reports whether it knows the list.
func (f *Frontend) tellLoads(ctx context.Context, addr string, q *fleetpb.LoadsRequest) (known bool, err error) {
	conn, err := f.conns.Get(addr)
	if err != nil {
		return false, err
	}
	p, err := fleetpb.NewEntryClient(conn).Loads(ctx, q)
	return !p.GetUnknownList(), err
}
