package frontend

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hyssoprelay/hyssoprelay/internal/boottime"
	"github.com/hyssoprelay/hyssoprelay/internal/fleet/fleetpb"
	"github.com/hyssoprelay/hyssoprelay/internal/routing"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

const (
	// freshnessQueryMargin is added to twice the wait of a poll, which is the greatest
	// age of this entry's knowledge while the store answers. The entry queries others
	// when its knowledge is older than the sum.
	freshnessQueryMargin = 300 * time.Millisecond
	// freshnessQueryInterval is the time between two rounds of queries and the timeout
	// of each query. It allows several rounds before account keys would be refused.
	freshnessQueryInterval = 400 * time.Millisecond
	// freshnessQueryFanout is the number of entries queried per round: with a third of
	// the fleet cut off, one of four nearly always has a newer answer.
	freshnessQueryFanout = 4
)

// refreshFromPeers keeps this entry's knowledge of the account keys fresh by querying
// other entries while the store does not answer this one.
//
// A store, or the network to it, may refuse some entries and serve the others.
// Without these queries the refused ones would reject all account keys after some
// seconds, although other entries know that none was revoked.
func (f *Frontend) refreshFromPeers(ctx context.Context) error {
	t := time.NewTicker(freshnessQueryInterval)
	defer t.Stop()
	round := 0
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		if f.freshness.Age(boottime.Now()) > 2*f.storeStatus.Wait+freshnessQueryMargin && f.state.Ready() {
			round++
			f.queryPeers(ctx, round)
		}
	}
}

// queryPeers queries some of the other entries, selected at random in each round.
func (f *Frontend) queryPeers(ctx context.Context, round int) {
	queried := 0
	for name, m := range f.members.all() {
		if name == f.Settings.Name {
			continue
		}
		if queried++; queried > freshnessQueryFanout {
			return // the order of map iteration is random
		}
		go f.queryFreshness(ctx, name, m.Address, round)
	}
}

// queryFreshness queries another entry and adopts the age of its knowledge, counted
// from when this entry sent the query.
func (f *Frontend) queryFreshness(ctx context.Context, name, addr string, round int) {
	conn, err := f.peerConns.Get(addr)
	if err != nil {
		return
	}
	sent := boottime.Now()
	callCtx, cancel := context.WithTimeout(ctx, freshnessQueryInterval)
	defer cancel()
	p, err := fleetpb.NewEntryClient(conn).Proof(callCtx, &fleetpb.ProofRequest{})
	if err != nil {
		f.Log.WithFields(logrus.Fields{"entry": name, "cause": err.Error(), "turn": round}).Debug("freshness query failed")
		return
	}
	if f.state.Table().Version() < p.GetVersion() {
		if err := f.fetchDocument(ctx, name, addr); err != nil {
			f.Log.WithFields(logrus.Fields{"entry": name, "cause": err.Error()}).Info("configuration fetch failed")
		}
	}
	if f.state.Table().Version() < p.GetVersion() {
		return // its age does not apply to an older configuration
	}
	now := boottime.Now()
	before := f.freshness.Age(now)
	f.freshness.Advance(timeOfAge(p.GetAgeMicros(), sent))
	if after := f.freshness.Age(now); after < before {
		f.Log.WithFields(logrus.Fields{
			"entry": name, "version": p.GetVersion(), "age": after.Milliseconds(), "ageBefore": before.Milliseconds(),
		}).Info("freshness of keys confirmed by another entry")
	}
}

// Proof implements fleetpb.EntryServer.
func (s *service) Proof(context.Context, *fleetpb.ProofRequest) (*fleetpb.ProofReply, error) {
	f := s.frontend
	return proof(func() time.Duration { return f.freshness.Age(boottime.Now()) }, f.state.Table)
}

// proof returns the age of the knowledge with the version of the configuration in force.
//
// The age is read first, as it holds for any later configuration. Read after the
// configuration, it may be that of the next one, and another entry would go on accepting
// the keys that the next one takes away.
func proof(age func() time.Duration, table func() *routing.Table) (*fleetpb.ProofReply, error) {
	known := age()
	t := table()
	if t == nil {
		return nil, result.New(result.NoPreset, "")
	}
	return &fleetpb.ProofReply{AgeMicros: uint64(max(0, known.Microseconds())), Version: t.Version()}, nil
}
