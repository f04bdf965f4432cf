package config

import (
	"sort"
	"time"

	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// Change is what an operator can order: PutPreset, SwitchPreset, TakeOut or
// BringIn.
type Change interface{ isChange() }

// PutPreset stores a preset. The first preset comes into force at once; a new
// body for the preset in force is in force at once too.
type PutPreset struct {
	Name string
	Body []byte
}

// SwitchPreset puts the preset with the name into force.
type SwitchPreset struct{ Name string }

// TakeOut takes a target out of service.
type TakeOut struct{ Target Target }

// BringIn brings a target back into service. It ends all orders to take it out
// that the configuration holds.
type BringIn struct{ Target Target }

// endHold ends the order of one hold that was released before the document
// held it, and no other.
type endHold struct{ holdID string }

// absorb gives a join of heads that forked a generation of its own.
type absorb struct{}

func (PutPreset) isChange()    {}
func (SwitchPreset) isChange() {}
func (TakeOut) isChange()      {}
func (BringIn) isChange()      {}
func (endHold) isChange()      {}
func (absorb) isChange()       {}

// Order is a change as an operator submits it.
type Order struct {
	// ChangeID names the order. A repeat with the same id is done once.
	ChangeID string
	// By is the operator.
	By string
	// IfGeneration is the generation that the operator decided by; zero means
	// any.
	IfGeneration uint64
	// Change is what is ordered.
	Change Change
}

// check returns a result.MalformedOrder or result.BodyTooLarge error for an
// order that can't be done on any head.
func (o Order) check() error {
	if !validName(o.ChangeID) {
		return result.New(result.MalformedOrder, "the change id must be 1 to 64 printable characters without spaces and quotes")
	}
	if !validName(o.By) {
		return result.New(result.MalformedOrder, "the operator must be 1 to 64 printable characters without spaces and quotes")
	}
	name := ""
	switch c := o.Change.(type) {
	case PutPreset:
		name = c.Name
		if len(c.Body) > MaxPart {
			return result.Newf(result.BodyTooLarge, "%d bytes, at most %d", len(c.Body), MaxPart)
		}
	case SwitchPreset:
		name = c.Name
	case TakeOut:
		name = c.Target.name
	case BringIn:
		name = c.Target.name
	case endHold:
		name = c.holdID
	case absorb:
		return nil
	default:
		return result.New(result.MalformedOrder, "the order names no change")
	}
	if !validName(name) {
		return result.Newf(result.MalformedOrder, "%q is not a name", name)
	}
	return nil
}

// Apply returns the head after an order that was met at now. It does not look
// at IfGeneration. Errors are results: MalformedOrder, BodyTooLarge,
// UnknownPreset.
func Apply(h Head, o Order, now time.Time) (Head, error) {
	if err := o.check(); err != nil {
		return Head{}, err
	}
	if h.dot.generation == maxGeneration {
		return Head{}, result.New(result.MalformedOrder, "the generation can't grow any more")
	}
	n := h
	n.dot = Dot{generation: h.dot.generation + 1, changeID: o.ChangeID}
	if err := n.change(h, o, now); err != nil {
		return Head{}, err
	}
	n.joined = false
	n.recent = append(append([]Dot(nil), h.recent...), n.dot)
	n.trim(maxRecent)
	return n, nil
}

func (h *Head) change(old Head, o Order, now time.Time) error {
	switch c := o.Change.(type) {
	case PutPreset:
		return h.putPreset(old, c)
	case SwitchPreset:
		return h.switchPreset(c.Name)
	case TakeOut:
		return h.takeOut(old, Out{target: c.Target, dot: h.dot, by: o.By, at: micros(now)})
	case BringIn:
		h.outs = without(old.outs, func(p Out) bool { return p.target == c.Target })
	case endHold:
		h.outs = without(old.outs, func(p Out) bool { return p.dot.changeID == c.holdID })
		h.settle(old, c.holdID, o.ChangeID)
	}
	return nil
}

func micros(t time.Time) time.Time { return time.UnixMicro(t.UnixMicro()).UTC() }

func (h *Head) putPreset(old Head, c PutPreset) error {
	m := make(map[string]Preset, len(old.presets)+1)
	for _, p := range old.presets {
		m[p.name] = p
	}
	m[c.Name] = Preset{name: c.Name, digest: Digest(c.Body), since: h.dot.generation}
	if len(m) > maxPresets {
		return result.Newf(result.MalformedOrder, "there are %d presets already", maxPresets)
	}
	h.presets = sortedPresets(m)
	if h.inForce != "" {
		return nil
	}
	return h.switchPreset(c.Name)
}

func (h *Head) switchPreset(name string) error {
	if _, ok := h.Preset(name); !ok {
		return result.New(result.UnknownPreset, name)
	}
	h.inForce = name
	h.inForceSince = h.dot.generation
	return nil
}

// takeOut adds an order even when the target is out already: an order to bring
// the target in that races this one has not seen it, so this one wins.
func (h *Head) takeOut(old Head, o Out) error {
	outs := without(old.outs, func(p Out) bool { return p.target == o.target })
	if len(outs) == maxOuts {
		return result.Newf(result.MalformedOrder, "%d targets are out already", maxOuts)
	}
	outs = append(outs, o)
	sort.Slice(outs, func(i, j int) bool { return outs[i].less(outs[j]) })
	h.outs = outs
	h.settle(old, o.dot.changeID)
	return nil
}

// settle lists orders that a process may hold. The list outlasts that of the
// recent changes: a process that was cut off for long must still find its hold
// there, or it would take the target out again after others brought it in.
func (h *Head) settle(old Head, ids ...string) {
	h.settled = old.settled
	for _, id := range ids {
		if !hasID(h.settled, id) {
			d := Dot{generation: h.dot.generation, changeID: id}
			h.settled = joinDots(h.settled, []Dot{d}, 0)
		}
	}
}

func without(outs []Out, drop func(Out) bool) []Out {
	var kept []Out
	for _, o := range outs {
		if !drop(o) {
			kept = append(kept, o)
		}
	}
	return kept
}

// trim bounds the lists, the recent changes to n. What is forgotten counts as
// seen by its generation. Without the bound the head would outgrow a value of
// the service; with it, only heads that forked more than n changes ago lose the
// proof of who saw what.
func (h *Head) trim(n int) {
	for len(h.recent) > n {
		h.floor = h.recent[0].generation
		h.recent = joinDots(h.recent, nil, h.floor)
	}
	if n := len(h.settled) - maxSettled; n > 0 {
		h.settled = h.settled[n:]
	}
}
