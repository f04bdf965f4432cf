package frontend

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hyssoprelay/hyssoprelay/internal/boottime"
	"github.com/hyssoprelay/hyssoprelay/internal/fleet/fleetpb"
	"github.com/hyssoprelay/hyssoprelay/internal/fleet/readers"
	"github.com/hyssoprelay/hyssoprelay/internal/pause"
	kv "github.com/hyssoprelay/hyssoprelay/internal/platform"
	"github.com/hyssoprelay/hyssoprelay/internal/platform/mirror"
)

const (
	// followSlack is added to readers.HearWait before the other one counts as silent.
	followSlack = 250 * time.Millisecond
	// awayPause is the pause before another entry is asked again that had nothing to
	// tell, which it says at once.
	awayPause = 200 * time.Millisecond
)

// hearNeighbour asks another entry of the data centre what the store tells, in place
// of the store. It reports false when the store is to be asked.
func (f *Frontend) hearNeighbour(ctx context.Context, revision int64, known bool) (mirror.Update, bool) {
	// told are those that had nothing to tell.
	told := map[string]bool{}
	for ctx.Err() == nil {
		near := f.others.near(f.Settings.DataCentre)
		name := f.choice.Source(names(near), boottime.Now())
		f.noteSource(name)
		if name == "" {
			return mirror.Update{}, false
		}
		if told[name] {
			pause.For(ctx, awayPause)
		}
		u, answer, err := f.hear(ctx, near[name].Address, revision, known)
		f.sourceAddress = near[name].Address
		f.choice.Note(name, answer, boottime.Now())
		f.sources.told(answer)
		switch {
		case answer == readers.Fresh:
			return u, true
		case answer == readers.Leaving:
			f.Log.WithFields(logrus.Fields{"entry": name}).Info("entry leaves")
		case answer == readers.Echo:
			f.Log.WithFields(logrus.Fields{"entry": name}).Info("entry hears from this one")
		case err != nil:
			f.conns.DropSilent(near[name].Address)
			f.Log.WithFields(logrus.Fields{"entry": name, "cause": err.Error()}).Info("entry does not tell what the store tells")
		default:
			f.Log.WithFields(logrus.Fields{"entry": name}).Info("entry does not reach the store")
			told[name] = true
		}
	}
	return mirror.Update{}, false
}

// hear asks one entry.
func (f *Frontend) hear(ctx context.Context, addr string, revision int64, known bool) (mirror.Update, readers.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, readers.HearWait+followSlack)
	defer cancel()
	conn, err := f.conns.Get(addr)
	if err != nil {
		return mirror.Update{}, readers.Silent, err
	}
	asked := boottime.Now()
	p, err := fleetpb.NewEntryClient(conn).Follow(ctx, &fleetpb.FollowRequest{
		After: revision, Known: known, WaitMicros: uint64(readers.HearWait.Microseconds()), DocumentRevision: f.documentHeard(),
		Asker: f.Settings.Name,
	})
	if err != nil {
		return mirror.Update{}, readers.Silent, err
	}
	if p.GetAway() {
		f.lostElsewhere = f.lostElsewhere || p.GetStoreAway()
		return mirror.Update{}, f.awayAnswer(p), nil
	}
	f.sourceOrigin = p.GetOrigin()
	held := f.documents.Newest().Revision
	// The other one counts from the arrival of the request, which is after asked.
	u := mirror.Update{
		Whole: p.GetWhole(), Deleted: p.GetRemoved(), Revision: p.GetRevision(),
		Asked: asked.Add(time.Duration(p.GetAskedMicros()) * time.Microsecond),
		Apart: p.GetDocumentRevision(), Lacking: p.GetDocumentRevision() > held,
	}
	for _, i := range p.GetItems() {
		u.KVs = append(u.KVs, kv.NewKeyValue(i.GetKey(), i.GetValue(), i.GetRevision(), 0))
	}
	if ago := p.GetReturnedMicros(); ago > 0 {
		u.Returned = f.newReturn(boottime.Now().Add(-time.Duration(ago) * time.Microsecond))
	}
	return u, readers.Fresh, nil
}

// awayAnswer says why an entry has nothing to tell.
func (f *Frontend) awayAnswer(p *fleetpb.FollowReply) readers.Answer {
	switch {
	case p.GetLeaving():
		return readers.Leaving
	case p.GetStoreAway():
		return readers.Lost
	case p.GetOrigin() == f.Settings.Name:
		return readers.Echo
	default:
		return readers.Away
	}
}

// newReturn reports whether a return of the store, which another entry has told, is
// one that this entry hasn't heard of.
func (f *Frontend) newReturn(at time.Time) bool {
	if !at.After(f.returned.Add(time.Second)) {
		return false
	}
	f.returned = at
	return boottime.Now().Sub(at) < returnMemory
}

// returnMemory is for how long a return of the store matters to those who hear of
// it: for as long as entries of endpoints that vanished meanwhile hold.
const returnMemory = 2 * time.Second

// Follow implements fleetpb.EntryServer.
func (s *service) Follow(ctx context.Context, q *fleetpb.FollowRequest) (*fleetpb.FollowReply, error) {
	f := s.frontend
	arrived := boottime.Now()
	if f.stopping.Load() {
		return &fleetpb.FollowReply{Away: true, Leaving: true}, nil
	}
	taken := f.copy.Taken()
	u, ok := f.copy.Since(q.GetAfter(), q.GetKnown())
	a := f.basis.Answer(q.GetAsker(), u.Asked, arrived)
	if ok && a == readers.Fresh && !news(u, q) {
		if err := f.awaitNews(ctx, taken, time.Duration(q.GetWaitMicros())*time.Microsecond, arrived); err != nil {
			return nil, err
		}
		u, ok = f.copy.Since(q.GetAfter(), q.GetKnown())
	}
	now := boottime.Now()
	origin := f.basis.Origin()
	if a = f.basis.Answer(q.GetAsker(), u.Asked, now); !ok || a != readers.Fresh {
		return &fleetpb.FollowReply{Away: true, StoreAway: a == readers.Lost, Origin: origin}, nil
	}
	p := followReply(u, f.copy.Returned(), arrived, now)
	p.Origin = origin
	return p, nil
}

// awaitNews waits until taken is closed, for no longer than a time, and not beyond that at
// which the store's answer is late.
func (f *Frontend) awaitNews(ctx context.Context, taken <-chan struct{}, wait time.Duration, now time.Time) error {
	if late := f.basis.Late(); !late.IsZero() {
		wait = min(wait, late.Sub(now))
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-taken:
	case <-t.C:
	case <-ctx.Done():
	}
	return ctx.Err()
}

// news reports whether an update tells whoever asks more than the time that it is of.
func news(u mirror.Update, q *fleetpb.FollowRequest) bool {
	return u.Whole || len(u.KVs)+len(u.Deleted) > 0 || u.Apart > q.GetDocumentRevision()
}

// followReply tells an update to an entry whose request came at arrived.
func followReply(u mirror.Update, returned, arrived, now time.Time) *fleetpb.FollowReply {
	p := &fleetpb.FollowReply{
		Whole: u.Whole, Removed: u.Deleted, Revision: u.Revision, AskedMicros: u.Asked.Sub(arrived).Microseconds(),
		DocumentRevision: u.Apart,
	}
	for _, item := range u.KVs {
		p.Items = append(p.Items, &fleetpb.Item{Key: item.Key(), Value: item.Value(), Revision: item.Revision()})
	}
	if !returned.IsZero() {
		p.ReturnedMicros = uint64(max(1, now.Sub(returned).Microseconds()))
	}
	return p
}
