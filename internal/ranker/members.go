package ranker

import (
	"context"
	"sync"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/boottime"
	"github.com/hyssoprelay/hyssoprelay/internal/fleet"
	kv "github.com/hyssoprelay/hyssoprelay/internal/platform"
	"github.com/hyssoprelay/hyssoprelay/internal/platform/mirror"
)

// lapsedTime is how long the engine of an agent whose key has vanished is still
// asked directly. Agents are restarted within a second or two, and VMs replaced
// within some ten; an engine that is gone for good is another one's rank by then.
const lapsedTime = 15 * time.Second

// lapse is an agent whose key has vanished, and when that was seen.
type lapse struct {
	member fleet.Member
	at     time.Time
}

// lapse remembers an agent whose key has vanished, with mu held.
//
// Guard: an agent is restarted, or the store lets its lease lapse in an outage.
// Its engine goes on with the group and with what it holds or is armed for. A
// leader that forgot the engine with the agent would not see that rank, and so
// give no order to any: held steps stayed held for 5 s while agents were
// restarted in turn.
func (r *Ranker) lapse(name string, now time.Time) {
	if m, ok := r.agents[name]; ok {
		r.lapsed[name] = lapse{member: m, at: now}
	}
}

// followMembers follows the product's processes while this one leads a group, and
// returns when it knows them once, or the store does not tell. The returned
// function ends it.
func (r *Ranker) followMembers(ctx context.Context) (end func()) {
	ctx, cancel := context.WithCancel(ctx)
	known := make(chan struct{})
	var once sync.Once
	m := &mirror.Mirror{
		Reader: r.store, Prefix: fleet.Prefix, Wait: pollWait, Settle: pollSettle, Doubt: &r.returned, Now: boottime.Now,
		Apply: func(u mirror.Update) {
			r.applyMembers(u)
			once.Do(func() { close(known) })
		},
		Failed: r.storeFailed,
	}
	done := make(chan error, 1)
	go func() { done <- m.Run(ctx) }()
	t := time.NewTimer(storeTimeout)
	defer t.Stop()
	select {
	case <-known:
	case <-t.C:
	case <-ctx.Done():
	}
	return func() {
		cancel()
		if err := <-done; err != nil {
			r.storeFailed(err)
		}
	}
}

// applyMembers takes in what the store told of the product's processes.
func (r *Ranker) applyMembers(u mirror.Update) {
	now := boottime.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if u.Whole {
		for name := range r.agents {
			r.lapse(name, now)
		}
		clear(r.agents)
		clear(r.entries)
	}
	for _, item := range u.KVs {
		r.put(item)
	}
	for _, key := range u.Deleted {
		r.remove(key, now)
	}
	if _, lapsed := r.lapsed[r.Settings.Name]; lapsed {
		delete(r.lapsed, r.Settings.Name)
		r.doubt.Raise()
	}
}

func (r *Ranker) put(item kv.KeyValue) {
	m, ok, err := fleet.Decode(item.Key(), item.Value())
	switch {
	case err != nil:
		r.Log.WithField("cause", err.Error()).Warn("entry not readable, ignored")
	case ok && m.Kind == fleet.Agent:
		r.agents[m.Name] = m
		delete(r.lapsed, m.Name)
	case ok:
		r.entries[m.Name] = m
	}
}

func (r *Ranker) remove(key string, now time.Time) {
	switch kind, name, _ := fleet.KeyOf(key); kind {
	case fleet.Agent:
		r.lapse(name, now)
		delete(r.agents, name)
	case fleet.Entry:
		delete(r.entries, name)
	}
}

// members returns the agents of a group and the entries.
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

// lapsedMembers returns the agents of a group whose keys have vanished a short
// while ago.
func (r *Ranker) lapsedMembers(group string, now time.Time) []fleet.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []fleet.Member
	for name, l := range r.lapsed {
		switch {
		case now.Sub(l.at) > lapsedTime:
			delete(r.lapsed, name)
		case l.member.Group == group:
			out = append(out, l.member)
		}
	}
	return out
}
