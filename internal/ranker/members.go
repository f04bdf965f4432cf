package ranker

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hyssoprelay/hyssoprelay/internal/boottime"
	"github.com/hyssoprelay/hyssoprelay/internal/fleet"
	"github.com/hyssoprelay/hyssoprelay/internal/fleet/fleetpb"
	kv "github.com/hyssoprelay/hyssoprelay/internal/platform"
	"github.com/hyssoprelay/hyssoprelay/internal/platform/mirror"
)

// lapsedRetention is how long the engine of an agent whose key has vanished is still
// polled directly after it was last seen in its group. Agents are restarted within one
// or two seconds and VMs replaced within about ten. By the end of this time, the rank
// of an engine that does not return has been given to another engine.
const lapsedRetention = 15 * time.Second

// lapsedMember is an agent whose key has vanished, with the time when that was noticed
// or, if later, when its engine was last seen in its group without the agent.
type lapsedMember struct {
	member fleet.Member
	seenAt time.Time
}

// markLapsed remembers an agent whose key has vanished. r.mu must be held.
//
// A key vanishes when its agent is restarted, or when its lease lapses during an
// outage of the store. The agent's engine still belongs to the group and keeps the
// step that it holds and the map with which it is armed. A leader that forgot the
// engine together with the agent would not see that rank and would give no orders to
// any rank; steps stayed held for 5 s that way while agents were restarted in turn.
func (r *Ranker) markLapsed(name string, now time.Time) {
	if m, ok := r.agents[name]; ok {
		r.lapsed[name] = lapsedMember{member: m, seenAt: now}
	}
}

// watchMembers mirrors the fleet's members from the store while this agent leads a
// group. It returns after the first update, or after storeTimeout if the store does
// not answer. The returned function stops the mirror.
func (r *Ranker) watchMembers(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	ready := make(chan struct{})
	var once sync.Once
	m := &mirror.Mirror{
		Reader: r.store, Prefix: fleet.Prefix, Wait: memberPollWait, Settle: memberPollSettle, Repoll: &r.storeReturned, Now: boottime.Now,
		Apply: func(u mirror.Update) {
			r.applyMembers(u)
			once.Do(func() { close(ready) })
		},
		OnError: r.logStoreFailure, OnRelist: r.logRelist,
	}
	done := make(chan error, 1)
	go func() { done <- m.Run(ctx) }()
	t := time.NewTimer(storeTimeout)
	defer t.Stop()
	select {
	case <-ready:
	case <-t.C:
	case <-ctx.Done():
	}
	return func() {
		cancel()
		if err := <-done; err != nil {
			r.logStoreFailure(err)
		}
	}
}

// applyMembers applies an update of the fleet's members from the store.
func (r *Ranker) applyMembers(u mirror.Update) {
	now := boottime.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if u.Complete {
		for name := range r.agents {
			r.markLapsed(name, now)
		}
		clear(r.agents)
		clear(r.entries)
	}
	for _, item := range u.KVs {
		r.putMember(item)
	}
	for _, key := range u.Deleted {
		r.removeMember(key, now)
	}
	if _, lapsed := r.lapsed[r.Settings.Name]; lapsed {
		// The key of this agent itself has vanished: its lease may have lapsed.
		delete(r.lapsed, r.Settings.Name)
		r.leaseInDoubt.Raise()
	}
}

func (r *Ranker) putMember(item kv.KeyValue) {
	m, ok, err := fleet.Decode(item.Key(), item.Value())
	switch {
	case err != nil:
		r.logMalformed(err)
	case ok && m.Kind == fleet.Agent:
		r.agents[m.Name] = m
		delete(r.lapsed, m.Name)
	case ok:
		r.entries[m.Name] = m
	}
}

func (r *Ranker) logMalformed(err error) {
	r.Log.WithField("cause", err.Error()).Warn("malformed store entry ignored")
}

func (r *Ranker) removeMember(key string, now time.Time) {
	switch kind, name, _ := fleet.KeyOf(key); kind {
	case fleet.Agent:
		r.markLapsed(name, now)
		delete(r.agents, name)
	case fleet.Entry:
		delete(r.entries, name)
	}
}

// members returns the agents of a group and all entries.
func (r *Ranker) members(group string) (agents, entries []fleet.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range r.agents {
		if m.Group == group {
			agents = append(agents, m)
		}
	}
	for _, m := range r.entries {
		entries = append(entries, m)
	}
	return agents, entries
}

// noteLapsedSeen records that the engine of an agent whose key has vanished was seen in
// its group.
//
// An agent may stay away for good while its engine goes on. A leader that forgot the
// engine after a fixed time would lack a rank from then on, and the group would keep an
// outdated map, or a held step, until an agent is back.
func (r *Ranker) noteLapsedSeen(name string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m, ok := r.lapsed[name]; ok {
		m.seenAt = now
		r.lapsed[name] = m
	}
}

// noteLapsed records agents that the group's leader has named as lapsed. If this agent
// leads next, the store no longer tells it where their engines are.
func (r *Ranker) noteLapsed(targets []*fleetpb.Target, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, target := range targets {
		m := memberFromProto(target)
		if m.Name == r.Settings.Name || m.Endpoint == "" {
			continue
		}
		m.Group = r.group
		r.lapsed[m.Name] = lapsedMember{member: *m, seenAt: now}
	}
}

// lapsedMembers returns the agents of a group whose keys have vanished, except those
// whose engines have not been seen for lapsedRetention, which it forgets.
func (r *Ranker) lapsedMembers(group string, now time.Time) []fleet.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []fleet.Member
	for name, lapsed := range r.lapsed {
		switch {
		case now.Sub(lapsed.seenAt) > lapsedRetention:
			delete(r.lapsed, name)
			r.Log.WithFields(logrus.Fields{"agent": name, "unseen": now.Sub(lapsed.seenAt).Milliseconds()}).Info("engine without an agent forgotten")
		case lapsed.member.Group == group:
			out = append(out, lapsed.member)
		}
	}
	return out
}
