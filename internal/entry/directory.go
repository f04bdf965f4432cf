package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/placement"
	"github.com/hyssoprelay/hyssoprelay/internal/platform/vmlist"
)

const (
	// joinEvery is how often the list of VMs is joined with what the entry sees
	// itself.
	joinEvery = 500 * time.Millisecond
	// ownSubset and otherSubset bound how many agents an entry listens to in
	// its own data centre and in each other one, so that no process hears from
	// all others: at 630 endpoints a data centre each agent is heard by about
	// seven of 35 entries.
	ownSubset   = 128
	otherSubset = 16
)

// directory knows the system's VMs: the platform's list, which lags, joined
// with live streams and with what leaving processes say themselves.
type directory struct {
	name       string
	dataCentre string
	list       *vmlist.Client
	members    *members

	mu      sync.Mutex
	entryAt []vmlist.VM
	// joined says that the list has answered, so that entryAt can be right.
	joined  bool
	agentAt map[string]string
}

// entries returns the other entries.
func (d *directory) entries() []vmlist.VM {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.entryAt
}

// knows reports whether the list has answered since the entry started.
func (d *directory) knows() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.joined
}

// agent returns the address of the agent beside the endpoint. The platform
// lists an agent's VM under the endpoint's name.
func (d *directory) agent(endpoint string) (string, bool) {
	if a, ok := d.members.byEndpoint(endpoint); ok {
		return a, true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	a, ok := d.agentAt[endpoint]
	return a, ok
}

// run follows the list until ctx ends.
func (d *directory) run(ctx context.Context) error {
	t := time.NewTicker(joinEvery)
	defer t.Stop()
	for {
		d.take(ctx)
		select {
		case <-t.C:
		case <-d.list.Changed():
		case <-ctx.Done():
			return nil
		}
	}
}

func (d *directory) take(ctx context.Context) {
	vms := vmlist.Merge(d.list.VMs(), d.members.observations())
	var entries []vmlist.VM
	agents := map[string][]string{}
	at := map[string]string{}
	var leaving []string
	for _, v := range vms {
		switch {
		case v.Role() == vmlist.Entry && v.ID() != d.name:
			entries = append(entries, v)
		case v.Role() == vmlist.Agent:
			agents[v.DataCentre()] = append(agents[v.DataCentre()], v.Address())
			at[v.ID()] = v.Address()
			if v.State() == vmlist.Leaving {
				leaving = append(leaving, v.Address())
			}
		}
	}
	d.mu.Lock()
	d.entryAt = entries
	d.joined = d.joined || len(d.list.VMs()) > 0
	d.agentAt = at
	d.mu.Unlock()
	d.members.setLeaving(leaving)
	d.members.set(ctx, d.subset(agents))
}

// subset returns the agents that the entry listens to.
func (d *directory) subset(agents map[string][]string) []string {
	var all []string
	for dc, addrs := range agents {
		size := otherSubset
		if dc == d.dataCentre {
			size = ownSubset
		}
		slices.Sort(addrs)
		all = append(all, placement.Subset(d.name, addrs, size)...)
	}
	return all
}
