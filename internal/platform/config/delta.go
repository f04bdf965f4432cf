package config

import (
	"cmp"
	"fmt"
	"slices"
)

// deltaJSON is the difference between a document known to the peer and a newer
// one. Receiving and sending the whole document of 15 to 30 KB in each process
// for each of 36,000 changes a day would exceed the 7 KB/s that a node may use
// for control traffic.
//
// The receiver compares the digest of the resulting state with the digest in
// the message and requests the whole document if they differ.
type deltaJSON struct {
	// Head is the newer head; its lists contain only what the base lacks.
	Head headJSON `json:"head"`
	// Ended contains the indexes, ascending, of the base's out-of-service
	// entries that the newer head no longer has.
	Ended []int `json:"ended,omitempty"`
	// Recent and Settled are the lengths of these lists in the newer head.
	Recent  int `json:"recent"`
	Settled int `json:"settled"`
}

// state is the document and the holds known to this process or to a peer,
// without parts.
type state struct {
	digest string
	head   Head
	holds  []Hold
}

// maxHistory is the number of earlier states that a store keeps. At one change
// in 2.4 s it covers about 40 s, several times the time in which a change
// reaches all processes. A peer further behind gets the whole document.
const maxHistory = 16

// newDelta returns the difference from base to h.
func newDelta(base, h Head) *deltaJSON {
	old, d := base.toJSON(), &deltaJSON{Head: h.toJSON()}
	d.Recent, d.Settled = len(d.Head.Recent), len(d.Head.Settled)
	for i, o := range old.Out {
		if !slices.Contains(d.Head.Out, o) {
			d.Ended = append(d.Ended, i)
		}
	}
	d.Head.Presets = addedPresets(old.Presets, d.Head.Presets)
	d.Head.Out = addedOutEntries(old.Out, d.Head.Out)
	d.Head.Recent = addedDots(old.Recent, d.Head.Recent)
	d.Head.Settled = addedDots(old.Settled, d.Head.Settled)
	return d
}

func addedPresets(old, all []presetJSON) []presetJSON {
	return slices.DeleteFunc(all, func(p presetJSON) bool { return slices.Contains(old, p) })
}

func addedOutEntries(old, all []outOfServiceJSON) []outOfServiceJSON {
	return slices.DeleteFunc(all, func(o outOfServiceJSON) bool { return slices.Contains(old, o) })
}

func addedDots(old, all []dotJSON) []dotJSON {
	known := make(map[dotJSON]bool, len(old))
	for _, d := range old {
		known[d] = true
	}
	return slices.DeleteFunc(all, func(d dotJSON) bool { return known[d] })
}

// apply returns the head that results from applying the delta to base. The
// error wraps ErrMalformed.
func (d *deltaJSON) apply(base Head) (Head, error) {
	j, old := d.Head, base.toJSON()
	j.Presets = mergePresets(old.Presets, j.Presets)
	for i := len(d.Ended) - 1; i >= 0; i-- {
		n := d.Ended[i]
		if n < 0 || n >= len(old.Out) {
			return Head{}, fmt.Errorf("%w: delta removes entry %d of %d", ErrMalformed, n, len(old.Out))
		}
		old.Out = slices.Delete(old.Out, n, n+1)
	}
	j.Out = append(old.Out, j.Out...)
	slices.SortFunc(j.Out, compareOutEntries)
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

func compareOutEntries(a, b outOfServiceJSON) int {
	return cmp.Or(
		cmp.Compare(a.Kind, b.Kind),
		cmp.Compare(a.Name, b.Name),
		cmp.Compare(a.Generation, b.Generation),
		cmp.Compare(a.ChangeID, b.ChangeID),
	)
}

// mergeDots returns the latest n changes of both lists.
func mergeDots(old, more []dotJSON, n int) []dotJSON {
	all := append(old, more...)
	slices.SortFunc(all, func(a, b dotJSON) int {
		return cmp.Or(cmp.Compare(a.Generation, b.Generation), cmp.Compare(a.ChangeID, b.ChangeID))
	})
	return all[max(0, len(all)-max(0, n)):]
}
