package agent

import (
	"slices"

	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/allowance"
	"github.com/hyssoprelay/hyssoprelay/internal/operator/preset"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// view is what the configuration in force says about one endpoint. It is never
// changed once made.
type view struct {
	generation uint64
	digest     string // names the preset's text
	preset     string
	routes     map[string]preset.Route
	names      []string
	out        bool
}

// newView reads the part of a configuration that concerns the endpoint.
func newView(generation uint64, p *preset.Preset, endpoint string, out bool) *view {
	v := &view{generation: generation, preset: p.Name(), routes: map[string]preset.Route{}, out: out}
	for _, m := range p.Models() {
		v.add(m, endpoint)
	}
	for _, s := range p.Services() {
		v.add(s, endpoint)
	}
	slices.Sort(v.names)
	return v
}

// at returns the view at another generation with the same preset. Reading the
// preset again at each change would take an agent of 12,000 accounts' preset a
// quarter of a second.
func (v *view) at(generation uint64, out bool) *view {
	n := *v
	n.generation = generation
	n.out = out
	return &n
}

func (v *view) add(r preset.Route, endpoint string) {
	if !r.Serves(endpoint) {
		return
	}
	v.routes[r.Name()] = r
	v.names = append(v.names, r.Name())
}

// limits returns what the endpoint bears. Where several routes share the
// endpoint the least counts, because they share what it bears.
func (v *view) limits() (allowance.Limits, bool) {
	var l allowance.Limits
	for _, r := range v.routes {
		c := r.Capacity()
		one := allowance.Limits{Cold: c.ColdStart(), Full: c.Concurrency(), RampCompletions: rampEvery(c)}
		if l.Full == 0 || one.Full < l.Full {
			l = one
		}
	}
	return l, l.Full > 0
}

// rampEvery returns how many completions raise the bound by one. A step of
// several places is spread over its completions, which never runs ahead of it.
func rampEvery(c preset.Capacity) int {
	step := max(1, c.RampStep())
	return max(1, (c.RampCompletions()+step-1)/step)
}

// check returns why a request for the route can't be run here, or nil.
func (v *view) check(route string) *result.Error {
	if v == nil {
		return result.New(result.NoPreset, "")
	}
	if v.out {
		return result.New(result.OutOfService, "")
	}
	if _, ok := v.routes[route]; !ok {
		return result.Newf(result.NotServedHere, "route %q", route)
	}
	return nil
}
