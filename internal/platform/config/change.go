package config

import (
	"sort"
	"time"

	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// Change is an operator's change of the configuration: a PutPreset,
// SwitchPreset, TakeOutOfService or ReturnToService. The unexported changes are
// made by a Writer itself when it repairs the document.
type Change interface{ isChange() }

// PutPreset stores a preset or replaces the body of a stored one. The first
// preset stored becomes the one in force, and a new body for the preset in
// force takes effect at once.
type PutPreset struct {
	Name string
	Body []byte
}

// SwitchPreset makes the named preset the one in force.
type SwitchPreset struct{ Name string }

// TakeOutOfService takes a target out of service.
type TakeOutOfService struct{ Target Target }

// ReturnToService returns a target to service. It removes every entry in
// the document that keeps the target out of service.
type ReturnToService struct{ Target Target }

// releaseHold records the release of a hold in the document. It removes the
// entry made by that hold, if the document has one, and no other.
type releaseHold struct{ holdID string }

// recordJoin gives the join of concurrent heads a generation of its own.
type recordJoin struct{}

func (PutPreset) isChange()        {}
func (SwitchPreset) isChange()     {}
func (TakeOutOfService) isChange() {}
func (ReturnToService) isChange()  {}
func (releaseHold) isChange()      {}
func (recordJoin) isChange()       {}

// Order is a change submitted by an operator.
type Order struct {
	// ChangeID identifies the order. A repeated order with the same id is
	// applied only once.
	ChangeID string
	// By is the name of the operator.
	By string
	// IfGeneration is the generation that the order requires; zero accepts any.
	IfGeneration uint64
	// Change is the requested change.
	Change Change
}

// validate returns a result.MalformedOrder or result.BodyTooLarge error for an
// order that no head can accept.
func (o Order) validate() error {
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
		if len(c.Body) > MaxPartBytes {
			return result.Newf(result.BodyTooLarge, "%d bytes, at most %d", len(c.Body), MaxPartBytes)
		}
	case SwitchPreset:
		name = c.Name
	case TakeOutOfService:
		name = c.Target.name
	case ReturnToService:
		name = c.Target.name
	case releaseHold:
		name = c.holdID
	case recordJoin:
		return nil
	default:
		return result.New(result.MalformedOrder, "the order names no change")
	}
	if !validName(name) {
		return result.Newf(result.MalformedOrder, "%q is not a name", name)
	}
	return nil
}

// Apply returns the head that results from the order o, received at time now.
// It does not check IfGeneration. Errors have the result codes MalformedOrder,
// BodyTooLarge or UnknownPreset.
func Apply(h Head, o Order, now time.Time) (Head, error) {
	if err := o.validate(); err != nil {
		return Head{}, err
	}
	if h.dot.generation == maxGeneration {
		return Head{}, result.New(result.MalformedOrder, "the generation can't grow any more")
	}
	next := h
	next.dot = Dot{generation: h.dot.generation + 1, changeID: o.ChangeID}
	if err := next.applyChange(h, o, now); err != nil {
		return Head{}, err
	}
	next.joined = false
	next.recent = append(append([]Dot(nil), h.recent...), next.dot)
	next.trim(maxRecent)
	return next, nil
}

func (h *Head) applyChange(old Head, o Order, now time.Time) error {
	switch c := o.Change.(type) {
	case PutPreset:
		return h.putPreset(old, c)
	case SwitchPreset:
		return h.switchPreset(c.Name)
	case TakeOutOfService:
		return h.takeOutOfService(old, OutOfServiceEntry{target: c.Target, dot: h.dot, by: o.By, at: truncateToMicros(now)})
	case ReturnToService:
		h.outOfService = removeEntries(old.outOfService, func(p OutOfServiceEntry) bool { return p.target == c.Target })
	case releaseHold:
		h.outOfService = removeEntries(old.outOfService, func(p OutOfServiceEntry) bool { return p.dot.changeID == c.holdID })
		h.recordSettled(old, c.holdID, o.ChangeID)
	}
	return nil
}

func truncateToMicros(t time.Time) time.Time { return time.UnixMicro(t.UnixMicro()).UTC() }

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

// takeOutOfService adds an entry even if the target is already out of service,
// so that this order prevails over a concurrent order to return the target
// to service, which has not seen the new entry.
func (h *Head) takeOutOfService(old Head, o OutOfServiceEntry) error {
	entries := removeEntries(old.outOfService, func(p OutOfServiceEntry) bool { return p.target == o.target })
	if len(entries) == maxOutOfService {
		return result.Newf(result.MalformedOrder, "%d targets are out already", maxOutOfService)
	}
	entries = append(entries, o)
	sort.Slice(entries, func(i, j int) bool { return entries[i].less(entries[j]) })
	h.outOfService = entries
	h.recordSettled(old, o.dot.changeID)
	return nil
}

// recordSettled adds the ids of orders that a process may still have as local
// holds to the list of settled orders. That list reaches further back than the
// list of recent changes: a process that was disconnected for a long time must
// still find its hold there, or it would take the target out of service again
// after others have returned it to service.
func (h *Head) recordSettled(old Head, ids ...string) {
	h.settled = old.settled
	for _, id := range ids {
		if !containsID(h.settled, id) {
			d := Dot{generation: h.dot.generation, changeID: id}
			h.settled = joinDots(h.settled, []Dot{d}, 0)
		}
	}
}

// removeEntries returns the entries for which drop returns false.
func removeEntries(entries []OutOfServiceEntry, drop func(OutOfServiceEntry) bool) []OutOfServiceEntry {
	var kept []OutOfServiceEntry
	for _, o := range entries {
		if !drop(o) {
			kept = append(kept, o)
		}
	}
	return kept
}

// trim limits the recent changes to n and the settled orders to maxSettled.
// Changes removed from the recent list count as seen by their generation
// (Head.floor). The limits keep the head within the size of one value of the
// service. Only heads that diverged more than n changes ago can no longer tell
// which changes the other one has seen.
func (h *Head) trim(n int) {
	for len(h.recent) > n {
		h.floor = h.recent[0].generation
		h.recent = joinDots(h.recent, nil, h.floor)
	}
	if n := len(h.settled) - maxSettled; n > 0 {
		h.settled = h.settled[n:]
	}
}
