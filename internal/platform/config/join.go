package config

import (
	"slices"
	"sort"
)

// JoinHeads returns the join of two heads. It is commutative, associative and
// idempotent. The join has the higher generation of both and includes every
// change that either has accepted. If one head descends from the other, the
// join is that head.
//
// The join keeps the configuration from reverting when a process receives an
// older head from a peer, a delayed watch or a service restored from an older
// copy. Work would otherwise return to a data centre that operators took out of
// service.
func JoinHeads(a, b Head) Head {
	h := Head{dot: a.dot, floor: max(a.floor, b.floor)}
	if h.dot.less(b.dot) {
		h.dot = b.dot
	}
	h.presets = joinPresets(a.presets, b.presets)
	h.inForce, h.inForceSince = a.inForce, a.inForceSince
	if laterInForce(b, a) {
		h.inForce, h.inForceSince = b.inForce, b.inForceSince
	}
	h.outOfService = joinOutOfService(a, b)
	h.recent = joinDots(a.recent, b.recent, h.floor)
	h.settled = joinDots(a.settled, b.settled, 0)
	h.joined = isUnrecordedJoin(a, b)
	h.trim(maxListed)
	return h
}

// isUnrecordedJoin reports whether the join of a and b is a document that no
// process has written yet.
func isUnrecordedJoin(a, b Head) bool {
	ab, ba := Includes(a, b), Includes(b, a)
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

// joinOutOfService returns the entries that both heads have, and those of one
// head that the other has not seen. An entry that only one head has and the
// other has seen was removed there.
func joinOutOfService(a, b Head) []OutOfServiceEntry {
	var entries []OutOfServiceEntry
	for _, o := range a.outOfService {
		p, both := b.findOutOfServiceEntry(o)
		switch {
		case both:
			entries = append(entries, laterOutOfServiceEntry(o, p))
		case !b.seen(o.dot):
			entries = append(entries, o)
		}
	}
	for _, o := range b.outOfService {
		if _, both := a.findOutOfServiceEntry(o); !both && !a.seen(o.dot) {
			entries = append(entries, o)
		}
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].less(entries[j]) })
	return entries
}

// findOutOfServiceEntry returns the head's entry with the target and change of
// o. The entries are sorted, so joining two heads of n entries takes O(n log n)
// time.
func (h Head) findOutOfServiceEntry(o OutOfServiceEntry) (OutOfServiceEntry, bool) {
	i := sort.Search(len(h.outOfService), func(i int) bool { return !h.outOfService[i].less(o) })
	if i == len(h.outOfService) || h.outOfService[i].target != o.target || h.outOfService[i].dot != o.dot {
		return OutOfServiceEntry{}, false
	}
	return h.outOfService[i], true
}

// laterOutOfServiceEntry chooses between two entries with the same target and
// change: the later one, then the one with the greater operator name. They
// differ if the order was submitted again through another process after the
// service had been restored from a copy without it.
func laterOutOfServiceEntry(a, b OutOfServiceEntry) OutOfServiceEntry {
	if a.at.Equal(b.at) && a.by > b.by || a.at.After(b.at) {
		return a
	}
	return b
}

// joinDots merges two sorted lists and omits duplicates and generations up to
// floor.
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

// equal reports whether both heads are the same document.
func (h Head) equal(o Head) bool {
	return h.dot == o.dot && h.floor == o.floor && h.joined == o.joined &&
		h.inForce == o.inForce && h.inForceSince == o.inForceSince &&
		slices.Equal(h.presets, o.presets) && slices.Equal(h.outOfService, o.outOfService) &&
		slices.Equal(h.recent, o.recent) && slices.Equal(h.settled, o.settled)
}

// Includes reports whether a includes every change that b includes, so that
// their join is a.
func Includes(a, b Head) bool {
	if a.dot.less(b.dot) || a.floor < b.floor {
		return false
	}
	for _, d := range b.recent {
		if !a.seen(d) {
			return false
		}
	}
	for _, d := range b.settled {
		if !a.hasSettled(d) {
			return false
		}
	}
	return true
}

// hasSettled reports whether the settled order d is listed or, if the list is
// full, older than all listed ones, which implies that it was listed and
// removed.
func (h Head) hasSettled(d Dot) bool {
	if containsID(h.settled, d.changeID) {
		return true
	}
	return len(h.settled) == maxSettled && d.less(h.settled[0])
}
