package config

import (
	"errors"
	"fmt"
	"sort"
	"time"
)

// maxHolds limits the number of holds in a process.
const maxHolds = 256

// Hold is an order to take a target out of service that could not be written
// into the document because the service did not answer. Each process that knows
// the hold enforces it and exchanges it with its peers. The first process that
// reaches the service writes it into the document.
//
// A hold may be released before that. The release prevails over the hold in
// every join. It removes only the entry of this hold: an order of another
// operator for the same target, submitted elsewhere in the meantime, remains.
//
// The document lists the holds and releases that it has recorded, so a process
// that was disconnected for a long time drops its hold instead of writing it
// again after others have returned the target to service.
type Hold struct {
	target   Target
	changeID string
	by       string
	at       time.Time
	release  *release
}

// release is the order that released a hold.
type release struct {
	changeID string
	by       string
}

// Target returns the target that is kept out of service.
func (h Hold) Target() Target { return h.target }

// ChangeID returns the id of the order.
func (h Hold) ChangeID() string { return h.changeID }

// By returns the name of the operator who submitted the order.
func (h Hold) By() string { return h.by }

// At returns when the order was received, by the clock of the receiving
// process.
func (h Hold) At() time.Time { return h.at }

// Released reports whether the hold has been released. A released hold is kept
// only until the document has recorded the release.
func (h Hold) Released() bool { return h.release != nil }

// recordedIn reports whether the head has recorded the hold or, for a released
// hold, its release.
func (h Hold) recordedIn(head Head) bool {
	if h.release != nil {
		return head.ListsChange(h.release.changeID)
	}
	return head.ListsChange(h.changeID)
}

// joinHold returns the later state of one hold. If both are released, the
// release with the smaller change id is kept, so that the join is
// deterministic; both releases end the same order.
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

// joinHolds returns the union of both lists without the holds recorded in the
// head, sorted by change id.
func joinHolds(a, b []Hold, head Head) []Hold {
	m := make(map[string]Hold, len(a)+len(b))
	for _, hold := range a {
		m[hold.changeID] = hold
	}
	for _, hold := range b {
		if old, ok := m[hold.changeID]; ok {
			hold = joinHold(old, hold)
		}
		m[hold.changeID] = hold
	}
	var holds []Hold
	for _, hold := range m {
		if !hold.recordedIn(head) {
			holds = append(holds, hold)
		}
	}
	sort.Slice(holds, func(i, j int) bool { return holds[i].changeID < holds[j].changeID })
	return holds
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

func holdsToJSON(holds []Hold) []holdJSON {
	js := make([]holdJSON, 0, len(holds))
	for _, hold := range holds {
		j := holdJSON{
			Kind:     hold.target.kind.String(),
			Name:     hold.target.name,
			ChangeID: hold.changeID,
			By:       hold.by,
			AtMicros: hold.at.UnixMicro(),
		}
		if hold.release != nil {
			j.Release = &releaseJSON{ChangeID: hold.release.changeID, By: hold.release.by}
		}
		js = append(js, j)
	}
	return js
}

func holdsFromJSON(js []holdJSON) ([]Hold, error) {
	if len(js) > maxHolds {
		return nil, fmt.Errorf("%d holds", len(js))
	}
	var holds []Hold
	for _, j := range js {
		hold, err := holdFromJSON(j)
		if err != nil {
			return nil, err
		}
		holds = append(holds, hold)
	}
	return holds, nil
}

func holdFromJSON(j holdJSON) (Hold, error) {
	t, err := parseTarget(j.Kind, j.Name)
	if err != nil {
		return Hold{}, err
	}
	hold := Hold{target: t, changeID: j.ChangeID, by: j.By, at: time.UnixMicro(j.AtMicros).UTC()}
	ok := validName(t.name) && validName(hold.changeID) && validName(hold.by)
	if j.Release != nil {
		hold.release = &release{changeID: j.Release.ChangeID, by: j.Release.By}
		ok = ok && validName(hold.release.changeID) && validName(hold.release.by)
	}
	if !ok {
		return Hold{}, errors.New("a hold has a bad name")
	}
	return hold, nil
}
