package config

import (
	"crypto/sha256"
	"encoding/hex"
	"sort"
	"time"
)

// Dot names one accepted change.
type Dot struct {
	generation uint64
	changeID   string
}

// Generation returns the generation that the change made.
func (d Dot) Generation() uint64 { return d.generation }

// ChangeID returns the id that the change was submitted under.
func (d Dot) ChangeID() string { return d.changeID }

func (d Dot) less(o Dot) bool {
	if d.generation != o.generation {
		return d.generation < o.generation
	}
	return d.changeID < o.changeID
}

// TargetKind says what a Target is.
type TargetKind int

const (
	// DataCentreKind is a whole data centre.
	DataCentreKind TargetKind = iota
	// EndpointKind is one endpoint.
	EndpointKind
)

// String returns the kind as it is written in the document.
func (k TargetKind) String() string {
	if k == EndpointKind {
		return "endpoint"
	}
	return "dataCentre"
}

// Target is what can be taken out of service. It is comparable.
type Target struct {
	kind TargetKind
	name string
}

// DataCentre returns the data centre with the name as a target.
func DataCentre(name string) Target { return Target{kind: DataCentreKind, name: name} }

// Endpoint returns the endpoint with the name as a target.
func Endpoint(name string) Target { return Target{kind: EndpointKind, name: name} }

// Kind returns whether the target is a data centre or an endpoint.
func (t Target) Kind() TargetKind { return t.kind }

// Name returns the target's name.
func (t Target) Name() string { return t.name }

// String returns kind and name for operators.
func (t Target) String() string { return t.kind.String() + " " + t.name }

func (t Target) less(o Target) bool {
	if t.kind != o.kind {
		return t.kind < o.kind
	}
	return t.name < o.name
}

// Out is an order by which a target is out of service. A target may be out by
// several orders; bringing it in ends all of them.
type Out struct {
	target Target
	dot    Dot
	by     string
	at     time.Time
}

// Target returns what is out.
func (o Out) Target() Target { return o.target }

// Dot returns the change that took the target out.
func (o Out) Dot() Dot { return o.dot }

// By returns the operator who gave the order.
func (o Out) By() string { return o.by }

// At returns when the order was met.
func (o Out) At() time.Time { return o.at }

func (o Out) less(p Out) bool {
	if o.target != p.target {
		return o.target.less(p.target)
	}
	return o.dot.less(p.dot)
}

// Preset is a preset's place in the document.
type Preset struct {
	name   string
	digest string
	since  uint64
}

// Name returns the preset's name.
func (p Preset) Name() string { return p.name }

// Digest returns the digest that names the part with the preset's body.
func (p Preset) Digest() string { return p.digest }

// Since returns the generation that gave the preset this body.
func (p Preset) Since() uint64 { return p.since }

// after orders two values of one name: the later generation, then the digest.
func (p Preset) after(o Preset) bool {
	if p.since != o.since {
		return p.since > o.since
	}
	return p.digest > o.digest
}

// Head is the document. The zero Head is the empty configuration of generation
// 0. A Head is immutable.
type Head struct {
	dot          Dot
	inForce      string
	inForceSince uint64
	presets      []Preset // by name
	outs         []Out    // by target and dot
	floor        uint64   // all dots up to this generation count as seen
	recent       []Dot    // dots above floor, in order
	settled      []Dot    // orders to take out and releases of holds, in order
	joined       bool     // the heads that it joins have no common successor yet
}

// Generation returns the generation, which only grows.
func (h Head) Generation() uint64 { return h.dot.generation }

// ChangeID returns the id of the change that made this generation.
func (h Head) ChangeID() string { return h.dot.changeID }

// InForce returns the preset in force and whether there is one. There is one as
// soon as there is a preset.
func (h Head) InForce() (Preset, bool) { return h.Preset(h.inForce) }

// Preset returns the preset with the name and whether it exists.
func (h Head) Preset(name string) (Preset, bool) {
	for _, p := range h.presets {
		if p.name == name {
			return p, true
		}
	}
	return Preset{}, false
}

// Presets returns all presets by name.
func (h Head) Presets() []Preset { return append([]Preset(nil), h.presets...) }

// Outs returns the orders that keep targets out of service.
func (h Head) Outs() []Out { return append([]Out(nil), h.outs...) }

// IsOut reports whether the target itself is out of service.
func (h Head) IsOut(t Target) bool {
	i := sort.Search(len(h.outs), func(i int) bool { return !h.outs[i].target.less(t) })
	return i < len(h.outs) && h.outs[i].target == t
}

// Recent returns the changes that the head still lists, oldest first.
func (h Head) Recent() []Dot { return append([]Dot(nil), h.recent...) }

// Accepted reports whether the head lists a change with the id. It looks back
// at least maxRecent changes, and farther for orders to take out and for
// releases of holds.
func (h Head) Accepted(changeID string) bool {
	return hasID(h.recent, changeID) || hasID(h.settled, changeID)
}

func hasID(ds []Dot, id string) bool {
	for _, d := range ds {
		if d.changeID == id {
			return true
		}
	}
	return false
}

// seen reports whether the change is part of the head's past.
func (h Head) seen(d Dot) bool {
	if d.generation <= h.floor {
		return true
	}
	i := sort.Search(len(h.recent), func(i int) bool { return !h.recent[i].less(d) })
	return i < len(h.recent) && h.recent[i] == d
}

// Digest returns the name of the part with the given body.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}
