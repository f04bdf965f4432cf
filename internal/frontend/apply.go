package frontend

import (
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hyssoprelay/hyssoprelay/internal/boottime"
	"github.com/hyssoprelay/hyssoprelay/internal/directory"
	"github.com/hyssoprelay/hyssoprelay/internal/fleet"
	"github.com/hyssoprelay/hyssoprelay/internal/fleet/document"
	kv "github.com/hyssoprelay/hyssoprelay/internal/platform"
	"github.com/hyssoprelay/hyssoprelay/internal/platform/mirror"
	"github.com/hyssoprelay/hyssoprelay/platform"
)

// peerOutageRecoveryAge is the assumed age of the store's recovery when this entry
// starts to poll the store because the store did not answer another entry. The store
// may have refused only that entry, and then an endpoint whose store entry vanishes has
// really left: if it were retained any longer, it would receive requests after the
// time at which it must receive none.
const peerOutageRecoveryAge = 500 * time.Millisecond

// storeFailed records that the store did not answer a read.
func (f *Frontend) storeFailed(err error) {
	f.sourceSelector.NoteStore(false, boottime.Now())
	if !f.storeStatus.NoteFailure() {
		return
	}
	f.Log.WithFields(logrus.Fields{
		"dependency": "store", "cause": err.Error(), "knownAge": f.freshness.Age(boottime.Now()).Milliseconds(),
	}).Warn("dependency lost")
}

// logTooLong logs that the store's answer to a poll is too long.
func (f *Frontend) logTooLong(cause error) {
	f.logUnavailable(cause, "store changes too long, the configuration is read apart")
}

// logRelist logs that the complete state is read from the store in place of the changes.
func (f *Frontend) logRelist(cause error) {
	f.logUnavailable(cause, "store changes unavailable, the complete state is read")
}

func (f *Frontend) logUnavailable(cause error, message string) {
	f.Log.WithFields(logrus.Fields{
		"dependency": "store", "cause": cause.Error(), "knownAge": f.freshness.Age(boottime.Now()).Milliseconds(),
	}).Warn(message)
}

// callFailed logs that another call to the store failed.
func (f *Frontend) callFailed(err error) {
	f.Log.WithFields(logrus.Fields{"dependency": "store", "cause": err.Error()}).Warn("call failed")
}

// apply applies an update from the store or from another entry.
func (f *Frontend) apply(u mirror.Update) {
	now := boottime.Now()
	recovered := now
	if u.FromPeer {
		recovered = f.storeRecovered
	}
	if !u.FromPeer && f.storeLostByPeer {
		u.Recovered, f.storeLostByPeer = true, false
		recovered = now.Add(-peerOutageRecoveryAge)
	}
	if u.Recovered {
		f.state.UpdateDirectory(func(d *directory.Directory) { d.StoreRecovered(recovered) })
		f.leaseSuspect.Raise()
	}
	if !u.FromPeer {
		f.sourceSelector.NoteStore(true, now)
	}
	if f.storeStatus.NoteUpdate(f.origin(u)) {
		f.Log.WithFields(logrus.Fields{"dependency": "store", "revision": u.Revision}).Warn("dependency regained")
	}
	u = f.storeCopy.WithoutOlder(withoutUnused(u))
	facts := make([]platform.Fact, 0, len(u.KVs))
	for _, item := range u.KVs {
		if fact := f.applyPut(item, now); fact != nil {
			facts = append(facts, fact)
		}
	}
	for _, key := range u.Deleted {
		f.applyRemove(key, now)
	}
	f.applyHolds(u)
	if u.Complete {
		f.applyListing(facts, now)
	}
	missing := missingDocument{entry: f.source, address: f.sourceAddress, covered: u.Coverage}
	// The copy announces to other entries only the configuration that this one holds. What they may lack with it
	// is said by the revision that the copy covers.
	u.SeparateRevision = f.heldDocument()
	f.storeCopy.Apply(u, recovered)
	if u.SeparateMissing {
		f.logMissing(missing, u)
		f.missing.set(missing)
		return
	}
	// The knowledge is as recent as the answer only now that all of the answer is in
	// force.
	f.advanceFreshness(u.RequestedAt, now)
}

// withoutUnused returns an update without the keys of the product's own processes that
// no entry uses: about half of all keys are those of agents, and each entry would send
// them to its followers.
func withoutUnused(u mirror.Update) mirror.Update {
	u.KVs = slices.DeleteFunc(slices.Clone(u.KVs), func(item kv.KeyValue) bool { return unused(item.Key()) })
	u.Deleted = slices.DeleteFunc(slices.Clone(u.Deleted), unused)
	return u
}

// unused reports whether no entry uses a key.
func unused(key string) bool {
	kind, _, ok := fleet.KeyOf(key)
	_, isPart := storedPart(key)
	return strings.HasPrefix(key, fleet.Prefix) && !isPart && !isHold(key) && (!ok || kind != fleet.Entry)
}

// origin returns the entry that received an update directly from the store.
func (f *Frontend) origin(u mirror.Update) string {
	if u.FromPeer {
		return f.sourceOrigin
	}
	return f.Settings.Name
}

// applyPut applies one item and returns its content, or nil if it is malformed.
func (f *Frontend) applyPut(item kv.KeyValue, now time.Time) platform.Fact {
	fact, err := platform.Translate(item)
	if err != nil {
		f.Log.WithFields(logrus.Fields{"key": item.Key(), "revision": item.Revision(), "cause": err.Error()}).Warn("malformed store entry ignored")
		return nil
	}
	switch fact := fact.(type) {
	case platform.TableFact:
		if f.putInForce(fact.Table, document.Version{Revision: item.Revision(), Value: item.Value()}, now) {
			f.Log.WithFields(logrus.Fields{
				"version": fact.Table.Version(), "routes": fact.Table.Routes(), "revision": item.Revision(),
			}).Info("configuration in force")
		}
	case platform.OutFact:
		f.setOutOfService(fact, now)
	case platform.EndpointFact:
		f.state.UpdateDirectory(func(d *directory.Directory) { d.Put(fact.Entry, now) })
		f.Log.WithFields(logrus.Fields{
			"endpoint": fact.Entry.ID, "born": fact.Entry.StartMillis, "service": fact.Entry.Service,
			"address": fact.Entry.Address, "inDataCentre": fact.Entry.DataCentre, "draining": fact.Entry.Draining,
			"cold": fact.Entry.Cold.Milliseconds(), "revision": item.Revision(),
		}).Info("endpoint entry updated")
	case platform.OwnFact:
		f.applyOwn(item, now)
	}
	return fact
}

// applyOwn applies an item that the product's own processes have written.
func (f *Frontend) applyOwn(item kv.KeyValue, now time.Time) {
	if _, ok := storedPart(item.Key()); ok {
		f.restorePart(item, now)
		return
	}
	if !isHold(item.Key()) {
		f.putMember(item, now)
	}
}

func (f *Frontend) setOutOfService(fact platform.OutFact, now time.Time) {
	f.state.UpdateDirectory(func(d *directory.Directory) { d.SetOutOfService(fact.DataCentre, !fact.Removed, now) })
	f.Log.WithFields(logrus.Fields{"outDataCentre": fact.DataCentre, "out": !fact.Removed}).Info("data centre order in force")
}

func (f *Frontend) putMember(item kv.KeyValue, now time.Time) {
	m, ok, err := fleet.Decode(item.Key(), item.Value())
	if err != nil {
		f.logMalformed(err)
		return
	}
	if ok && m.Kind == fleet.Entry {
		f.state.SetEntry(m.Name, true, now)
		f.members.put(m)
	}
}

func (f *Frontend) logMalformed(err error) {
	f.Log.WithField("cause", err.Error()).Warn("malformed store entry ignored")
}

func (f *Frontend) applyRemove(key string, now time.Time) {
	switch fact := platform.TranslateRemoved(key).(type) {
	case platform.OutFact:
		f.setOutOfService(fact, now)
	case platform.EndpointFact:
		f.state.UpdateDirectory(func(d *directory.Directory) { d.Remove(fact.Entry.ID, now) })
		f.Log.WithField("endpoint", fact.Entry.ID).Info("endpoint entry removed")
	case platform.OwnFact:
		if kind, name, ok := fleet.KeyOf(key); ok && kind == fleet.Entry {
			f.removeMember(name, now)
		}
	}
}

func (f *Frontend) removeMember(name string, now time.Time) {
	f.state.SetEntry(name, false, now)
	f.peerConns.Remove(f.members.remove(name))
	if name == f.Settings.Name {
		f.leaseSuspect.Raise()
	}
}

// applyListing applies a full listing of the store: entries, endpoints and orders to
// take a data centre out of service that are not among facts no longer exist.
func (f *Frontend) applyListing(facts []platform.Fact, now time.Time) {
	ids := map[string]bool{}
	outOfService := map[string]bool{}
	listed := map[string]bool{}
	for _, fact := range facts {
		switch fact := fact.(type) {
		case platform.EndpointFact:
			ids[fact.Entry.ID] = true
		case platform.OutFact:
			outOfService[fact.DataCentre] = true
		case platform.OwnFact:
			if kind, name, ok := fleet.KeyOf(fact.Key); ok && kind == fleet.Entry {
				listed[name] = true
			}
		}
	}
	for name := range f.members.all() {
		if !listed[name] {
			f.removeMember(name, now)
		}
	}
	f.state.UpdateDirectory(func(d *directory.Directory) {
		d.ApplyListing(ids, now)
		for _, dc := range d.OutOfService() {
			if !outOfService[dc] {
				d.SetOutOfService(dc, false, now)
			}
		}
	})
	f.state.EndpointsListed()
	f.Log.WithFields(logrus.Fields{"endpoints": len(ids), "facts": len(facts)}).Info("full store listing applied")
}
