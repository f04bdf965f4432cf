package entry

import (
	"context"
	"sync"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/placement"
)

const (
	// listEvery is how often the platform's list of VMs is read. The list lags
	// by itself; what a process says of its own leaving comes sooner.
	listEvery = time.Second
	// ownSubset and otherSubset bound how many agents an entry listens to in
	// its own data centre and in each other one, so that no process hears from
	// all others: at 630 endpoints a data centre each agent is heard by about
	// seven of 35 entries.
	ownSubset   = 128
	otherSubset = 16
)

// VM is a VM of the system as the platform lists it.
type VM struct {
	ID         string
	Role       string
	DataCentre string
	Address    string
	Leaving    bool
}

// directory knows the system's VMs.
type directory struct {
	entry *Entry

	mu      sync.Mutex
	entryAt []string
}

// entries returns the addresses of the other entries.
func (d *directory) entries() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.entryAt
}

// run reads the list until ctx ends.
func (d *directory) run(ctx context.Context) error {
	t := time.NewTicker(listEvery)
	defer t.Stop()
	for {
		vms, err := d.entry.VMs(ctx)
		if err == nil {
			d.take(ctx, vms)
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return nil
		}
	}
}

func (d *directory) take(ctx context.Context, vms []VM) {
	var entries []string
	agents := map[string][]string{}
	for _, v := range vms {
		switch {
		case v.Role == "entry" && v.ID != d.entry.Settings.Name:
			entries = append(entries, v.Address)
		case v.Role == "agent":
			agents[v.DataCentre] = append(agents[v.DataCentre], v.Address)
		}
	}
	d.mu.Lock()
	d.entryAt = entries
	d.mu.Unlock()
	d.entry.members.set(ctx, d.subset(agents))
}

// subset returns the agents that the entry listens to.
func (d *directory) subset(agents map[string][]string) []string {
	var all []string
	for dc, addrs := range agents {
		size := otherSubset
		if dc == d.entry.Settings.DataCentre {
			size = ownSubset
		}
		all = append(all, placement.Subset(d.entry.Settings.Name, addrs, size)...)
	}
	return all
}
