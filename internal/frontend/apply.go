package frontend

import (
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

// noticedElsewhere is how long ago the store came back at least that another entry had
// lost. It may have turned away that one alone, and then an endpoint whose entry vanishes
// has left: held for any longer, it would get requests after it has to get none.
const noticedElsewhere = 500 * time.Millisecond

// storeFailed notes that the store did not answer a read.
func (f *Frontend) storeFailed(err error) {
	f.choice.NoteStore(false, boottime.Now())
	if !f.basis.Lose() {
		return
	}
	f.Log.WithFields(logrus.Fields{
		"dependency": "store", "cause": err.Error(), "knownAge": f.fresh.Age(boottime.Now()).Milliseconds(),
	}).Warn("dependency lost")
}

// callFailed notes that another call to the store failed.
func (f *Frontend) callFailed(err error) {
	f.Log.WithFields(logrus.Fields{"dependency": "store", "cause": err.Error()}).Warn("call failed")
}

// apply takes in what the store told.
func (f *Frontend) apply(u mirror.Update) {
	now := boottime.Now()
	returned := now
	if u.Neighbour {
		returned = f.returned
	}
	if !u.Neighbour && f.lostElsewhere {
		u.Returned, f.lostElsewhere = true, false
		returned = now.Add(-noticedElsewhere)
	}
	if u.Returned {
		f.belief.Change(func(d *directory.Directory) { d.Returned(returned) })
		f.doubt.Raise()
	}
	if !u.Neighbour {
		f.choice.NoteStore(true, now)
	}
	if f.basis.Learn(f.origin(u)) {
		f.Log.WithFields(logrus.Fields{"dependency": "store", "revision": u.Revision}).Warn("dependency regained")
	}
	facts := make([]platform.Fact, 0, len(u.KVs))
	for _, item := range u.KVs {
		if fact := f.put(item, now); fact != nil {
			facts = append(facts, fact)
		}
	}
	for _, key := range u.Deleted {
		f.remove(key, now)
	}
	if u.Whole {
		f.whole(facts, now)
	}
	lacking := lack{entry: f.source, address: f.sourceAddress, revision: u.Apart, asked: u.Asked}
	u.Apart = f.documents.Newest().Revision
	f.copy.Take(u, returned)
	if u.Lacking {
		f.lacking.set(lacking)
		return
	}
	// Only now, when all that the answer told is in force, is it as fresh.
	f.learn(u.Asked, now)
}

// origin returns the entry that the store itself has told an update.
func (f *Frontend) origin(u mirror.Update) string {
	if u.Neighbour {
		return f.sourceOrigin
	}
	return f.Settings.Name
}

// put takes in one item and returns what it says, or nil if it can't be read.
func (f *Frontend) put(item kv.KeyValue, now time.Time) platform.Fact {
	fact, err := platform.Translate(item)
	if err != nil {
		f.Log.WithFields(logrus.Fields{"key": item.Key(), "revision": item.Revision(), "cause": err.Error()}).Warn("entry not readable, ignored")
		return nil
	}
	switch fact := fact.(type) {
	case platform.TableFact:
		if f.belief.SetTable(fact.Table, now) {
			f.documents.Put(document.Version{Revision: item.Revision(), Value: item.Value()})
			f.Log.WithFields(logrus.Fields{
				"version": fact.Table.Version(), "routes": fact.Table.Routes(), "revision": item.Revision(),
			}).Info("configuration in force")
		}
	case platform.OutFact:
		f.setOut(fact, now)
	case platform.EndpointFact:
		f.belief.Change(func(d *directory.Directory) { d.Put(fact.Entry, now) })
		f.Log.WithFields(logrus.Fields{
			"endpoint": fact.Entry.ID, "born": fact.Entry.Born, "service": fact.Entry.Service,
			"address": fact.Entry.Address, "inDataCentre": fact.Entry.DataCentre, "draining": fact.Entry.Draining,
			"cold": fact.Entry.Cold.Milliseconds(), "revision": item.Revision(),
		}).Info("endpoint listed")
	case platform.OwnFact:
		f.putMember(item, now)
	}
	return fact
}

func (f *Frontend) setOut(fact platform.OutFact, now time.Time) {
	f.belief.Change(func(d *directory.Directory) { d.SetOut(fact.DataCentre, !fact.Removed, now) })
	f.Log.WithFields(logrus.Fields{"outDataCentre": fact.DataCentre, "out": !fact.Removed}).Info("data centre order in force")
}

func (f *Frontend) putMember(item kv.KeyValue, now time.Time) {
	m, ok, err := fleet.Decode(item.Key(), item.Value())
	if err != nil {
		f.Log.WithField("cause", err.Error()).Warn("entry not readable, ignored")
		return
	}
	if ok && m.Kind == fleet.Entry {
		f.belief.SetEntry(m.Name, true, now)
		f.others.set(m)
	}
}

func (f *Frontend) remove(key string, now time.Time) {
	switch fact := platform.TranslateRemoved(key).(type) {
	case platform.OutFact:
		f.setOut(fact, now)
	case platform.EndpointFact:
		f.belief.Change(func(d *directory.Directory) { d.Remove(fact.Entry.ID, now) })
		f.Log.WithField("endpoint", fact.Entry.ID).Info("endpoint entry vanished")
	case platform.OwnFact:
		if kind, name, ok := fleet.KeyOf(key); ok && kind == fleet.Entry {
			f.removeMember(name, now)
		}
	}
}

func (f *Frontend) removeMember(name string, now time.Time) {
	f.belief.SetEntry(name, false, now)
	f.conns.Drop(f.others.drop(name))
	if name == f.Settings.Name {
		f.doubt.Raise()
	}
}

// whole takes in that the store says nothing but facts.
func (f *Frontend) whole(facts []platform.Fact, now time.Time) {
	ids := map[string]bool{}
	out := map[string]bool{}
	members := map[string]bool{}
	for _, fact := range facts {
		switch fact := fact.(type) {
		case platform.EndpointFact:
			ids[fact.Entry.ID] = true
		case platform.OutFact:
			out[fact.DataCentre] = true
		case platform.OwnFact:
			if kind, name, ok := fleet.KeyOf(fact.Key); ok && kind == fleet.Entry {
				members[name] = true
			}
		}
	}
	for name := range f.others.all() {
		if !members[name] {
			f.removeMember(name, now)
		}
	}
	f.belief.Change(func(d *directory.Directory) {
		d.Whole(ids, now)
		for _, dc := range d.Outs() {
			if !out[dc] {
				d.SetOut(dc, false, now)
			}
		}
	})
	f.belief.Listed()
	f.Log.WithFields(logrus.Fields{"endpoints": len(ids), "facts": len(facts)}).Info("store read whole")
}
