package operator

import (
	"context"
	"fmt"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/inifile"
	"github.com/hyssoprelay/hyssoprelay/internal/operator/preset"
	"github.com/hyssoprelay/hyssoprelay/internal/platform/config"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// maxTries bounds how often a change is checked and submitted again because
// another operator's change came in between. Operators are few; three changes
// of others within one order mean that somebody should look.
const maxTries = 4

// faultsError is a result.PresetInvalid with all faults.
type faultsError struct {
	err    *result.Error
	faults []preset.Fault
}

// Error implements error.
func (e *faultsError) Error() string { return e.err.Error() }

// Unwrap returns the numbered result.
func (e *faultsError) Unwrap() error { return e.err }

func invalid(name string, faults []preset.Fault) error {
	return &faultsError{
		err:    result.Newf(result.PresetInvalid, "%s has %d faults; nothing was changed", name, len(faults)),
		faults: faults,
	}
}

// check decides whether an order may be given on a configuration. It returns
// a numbered result when not.
//
// It guards against orders that the system would take and could not follow: a
// preset in force that can't be read, or one that does not name a data centre
// that is out, which would then count as unknown and could not be brought in
// by anybody who reads the preset. An order that the document lists already is
// not checked again, because the repeat of a lost answer must tell the first
// outcome, whatever has changed since.
func check(s *config.Snapshot, o config.Order) error {
	if s.Head().ListsChange(o.ChangeID) {
		return nil
	}
	switch c := o.Change.(type) {
	case config.PutPreset:
		return checkPut(s, c)
	case config.SwitchPreset:
		return checkSwitch(s, c)
	case config.TakeOutOfService:
		return checkTarget(s, c.Target)
	case config.ReturnToService:
		if s.IsOutOfService(c.Target) {
			return nil
		}
		return checkTarget(s, c.Target)
	}
	return result.New(result.MalformedOrder, "the order names no change")
}

func checkPut(s *config.Snapshot, c config.PutPreset) error {
	p, faults := preset.Parse(c.Body)
	if p == nil {
		return invalid(c.Name, faults)
	}
	if p.Name() != c.Name {
		f := inifile.NewFault(inifile.BadValue, "preset", "name", fmt.Sprintf("%q", p.Name()), c.Name+", by which it is put")
		return invalid(c.Name, []preset.Fault{f})
	}
	if inForce, ok := s.Head().InForce(); ok && inForce.Name() != c.Name {
		return nil
	}
	return checkOuts(s, p)
}

func checkSwitch(s *config.Snapshot, c config.SwitchPreset) error {
	if _, ok := s.Head().Preset(c.Name); !ok {
		return result.New(result.UnknownPreset, c.Name)
	}
	p, err := read(s, c.Name)
	if err != nil {
		return err
	}
	return checkOuts(s, p)
}

// checkOuts refuses a preset that does not name a data centre that is out.
func checkOuts(s *config.Snapshot, p *preset.Preset) error {
	for _, o := range outs(s) {
		if o.Kind() == config.DataCentreKind && !p.HasDataCentre(o.Name()) {
			return result.Newf(result.UnknownDataCentre, "preset %s does not name %s, which is out of service", p.Name(), o.Name())
		}
	}
	return nil
}

func outs(s *config.Snapshot) []config.Target {
	var list []config.Target
	for _, o := range s.Head().OutOfService() {
		list = append(list, o.Target())
	}
	for _, h := range s.Holds() {
		if !h.Released() {
			list = append(list, h.Target())
		}
	}
	return list
}

// checkTarget refuses what the preset in force does not know.
func checkTarget(s *config.Snapshot, t config.Target) error {
	p, err := inForce(s)
	if err != nil {
		return err
	}
	if t.Kind() == config.DataCentreKind {
		if !p.HasDataCentre(t.Name()) {
			return result.Newf(result.UnknownDataCentre, "%s is not in preset %s", t.Name(), p.Name())
		}
		return nil
	}
	for _, r := range routes(p) {
		if r.Serves(t.Name()) {
			return nil
		}
	}
	return result.Newf(result.UnknownEndpoint, "no model or service of preset %s has the endpoint %s", p.Name(), t.Name())
}

func routes(p *preset.Preset) []preset.Route {
	var list []preset.Route
	for _, m := range p.Models() {
		list = append(list, m)
	}
	for _, s := range p.Services() {
		list = append(list, s)
	}
	return list
}

func inForce(s *config.Snapshot) (*preset.Preset, error) {
	p, body, ok := s.Preset()
	if !ok {
		return nil, result.New(result.UnknownPreset, "no preset is in force")
	}
	return parse(p.Name(), body)
}

// read returns a preset of the document.
func read(s *config.Snapshot, name string) (*preset.Preset, error) {
	p, ok := s.Head().Preset(name)
	if !ok {
		return nil, result.New(result.UnknownPreset, name)
	}
	body, ok := s.Part(p.Digest())
	if !ok {
		return nil, result.Newf(result.PlatformRefused, "the text of preset %s is not known here", name)
	}
	return parse(name, body)
}

func parse(name string, body []byte) (*preset.Preset, error) {
	p, faults := preset.Parse(body)
	if p == nil {
		return nil, invalid(name, faults)
	}
	return p, nil
}

// submit checks an order and makes it.
//
// Two operators may race: the check sees one configuration and the change
// meets a later one. So a change that puts a preset into force is submitted on
// the condition of the generation that it was checked on, and is checked again
// when another change came first. Orders to take out or bring in carry no such
// condition: they must go through also when the platform's service is down.
func submit(ctx context.Context, c Configuration, o config.Order, now time.Time) (config.Head, error) {
	asked := o.IfGeneration
	for try := 0; ; try++ {
		err := check(c.Current(), o)
		if err != nil && try == 0 && mayBeStale(err) {
			// The entry may know less than the platform's service. When the
			// service does not answer, what is known here decides.
			_ = c.Refresh(ctx, now)
			continue
		}
		if err != nil {
			return config.Head{}, err
		}
		o.IfGeneration = condition(c.Current(), o.Change, asked)
		h, err := c.Submit(ctx, o, now)
		raced := asked == 0 && result.CodeOf(err) == result.Conflict
		if !raced || try >= maxTries {
			return h, err
		}
		if err := c.Refresh(ctx, now); err != nil {
			return config.Head{}, result.Newf(result.PlatformRefused, "%v", err)
		}
	}
}

// mayBeStale reports whether a newer configuration could make the order good.
func mayBeStale(err error) bool { return result.CodeOf(err) != result.PresetInvalid }

func condition(s *config.Snapshot, c config.Change, asked uint64) uint64 {
	if asked != 0 {
		return asked
	}
	switch c.(type) {
	case config.PutPreset, config.SwitchPreset:
		return s.Head().Generation()
	default:
		return 0
	}
}
