package entry

import (
	"slices"

	"github.com/hyssoprelay/hyssoprelay/internal/caller/admission"
	"github.com/hyssoprelay/hyssoprelay/internal/operator/preset"
	"github.com/hyssoprelay/hyssoprelay/internal/platform/config"
)

// view is the configuration that the entry acts by. It is never changed once
// made.
type view struct {
	generation  uint64
	digest      string // names the preset's text
	preset      *preset.Preset
	endpoints   []string
	dataCentres []string
}

// newView reads a snapshot after the view that is in force, which may be nil.
// It returns nil when no preset is known yet, or with faults when the preset
// can't be read.
//
// A preset is read once. Most changes concern what is out of service, and
// reading 12,000 accounts again for each takes a quarter of a second.
func newView(s *config.Snapshot, last *view) (*view, []preset.Fault) {
	in, body, ok := s.Preset()
	if !ok {
		return nil, nil
	}
	v := &view{generation: s.Head().Generation(), digest: in.Digest()}
	if last != nil && last.digest == v.digest {
		v.preset = last.preset
	} else {
		p, faults := preset.Parse(body)
		if len(faults) > 0 {
			return nil, faults
		}
		v.preset = p
	}
	for _, o := range s.Head().OutOfService() {
		v.out(o.Target())
	}
	for _, h := range s.Holds() {
		if !h.Released() {
			v.out(h.Target())
		}
	}
	return v, nil
}

func (v *view) out(t config.Target) {
	switch t.Kind() {
	case config.EndpointKind:
		v.endpoints = append(v.endpoints, t.Name())
	case config.DataCentreKind:
		v.dataCentres = append(v.dataCentres, t.Name())
	}
}

// limits returns the accounts' limits for admission.
func (v *view) limits() []admission.Limits {
	var ls []admission.Limits
	for _, a := range v.preset.Accounts() {
		ls = append(ls, admission.Limits{
			Account:     a.Name(),
			Rate:        a.RatePerSecond(),
			Burst:       float64(a.Burst()),
			Concurrency: a.Concurrency(),
			Weight:      a.Weight(),
			Worth:       a.Worth(),
		})
	}
	return ls
}

// dataCentresIn returns how many data centres of the preset are in service.
func (v *view) dataCentresIn() int {
	n := 0
	for _, d := range v.preset.DataCentres() {
		if !slices.Contains(v.dataCentres, d.Name()) {
			n++
		}
	}
	return n
}
