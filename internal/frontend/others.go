package frontend

import (
	"maps"
	"slices"
	"sync"

	"github.com/hyssoprelay/hyssoprelay/internal/fleet"
)

// others holds the entries that the store lists, by name.
type others struct {
	mu     sync.Mutex
	byName map[string]fleet.Member
}

func (o *others) set(m fleet.Member) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.byName == nil {
		o.byName = map[string]fleet.Member{}
	}
	o.byName[m.Name] = m
}

// drop forgets an entry and returns where it was met.
func (o *others) drop(name string) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	addr := o.byName[name].Address
	delete(o.byName, name)
	return addr
}

// count returns how many entries there are.
func (o *others) count() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.byName)
}

// all returns a copy.
func (o *others) all() map[string]fleet.Member {
	o.mu.Lock()
	defer o.mu.Unlock()
	return maps.Clone(o.byName)
}

// near returns those of one data centre.
func (o *others) near(dataCentre string) map[string]fleet.Member {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := map[string]fleet.Member{}
	for name, m := range o.byName {
		if m.DataCentre == dataCentre {
			out[name] = m
		}
	}
	return out
}

// far returns those of all other data centres.
func (o *others) far(dataCentre string) []fleet.Member {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []fleet.Member
	for _, m := range o.byName {
		if m.DataCentre != dataCentre {
			out = append(out, m)
		}
	}
	return out
}

// names returns the names of members.
func names(members map[string]fleet.Member) []string {
	return slices.Collect(maps.Keys(members))
}
