package frontend

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hyssoprelay/hyssoprelay/internal/boottime"
	"github.com/hyssoprelay/hyssoprelay/internal/fleet/fleetpb"
)

const (
	// proveSlack is added to twice the wait of a poll, below which the store's own
	// answers keep the age of what an entry knows: from there on it asks others.
	proveSlack = 300 * time.Millisecond
	// proveEvery is the pause between two rounds of asking. It leaves several
	// rounds until keys would be refused.
	proveEvery = 400 * time.Millisecond
	// proveAsked is how many entries are asked in a round: with a third of the
	// fleet cut off, one of four nearly always has a newer answer.
	proveAsked = 4
)

// prove keeps the entry's knowledge of the keys fresh by what other entries know
// while the store does not answer this one.
//
// The load is a store, or a way to it, that turns some entries away and serves
// the others. Those would refuse all keys after some seconds, though the entry
// beside them knows that none was taken away.
func (f *Frontend) prove(ctx context.Context) error {
	t := time.NewTicker(proveEvery)
	defer t.Stop()
	turn := 0
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		if f.fresh.Age(boottime.Now()) > 2*f.basis.Wait+proveSlack && f.belief.Known() {
			turn++
			f.askOthers(ctx, turn)
		}
	}
}

// askOthers asks some of the others, other ones each turn.
func (f *Frontend) askOthers(ctx context.Context, turn int) {
	asked := 0
	for name, m := range f.others.all() {
		if name == f.Settings.Name {
			continue
		}
		if asked++; asked > proveAsked {
			return // the order of a map differs each time
		}
		go f.ask(ctx, name, m.Address, turn)
	}
}

// ask takes in what another entry knows. The age of its knowledge counts from
// when this entry asked.
func (f *Frontend) ask(ctx context.Context, name, addr string, turn int) {
	conn, err := f.conns.Get(addr)
	if err != nil {
		return
	}
	asked := boottime.Now()
	within, cancel := context.WithTimeout(ctx, proveEvery)
	defer cancel()
	p, err := fleetpb.NewEntryClient(conn).Proof(within, &fleetpb.ProofRequest{})
	if err != nil {
		f.Log.WithFields(logrus.Fields{"entry": name, "cause": err.Error(), "turn": turn}).Debug("no proof")
		return
	}
	if f.belief.Table().Version() < p.GetVersion() {
		if err := f.fetchDocument(ctx, name, addr); err != nil {
			f.Log.WithFields(logrus.Fields{"entry": name, "cause": err.Error()}).Info("configuration not told")
		}
	}
	if f.belief.Table().Version() < p.GetVersion() {
		return // without that configuration its age says nothing
	}
	now := boottime.Now()
	before := f.fresh.Age(now)
	f.fresh.Learn(asked.Add(-time.Duration(p.GetAgeMicros()) * time.Microsecond))
	if after := f.fresh.Age(now); after < before {
		f.Log.WithFields(logrus.Fields{
			"entry": name, "version": p.GetVersion(), "age": after.Milliseconds(), "ageBefore": before.Milliseconds(),
		}).Info("keys proved by another entry")
	}
}
