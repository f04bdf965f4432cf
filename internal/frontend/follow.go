package frontend

import (
	"context"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/boottime"
	"github.com/hyssoprelay/hyssoprelay/internal/fleet/fleetpb"
	"github.com/hyssoprelay/hyssoprelay/internal/fleet/readers"
	"github.com/hyssoprelay/hyssoprelay/internal/pause"
	kv "github.com/hyssoprelay/hyssoprelay/internal/platform"
	"github.com/hyssoprelay/hyssoprelay/internal/platform/mirror"
)

const (
	// followTimeoutMargin is added to readers.MaxFollowWait before the other entry
	// counts as unresponsive.
	followTimeoutMargin = 250 * time.Millisecond
	// unavailableRetryDelay is the delay before the next request to an entry that had
	// nothing to report. Such an entry answers immediately, so requests without a delay
	// would form a busy loop.
	unavailableRetryDelay = 200 * time.Millisecond
	// followPageBytes is the size from which on an answer to another entry is divided,
	// in bytes. All followers of an entry together get a page each within a fraction of
	// the time for which they wait, also over a line of some ten Mbit/s.
	followPageBytes = 32 << 10
)

// followPeer requests the store updates after a revision, or the complete state if
// known is false, from another entry of the data centre in place of the store. It
// returns false if the store is to be polled.
func (f *Frontend) followPeer(ctx context.Context, revision int64, known bool) (mirror.Update, bool) {
	if !known {
		return f.fetchFirstState(ctx)
	}
	// unavailable holds the entries that had nothing to report.
	unavailable := map[string]bool{}
	for ctx.Err() == nil {
		local := f.members.inDataCentre(f.Settings.DataCentre)
		name := f.sourceSelector.Source(names(local), boottime.Now())
		f.setSource(name)
		if name == "" {
			f.transfer.Reset()
			return mirror.Update{}, false
		}
		if unavailable[name] {
			pause.For(ctx, unavailableRetryDelay)
		}
		page, outcome := f.askEntry(ctx, name, local[name].Address, revision, true)
		f.sourceSelector.NoteAnswer(name, outcome, boottime.Now())
		if outcome == readers.Fresh {
			if u, ok := f.transfer.Add(page); ok {
				return u, true
			}
		}
		unavailable[name] = outcome == readers.NotCurrent || outcome == readers.StoreLost
	}
	return mirror.Update{}, false
}

// askEntry requests the next page of an update from an entry, and logs and counts it if there is none.
func (f *Frontend) askEntry(ctx context.Context, name, address string, revision int64, known bool) (mirror.Page, readers.Outcome) {
	page, outcome, err := f.requestUpdate(ctx, address, revision, known)
	f.sourceAddress = address
	f.sourceMetrics.countWithoutUpdate(outcome)
	log := f.Log.WithField("entry", name)
	switch {
	case outcome == readers.Fresh:
	case outcome == readers.ShuttingDown:
		log.Info("entry is shutting down")
	case outcome == readers.Starting:
		log.Debug("entry is still receiving the state")
	case outcome == readers.OwnState:
		log.Info("entry gets its store updates from this one")
	case err != nil:
		f.peerConns.RemoveUnresponsive(address)
		log.WithField("cause", err.Error()).Info("entry did not return store updates")
	default:
		log.Info("entry cannot reach the store")
	}
	return page, outcome
}

// requestUpdate requests an update, or the next page of the complete state, from one
// entry.
func (f *Frontend) requestUpdate(ctx context.Context, addr string, revision int64, known bool) (mirror.Page, readers.Outcome, error) {
	next := f.transfer.Request(revision, known, followPageBytes)
	ctx, cancel := context.WithTimeout(ctx, readers.MaxFollowWait+followTimeoutMargin)
	defer cancel()
	conn, err := f.peerConns.Get(addr)
	if err != nil {
		return mirror.Page{}, readers.NoAnswer, err
	}
	sent := boottime.Now()
	p, err := fleetpb.NewEntryClient(conn).Follow(ctx, &fleetpb.FollowRequest{
		After: next.After, Known: next.Known, AfterKey: next.AfterKey, Whole: next.Complete, WaitMicros: uint64(readers.MaxFollowWait.Microseconds()), DocumentRevision: f.newestKnownDocument(),
		Asker: f.Settings.Name,
	})
	if err != nil {
		return mirror.Page{}, readers.NoAnswer, err
	}
	for _, h := range p.GetHolders() {
		f.firstSources[h.GetName()] = h.GetAddress()
	}
	if p.GetAway() {
		f.storeLostByPeer = f.storeLostByPeer || p.GetStoreAway()
		return mirror.Page{}, f.unavailableReason(p), nil
	}
	f.sourceOrigin = p.GetOrigin()
	f.storeStatus.NoteProgress(boottime.Now())
	held := f.heldDocument()
	// The other entry counts from the arrival of the request, which is after sent, so
	// RequestedAt is not too late.
	u := mirror.Update{
		Complete: p.GetWhole(), Deleted: p.GetRemoved(), Revision: p.GetRevision(),
		Coverage: mirror.Coverage{
			CoveredRevision: p.GetCoveredRevision(), RequestedAt: sent.Add(time.Duration(p.GetAskedMicros()) * time.Microsecond),
			SeparateRevision: p.GetDocumentRevision(),
		},
		SeparateMissing: p.GetDocumentRevision() > held,
	}
	for _, i := range p.GetItems() {
		u.KVs = append(u.KVs, kv.NewKeyValue(i.GetKey(), i.GetValue(), i.GetRevision(), 0))
	}
	if ago := p.GetReturnedMicros(); ago > 0 {
		u.Recovered = f.isNewRecovery(boottime.Now().Add(-time.Duration(ago) * time.Microsecond))
	}
	return mirror.Page{Update: u, More: p.GetMore()}, readers.Fresh, nil
}

// unavailableReason returns why an entry has nothing to report.
func (f *Frontend) unavailableReason(p *fleetpb.FollowReply) readers.Outcome {
	switch {
	case p.GetLeaving():
		return readers.ShuttingDown
	case p.GetStarting():
		return readers.Starting
	case p.GetStoreAway():
		return readers.StoreLost
	case p.GetOrigin() == f.Settings.Name:
		return readers.OwnState
	default:
		return readers.NotCurrent
	}
}

// isNewRecovery reports whether a recovery of the store that another entry reported
// is recent and not yet known to this entry. Reports within a second of a known
// recovery count as the same one.
func (f *Frontend) isNewRecovery(at time.Time) bool {
	if !at.After(f.storeRecovered.Add(time.Second)) {
		return false
	}
	f.storeRecovered = at
	return boottime.Now().Sub(at) < recoveryValidity
}

// recoveryValidity is how long a recovery of the store matters to entries that learn
// of it: as long as endpoints whose store entries vanished in the outage are retained.
const recoveryValidity = 2 * time.Second

// Follow implements fleetpb.EntryServer.
func (s *service) Follow(ctx context.Context, q *fleetpb.FollowRequest) (*fleetpb.FollowReply, error) {
	f := s.frontend
	arrived := boottime.Now()
	if f.stopping.Load() {
		return &fleetpb.FollowReply{Away: true, Leaving: true}, nil
	}
	request := mirror.Request{After: q.GetAfter(), Known: q.GetKnown(), AfterKey: q.GetAfterKey(), Complete: q.GetWhole(), PageBytes: followPageBytes}
	updated := f.storeCopy.Updated()
	u, ok := f.storeCopy.Since(request)
	o := f.storeStatus.Answer(q.GetAsker(), u.RequestedAt, arrived)
	if f.shouldAwaitUpdate(ok, o, u, q) {
		if err := f.awaitUpdate(ctx, updated, time.Duration(q.GetWaitMicros())*time.Microsecond, arrived); err != nil {
			return nil, err
		}
		u, ok = f.storeCopy.Since(request)
	}
	now := boottime.Now()
	origin := f.storeStatus.Origin()
	o = f.storeStatus.Answer(q.GetAsker(), u.RequestedAt, now)
	if !ok {
		o = f.storeStatus.AnswerWithoutState(now)
	}
	if o != readers.Fresh {
		return &fleetpb.FollowReply{Away: true, StoreAway: o == readers.StoreLost, Starting: o == readers.Starting, Origin: origin}, nil
	}
	if !q.GetKnown() && !f.firstStates.begin(q.GetAsker(), now) {
		return s.busy(ctx, q.GetAsker(), now)
	}
	p := followReply(u.Update, f.storeCopy.RecoveredAt(), arrived, now)
	p.Origin, p.More = origin, u.More
	if !q.GetKnown() {
		p.Holders = s.holders(q.GetAsker(), now)
	}
	if !q.GetKnown() && !u.More {
		f.firstStates.end(q.GetAsker(), now)
	}
	return p, nil
}

// shouldAwaitUpdate reports whether the answer to another entry waits for the next
// update: if nothing has changed, or if this entry has just started and is about to get
// its state. In the second case an entry that were turned away would turn to the readers
// together with all others that have just started.
func (f *Frontend) shouldAwaitUpdate(hasState bool, o readers.Outcome, p mirror.Page, q *fleetpb.FollowRequest) bool {
	if !hasState {
		return !f.storeStatus.Lost()
	}
	return o == readers.Fresh && !hasChanges(p.Update, q)
}

// awaitUpdate waits until updated is closed, at most for wait, and not beyond the
// time from which the pending call to the store is late. It returns the error of ctx.
func (f *Frontend) awaitUpdate(ctx context.Context, updated <-chan struct{}, wait time.Duration, now time.Time) error {
	if late := f.storeStatus.LateAt(); !late.IsZero() {
		wait = min(wait, late.Sub(now))
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-updated:
	case <-t.C:
	case <-ctx.Done():
	}
	return ctx.Err()
}

// hasChanges reports whether an update contains anything for the asking entry besides
// a later RequestedAt, or ends the transfer of one.
func hasChanges(u mirror.Update, q *fleetpb.FollowRequest) bool {
	return u.Complete || q.GetAfterKey() != "" || len(u.KVs)+len(u.Deleted) > 0 || u.SeparateRevision > q.GetDocumentRevision()
}

// followReply encodes an update for an entry whose request arrived at arrived.
func followReply(u mirror.Update, recovered, arrived, now time.Time) *fleetpb.FollowReply {
	p := &fleetpb.FollowReply{
		Whole: u.Complete, Removed: u.Deleted, Revision: u.Revision, AskedMicros: u.RequestedAt.Sub(arrived).Microseconds(),
		DocumentRevision: u.SeparateRevision, CoveredRevision: u.CoveredRevision,
	}
	for _, item := range u.KVs {
		p.Items = append(p.Items, &fleetpb.Item{Key: item.Key(), Value: item.Value(), Revision: item.Revision()})
	}
	if !recovered.IsZero() {
		p.ReturnedMicros = uint64(max(1, now.Sub(recovered).Microseconds()))
	}
	return p
}
