package config

import (
	"slices"
	"sort"
)

// Newer returns the join of two heads. It is commutative, associative and
// idempotent, has the higher generation of both and loses no change that either
// has accepted. When one head descends from the other it is that head.
//
// It guards against a configuration that reverts: a process that is told an
// older head (by a peer, by a held-back watch, by a service restored from an
// older copy) would otherwise bring work back to a data centre that operators
// took out.
func Newer(a, b Head) Head {
	h := Head{dot: a.dot, floor: max(a.floor, b.floor)}
	if h.dot.less(b.dot) {
		h.dot = b.dot
	}
	h.presets = joinPresets(a.presets, b.presets)
	h.inForce, h.inForceSince = a.inForce, a.inForceSince
	if laterInForce(b, a) {
		h.inForce, h.inForceSince = b.inForce, b.inForceSince
	}
	h.outs = joinOuts(a, b)
	h.recent = joinDots(a.recent, b.recent, h.floor)
	h.settled = joinDots(a.settled, b.settled, 0)
	h.joined = joinedBy(a, b)
	h.trim(maxListed)
	return h
}

// joinedBy reports whether the join of a and b is a document that no process
// has written yet.
func joinedBy(a, b Head) bool {
	ab, ba := Covers(a, b), Covers(b, a)
	switch {
	case ab && ba:
		return a.joined || b.joined
	case ab:
		return a.joined
	case ba:
		return b.joined
	default:
		return true
	}
}

func laterInForce(a, b Head) bool {
	if a.inForceSince != b.inForceSince {
		return a.inForceSince > b.inForceSince
	}
	return a.inForce > b.inForce
}

func joinPresets(a, b []Preset) []Preset {
	m := make(map[string]Preset, len(a))
	for _, p := range a {
		m[p.name] = p
	}
	for _, p := range b {
		old, ok := m[p.name]
		if !ok || p.after(old) {
			m[p.name] = p
		}
	}
	return sortedPresets(m)
}

func sortedPresets(m map[string]Preset) []Preset {
	if len(m) == 0 {
		return nil
	}
	ps := make([]Preset, 0, len(m))
	for _, p := range m {
		ps = append(ps, p)
	}
	sort.Slice(ps, func(i, j int) bool { return ps[i].name < ps[j].name })
	return ps
}

// joinOuts keeps each order that both have, and each that only one has unless
// the other has seen it and ended it since.
func joinOuts(a, b Head) []Out {
	var outs []Out
	for _, o := range a.outs {
		p, both := b.find(o)
		switch {
		case both:
			outs = append(outs, laterOut(o, p))
		case !b.seen(o.dot):
			outs = append(outs, o)
		}
	}
	for _, o := range b.outs {
		if _, both := a.find(o); !both && !a.seen(o.dot) {
			outs = append(outs, o)
		}
	}
	sort.Slice(outs, func(i, j int) bool { return outs[i].less(outs[j]) })
	return outs
}

// find returns the head's entry for the same order. The entries are in order,
// so a join of two heads of n orders takes n log n steps.
func (h Head) find(o Out) (Out, bool) {
	i := sort.Search(len(h.outs), func(i int) bool { return !h.outs[i].less(o) })
	if i == len(h.outs) || h.outs[i].target != o.target || h.outs[i].dot != o.dot {
		return Out{}, false
	}
	return h.outs[i], true
}

// laterOut chooses between two entries for one order. They differ when the
// order was given again, through another process, after the service had been
// restored from a copy without it.
func laterOut(a, b Out) Out {
	if a.at.Equal(b.at) && a.by > b.by || a.at.After(b.at) {
		return a
	}
	return b
}

// joinDots merges two ordered lists and leaves out what floor covers.
func joinDots(a, b []Dot, floor uint64) []Dot {
	var ds []Dot
	for len(a) > 0 || len(b) > 0 {
		var d Dot
		if len(b) == 0 || len(a) > 0 && a[0].less(b[0]) {
			d, a = a[0], a[1:]
		} else {
			d, b = b[0], b[1:]
		}
		if d.generation > floor && (len(ds) == 0 || ds[len(ds)-1] != d) {
			ds = append(ds, d)
		}
	}
	return ds
}

// equal reports whether both hold the same.
func (h Head) equal(o Head) bool {
	return h.dot == o.dot && h.floor == o.floor && h.joined == o.joined &&
		h.inForce == o.inForce && h.inForceSince == o.inForceSince &&
		slices.Equal(h.presets, o.presets) && slices.Equal(h.outs, o.outs) &&
		slices.Equal(h.recent, o.recent) && slices.Equal(h.settled, o.settled)
}

// Covers reports whether everything that b holds is part of a's past, so that
// their join is a.
func Covers(a, b Head) bool {
	if a.dot.less(b.dot) || a.floor < b.floor {
		return false
	}
	for _, d := range b.recent {
		if !a.seen(d) {
			return false
		}
	}
	for _, d := range b.settled {
		if !a.knowsSettled(d) {
			return false
		}
	}
	return true
}

// knowsSettled counts what a full list has forgotten as known.
func (h Head) knowsSettled(d Dot) bool {
	if hasID(h.settled, d.changeID) {
		return true
	}
	return len(h.settled) == maxSettled && d.less(h.settled[0])
}
