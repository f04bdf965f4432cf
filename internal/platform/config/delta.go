package config

import (
	"cmp"
	"fmt"
	"slices"
)

// deltaJSON is the difference between a document that the peer has and a newer
// one. Without it each of 36,000 changes a day would move the whole document,
// some 15 to 30 KB, in and out of each process, more than the 7 KB/s that a
// node may spend on control.
//
// A delta is proved, not trusted: whoever applies it compares the digest of
// what comes out with the one of the message, and asks for the whole document
// when they differ.
type deltaJSON struct {
	// Head holds what is new: in its lists only what the base lacks.
	Head headJSON `json:"head"`
	// Ended are the places in the base's list of orders that are over.
	Ended []int `json:"ended,omitempty"`
	// Recent and Settled are the lengths of these lists.
	Recent  int `json:"recent"`
	Settled int `json:"settled"`
}

// past is what a process knew, or what a peer knows, without parts.
type past struct {
	digest string
	head   Head
	holds  []Hold
}

// maxPast is how many earlier states a store remembers: at one change in 2.4 s
// about 40 s, several times what a change needs to reach everyone. A peer that
// is further behind is sent the whole document.
const maxPast = 16

// deltaOf returns what a peer with the base lacks.
func deltaOf(base, h Head) *deltaJSON {
	old, d := base.toJSON(), &deltaJSON{Head: h.toJSON()}
	d.Recent, d.Settled = len(d.Head.Recent), len(d.Head.Settled)
	for i, o := range old.Out {
		if !slices.Contains(d.Head.Out, o) {
			d.Ended = append(d.Ended, i)
		}
	}
	d.Head.Presets = added(old.Presets, d.Head.Presets)
	d.Head.Out = addedOuts(old.Out, d.Head.Out)
	d.Head.Recent = addedDots(old.Recent, d.Head.Recent)
	d.Head.Settled = addedDots(old.Settled, d.Head.Settled)
	return d
}

func added(old, all []presetJSON) []presetJSON {
	return slices.DeleteFunc(all, func(p presetJSON) bool { return slices.Contains(old, p) })
}

func addedOuts(old, all []outJSON) []outJSON {
	return slices.DeleteFunc(all, func(o outJSON) bool { return slices.Contains(old, o) })
}

func addedDots(old, all []dotJSON) []dotJSON {
	known := make(map[dotJSON]bool, len(old))
	for _, d := range old {
		known[d] = true
	}
	return slices.DeleteFunc(all, func(d dotJSON) bool { return known[d] })
}

// apply returns the document that the delta makes of the base.
func (d *deltaJSON) apply(base Head) (Head, error) {
	j, old := d.Head, base.toJSON()
	j.Presets = mergePresets(old.Presets, j.Presets)
	for i := len(d.Ended) - 1; i >= 0; i-- {
		n := d.Ended[i]
		if n < 0 || n >= len(old.Out) {
			return Head{}, fmt.Errorf("%w: order %d of %d is over", ErrMalformed, n, len(old.Out))
		}
		old.Out = slices.Delete(old.Out, n, n+1)
	}
	j.Out = append(old.Out, j.Out...)
	slices.SortFunc(j.Out, compareOuts)
	j.Recent = mergeDots(old.Recent, j.Recent, d.Recent)
	j.Settled = mergeDots(old.Settled, j.Settled, d.Settled)
	h, err := headFromJSON(j)
	if err != nil {
		return Head{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return h, nil
}

func mergePresets(old, changed []presetJSON) []presetJSON {
	all := slices.Clone(changed)
	for _, p := range old {
		if !slices.ContainsFunc(changed, func(c presetJSON) bool { return c.Name == p.Name }) {
			all = append(all, p)
		}
	}
	slices.SortFunc(all, func(a, b presetJSON) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

func compareOuts(a, b outJSON) int {
	return cmp.Or(
		cmp.Compare(a.Kind, b.Kind),
		cmp.Compare(a.Name, b.Name),
		cmp.Compare(a.Generation, b.Generation),
		cmp.Compare(a.ChangeID, b.ChangeID),
	)
}

// mergeDots returns the newest n of both.
func mergeDots(old, more []dotJSON, n int) []dotJSON {
	all := append(old, more...)
	slices.SortFunc(all, func(a, b dotJSON) int {
		return cmp.Or(cmp.Compare(a.Generation, b.Generation), cmp.Compare(a.ChangeID, b.ChangeID))
	})
	return all[max(0, len(all)-max(0, n)):]
}
