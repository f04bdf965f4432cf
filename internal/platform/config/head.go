package config

import (
	"crypto/sha256"
	"encoding/hex"
	"sort"
	"time"
)

// Dot identifies one accepted change.
type Dot struct {
	generation uint64
	changeID   string
}

// Generation returns the generation that the change created.
func (d Dot) Generation() uint64 { return d.generation }

// ChangeID returns the id under which the change was submitted.
func (d Dot) ChangeID() string { return d.changeID }

func (d Dot) less(o Dot) bool {
	if d.generation != o.generation {
		return d.generation < o.generation
	}
	return d.changeID < o.changeID
}

// TargetKind is the kind of a Target.
type TargetKind int

const (
	// DataCentreKind stands for a data centre.
	DataCentreKind TargetKind = iota
	// EndpointKind stands for an endpoint.
	EndpointKind
)

// String returns the name of the kind in the document.
func (k TargetKind) String() string {
	if k == EndpointKind {
		return "endpoint"
	}
	return "dataCentre"
}

// Target is a data centre or an endpoint that can be taken out of service. It
// is comparable.
type Target struct {
	kind TargetKind
	name string
}

// DataCentre returns the target for the data centre of that name.
func DataCentre(name string) Target { return Target{kind: DataCentreKind, name: name} }

// Endpoint returns the target for the endpoint of that name.
func Endpoint(name string) Target { return Target{kind: EndpointKind, name: name} }

// Kind returns whether the target is a data centre or an endpoint.
func (t Target) Kind() TargetKind { return t.kind }

// Name returns the name of the data centre or endpoint.
func (t Target) Name() string { return t.name }

// String returns the kind and the name, separated by a space.
func (t Target) String() string { return t.kind.String() + " " + t.name }

func (t Target) less(o Target) bool {
	if t.kind != o.kind {
		return t.kind < o.kind
	}
	return t.name < o.name
}

// OutOfServiceEntry is an entry of the document that keeps a target out of
// service. A target may have several; returning it to service removes them all.
type OutOfServiceEntry struct {
	target Target
	dot    Dot
	by     string
	at     time.Time
}

// Target returns the target that is out of service.
func (o OutOfServiceEntry) Target() Target { return o.target }

// Dot returns the change that took the target out of service.
func (o OutOfServiceEntry) Dot() Dot { return o.dot }

// By returns the name of the operator who submitted the order.
func (o OutOfServiceEntry) By() string { return o.by }

// At returns when the order was received, by the clock of the receiving
// process.
func (o OutOfServiceEntry) At() time.Time { return o.at }

func (o OutOfServiceEntry) less(p OutOfServiceEntry) bool {
	if o.target != p.target {
		return o.target.less(p.target)
	}
	return o.dot.less(p.dot)
}

// Preset is the document's record of a preset.
type Preset struct {
	name   string
	digest string
	since  uint64
}

// Name returns the name of the preset.
func (p Preset) Name() string { return p.name }

// Digest returns the digest of the body, which names its part.
func (p Preset) Digest() string { return p.digest }

// Since returns the generation in which the preset got this body.
func (p Preset) Since() uint64 { return p.since }

// after orders two versions of one preset by generation, then by digest.
func (p Preset) after(o Preset) bool {
	if p.since != o.since {
		return p.since > o.since
	}
	return p.digest > o.digest
}

// Head is the configuration document. The zero Head is the empty configuration,
// of generation 0. A Head is immutable.
type Head struct {
	dot          Dot
	inForce      string
	inForceSince uint64
	presets      []Preset            // sorted by name
	outOfService []OutOfServiceEntry // sorted by target and dot
	floor        uint64              // all changes up to this generation count as seen
	recent       []Dot               // changes above floor, sorted
	settled      []Dot               // orders to take targets out and releases of holds, sorted
	joined       bool                // join of concurrent heads that has no generation of its own yet
}

// Generation returns the generation, which never decreases.
func (h Head) Generation() uint64 { return h.dot.generation }

// ChangeID returns the id of the change that created this generation.
func (h Head) ChangeID() string { return h.dot.changeID }

// InForce returns the preset in force and whether there is one, which is the
// case once any preset is stored.
func (h Head) InForce() (Preset, bool) { return h.Preset(h.inForce) }

// Preset returns the preset of that name and whether it exists.
func (h Head) Preset(name string) (Preset, bool) {
	for _, p := range h.presets {
		if p.name == name {
			return p, true
		}
	}
	return Preset{}, false
}

// Presets returns all presets, sorted by name.
func (h Head) Presets() []Preset { return append([]Preset(nil), h.presets...) }

// OutOfService returns the entries that keep targets out of service.
func (h Head) OutOfService() []OutOfServiceEntry {
	return append([]OutOfServiceEntry(nil), h.outOfService...)
}

// IsOutOfService reports whether the target itself is out of service.
func (h Head) IsOutOfService(t Target) bool {
	i := sort.Search(len(h.outOfService), func(i int) bool { return !h.outOfService[i].target.less(t) })
	return i < len(h.outOfService) && h.outOfService[i].target == t
}

// RecentChanges returns the recent changes listed in the head, oldest first.
// Settled orders that are no longer among them are left out.
func (h Head) RecentChanges() []Dot { return append([]Dot(nil), h.recent...) }

// ListsChange reports whether the head lists a change with the id. The head
// lists at least the latest maxRecent changes, and orders to take a target out
// of service and releases of holds for longer.
func (h Head) ListsChange(changeID string) bool {
	return containsID(h.recent, changeID) || containsID(h.settled, changeID)
}

func containsID(ds []Dot, id string) bool {
	for _, d := range ds {
		if d.changeID == id {
			return true
		}
	}
	return false
}

// seen reports whether the head includes the effect of the change.
func (h Head) seen(d Dot) bool {
	if d.generation <= h.floor {
		return true
	}
	i := sort.Search(len(h.recent), func(i int) bool { return !h.recent[i].less(d) })
	return i < len(h.recent) && h.recent[i] == d
}

// Digest returns the SHA-256 digest of a part's body in hexadecimal, by which
// the part is named.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}
