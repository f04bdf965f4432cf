package config

import (
	"errors"
	"fmt"
	"sort"
	"time"
)

// maxHolds bounds the holds of a process.
const maxHolds = 256

// Hold is an order to take a target out of service that could not be written
// into the document because the service did not answer. It is enforced in each
// process that knows it, spread by peers, and written into the document by the
// first process that reaches the service.
//
// A hold may be released before that. The release wins over the hold wherever
// the two meet, and it ends this hold's order alone: an order of another
// operator for the same target, given meanwhile elsewhere, stays.
//
// The document lists the holds that it has taken in (and, apart, the releases),
// so a process that was cut off longer drops its hold instead of writing it
// again after others have brought the target back in.
type Hold struct {
	target   Target
	changeID string
	by       string
	at       time.Time
	release  *release
}

// release is the order that ended a hold.
type release struct {
	changeID string
	by       string
}

// Target returns what is held out of service.
func (d Hold) Target() Target { return d.target }

// ChangeID returns the id of the order.
func (d Hold) ChangeID() string { return d.changeID }

// By returns the operator who gave the order.
func (d Hold) By() string { return d.by }

// At returns when the order was met.
func (d Hold) At() time.Time { return d.at }

// Released reports whether the hold has been released, so that only the
// document still has to learn of it.
func (d Hold) Released() bool { return d.release != nil }

// settledBy reports whether the document holds all that the hold has to tell.
func (d Hold) settledBy(h Head) bool {
	if d.release != nil {
		return h.Accepted(d.release.changeID)
	}
	return h.Accepted(d.changeID)
}

// joinHold returns the later state of one hold. Two releases of one hold end
// the same order; the smaller id is kept so that the join is deterministic.
func joinHold(a, b Hold) Hold {
	switch {
	case b.release == nil:
		return a
	case a.release == nil, b.release.changeID < a.release.changeID:
		return b
	default:
		return a
	}
}

// joinHolds returns the holds of both that the head has not taken in, by id.
func joinHolds(a, b []Hold, h Head) []Hold {
	m := make(map[string]Hold, len(a)+len(b))
	for _, d := range a {
		m[d.changeID] = d
	}
	for _, d := range b {
		if old, ok := m[d.changeID]; ok {
			d = joinHold(old, d)
		}
		m[d.changeID] = d
	}
	var ds []Hold
	for _, d := range m {
		if !d.settledBy(h) {
			ds = append(ds, d)
		}
	}
	sort.Slice(ds, func(i, j int) bool { return ds[i].changeID < ds[j].changeID })
	return ds
}

type releaseJSON struct {
	ChangeID string `json:"changeId"`
	By       string `json:"by"`
}

type holdJSON struct {
	Kind     string       `json:"kind"`
	Name     string       `json:"name"`
	ChangeID string       `json:"changeId"`
	By       string       `json:"by"`
	AtMicros int64        `json:"atMicros"`
	Release  *releaseJSON `json:"release,omitempty"`
}

func holdsToJSON(ds []Hold) []holdJSON {
	js := make([]holdJSON, 0, len(ds))
	for _, d := range ds {
		j := holdJSON{
			Kind:     d.target.kind.String(),
			Name:     d.target.name,
			ChangeID: d.changeID,
			By:       d.by,
			AtMicros: d.at.UnixMicro(),
		}
		if d.release != nil {
			j.Release = &releaseJSON{ChangeID: d.release.changeID, By: d.release.by}
		}
		js = append(js, j)
	}
	return js
}

func holdsFromJSON(js []holdJSON) ([]Hold, error) {
	if len(js) > maxHolds {
		return nil, fmt.Errorf("%d holds", len(js))
	}
	var ds []Hold
	for _, j := range js {
		d, err := holdFromJSON(j)
		if err != nil {
			return nil, err
		}
		ds = append(ds, d)
	}
	return ds, nil
}

func holdFromJSON(j holdJSON) (Hold, error) {
	t, err := targetFrom(j.Kind, j.Name)
	if err != nil {
		return Hold{}, err
	}
	d := Hold{target: t, changeID: j.ChangeID, by: j.By, at: time.UnixMicro(j.AtMicros).UTC()}
	ok := validName(t.name) && validName(d.changeID) && validName(d.by)
	if j.Release != nil {
		d.release = &release{changeID: j.Release.ChangeID, by: j.Release.By}
		ok = ok && validName(d.release.changeID) && validName(d.release.by)
	}
	if !ok {
		return Hold{}, errors.New("a hold has a bad name")
	}
	return d, nil
}
