package frontend

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/boottime"
	"github.com/hyssoprelay/hyssoprelay/internal/fleet"
	"github.com/hyssoprelay/hyssoprelay/internal/fleet/readers"
	"github.com/hyssoprelay/hyssoprelay/internal/pause"
	"github.com/hyssoprelay/hyssoprelay/internal/platform/mirror"
)

const (
	// maxHostWait is the longest time that a starting entry that sees no other entry of
	// its data centre waits for one before it registers by itself. Each entry waits for a
	// random part of it: of a hundred that start together, only the first few then write
	// keys of their own.
	maxHostWait = 2 * time.Second
	// hostPollInterval is how often it looks whether it knows another entry meanwhile, and
	// discoveryInterval the mean time between two lists of the store's hosts.
	hostPollInterval  = 20 * time.Millisecond
	discoveryInterval = 150 * time.Millisecond
	// minDiscoveryRetry and maxDiscoveryRetry bound the delay after a list that failed, which
	// doubles with each further failure.
	minDiscoveryRetry = 100 * time.Millisecond
	maxDiscoveryRetry = 450 * time.Millisecond
)

// fetchFirstState gets the complete state from another entry while this one has none. It returns false
// if the store is to be read.
func (f *Frontend) fetchFirstState(ctx context.Context) (mirror.Update, bool) {
	f.discoverEntries(ctx)
	if f.readStore {
		f.starter.NoteStoreFailure(boottime.Now())
		f.relistHosts(ctx)
	}
	for ctx.Err() == nil {
		hosts := f.hosts()
		addresses := maps.Clone(f.firstSources)
		for name, m := range hosts {
			addresses[name] = m.Address
		}
		reachable := func(name string) bool { return f.peerConns.Ready(addresses[name]) }
		step := f.starter.Next(names(hosts), slices.Collect(maps.Keys(f.firstSources)), reachable, boottime.Now())
		switch step := step.(type) {
		case readers.ReadStore:
			f.readStore = true
			f.setSource("")
			f.transfer.Reset()
			return mirror.Update{}, false
		case readers.Pause:
			pause.For(ctx, step.For)
		case readers.Ask:
			f.setSource(step.Name)
			page, outcome := f.askEntry(ctx, step.Name, addresses[step.Name], 0, false)
			f.starter.NoteAnswer(step.Name, outcome, boottime.Now())
			if outcome != readers.Fresh {
				continue
			}
			if u, ok := f.transfer.Add(page); ok {
				return u, true
			}
		}
	}
	return mirror.Update{}, false
}

// hosts returns the hosts from which this entry may get its first state, by name. It is among them
// itself if it is one, or was one before it started.
func (f *Frontend) hosts() map[string]fleet.Member {
	out := f.members.inDataCentre(f.Settings.DataCentre)
	for name, m := range out {
		if !m.Host {
			delete(out, name)
		}
	}
	if f.wasHost || f.host.Hosting() {
		out[f.Settings.Name] = f.member()
	}
	return out
}

// awaitOtherEntry waits until another entry of the data centre is known, or this one is known to be
// alone.
func (f *Frontend) awaitOtherEntry(ctx context.Context) {
	for f.startingAlone(boottime.Now()) && ctx.Err() == nil {
		pause.For(ctx, hostPollInterval)
	}
}

// startingAlone reports whether this entry has just started, knows no other one of its
// data centre, and still waits for one.
func (f *Frontend) startingAlone(now time.Time) bool {
	if f.fleetRuns.Load() || f.members.hasOther(f.Settings.DataCentre, f.Settings.Name) {
		return false
	}
	aloneUntil := f.aloneUntil.Load()
	return aloneUntil == nil || now.Before(*aloneUntil)
}

// discoverEntries lists the hosts of the data centre once, and then again while this entry is starting
// alone. It does not wait for another one if the fleet runs already.
//
// An entry that reads the complete state from the store, and polls it until it sees
// another entry, makes several calls. In a fleet that starts as a whole, each entry made
// them. A list that may be some seconds old costs a tenth of a call. Until a list has come, the
// complete state is not read either: after an outage, a whole fleet without state would read it at
// once.
func (f *Frontend) discoverEntries(ctx context.Context) {
	for retryDelay := minDiscoveryRetry; f.aloneUntil.Load() == nil && ctx.Err() == nil; retryDelay = min(2*retryDelay, maxDiscoveryRetry) {
		listed, err := fleet.ListHostsOrEntries(ctx, f.store, f.Settings.DataCentre, f.logMalformed)
		if err != nil {
			f.storeFailed(err)
			pause.For(ctx, retryDelay)
			continue
		}
		f.fleetRuns.Store(len(listed) > 0)
		f.setListed(listed)
		aloneUntil := boottime.Now().Add(f.hostWait)
		f.aloneUntil.Store(&aloneUntil)
	}
	for f.startingAlone(boottime.Now()) && ctx.Err() == nil {
		pause.For(ctx, discoveryInterval/2+rand.N(discoveryInterval))
		f.relistHosts(ctx)
	}
}

// relistHosts replaces the hosts by those that the store lists now.
func (f *Frontend) relistHosts(ctx context.Context) {
	hosts, err := fleet.ListHosts(ctx, f.store, f.Settings.DataCentre, f.logMalformed)
	if err != nil {
		f.callFailed(err)
		return
	}
	f.setListed(hosts)
}

// setListed replaces what is known of the entries, while this one has no state, by what the store
// lists.
func (f *Frontend) setListed(listed []fleet.Member) {
	for name := range f.members.all() {
		f.members.remove(name)
	}
	for _, m := range listed {
		if m.Name != f.Settings.Name {
			f.members.put(m)
		}
	}
	f.wasHost = slices.ContainsFunc(listed, func(m fleet.Member) bool { return m.Name == f.Settings.Name && m.Host })
}
