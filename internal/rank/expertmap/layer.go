package expertmap

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// ShareUnits is the number of units that the shares of an expert's replicas
// add up to. Whole units make a map's digest the same on every processor, and
// 1<<14 of them are two bytes on the wire, and fine enough to split the most
// popular expert to a ten-thousandth.
const ShareUnits = 1 << 14

// none marks a slot that holds no expert.
const none = -1

// ErrShape is returned for sizes that no layer can have.
var ErrShape = eris.New("expertmap: the experts don't fit the ranks and slots")

// ErrLayer is returned for slots that don't form a layer.
var ErrLayer = eris.New("expertmap: the slots don't form a layer")

// Shape holds the sizes of a layer.
type Shape struct {
	// Ranks is the number of ranks in the group.
	Ranks int
	// Slots is the number of experts whose weights fit one rank's memory.
	Slots int
	// Experts is the number of experts in the layer.
	Experts int
}

func (s Shape) check() error {
	if s.Ranks < 1 || s.Slots < 1 || s.Experts < 1 || s.Experts > s.Ranks*s.Slots {
		return eris.Wrapf(ErrShape, "%d ranks of %d slots, %d experts", s.Ranks, s.Slots, s.Experts)
	}
	return nil
}

// Slot is what one slot of a rank holds.
type Slot struct {
	// Expert is the number of the expert, or -1 when the slot is empty.
	Expert int
	// Share is the part of the expert's tokens in units of 1/ShareUnits.
	Share int
}

// Layer is the placement of one layer's experts. It does not change.
type Layer struct {
	shape Shape
	slots []Slot
}

// NewLayer returns the layer whose slots are given rank after rank. It returns
// ErrShape for impossible sizes, and ErrLayer unless each expert has a replica,
// no rank holds an expert twice and the shares of each expert add up to
// ShareUnits.
func NewLayer(shape Shape, slots []Slot) (*Layer, error) {
	if err := shape.check(); err != nil {
		return nil, err
	}
	if len(slots) != shape.Ranks*shape.Slots {
		return nil, eris.Wrapf(ErrLayer, "%d slots", len(slots))
	}
	l := &Layer{shape: shape, slots: append([]Slot(nil), slots...)}
	if err := l.check(); err != nil {
		return nil, err
	}
	return l, nil
}

// Contiguous returns the layer that gives each rank the next experts in order,
// with no second replica. It returns ErrShape for impossible sizes.
func Contiguous(shape Shape) (*Layer, error) {
	if err := shape.check(); err != nil {
		return nil, err
	}
	slots := emptySlots(shape)
	for e := range shape.Experts {
		r := e * shape.Ranks / shape.Experts
		i := e - (r*shape.Experts+shape.Ranks-1)/shape.Ranks
		slots[r*shape.Slots+i] = Slot{Expert: e, Share: ShareUnits}
	}
	return NewLayer(shape, slots)
}

func emptySlots(shape Shape) []Slot {
	slots := make([]Slot, shape.Ranks*shape.Slots)
	for i := range slots {
		slots[i].Expert = none
	}
	return slots
}

func (l *Layer) check() error {
	sums := make([]int, l.shape.Experts)
	for i, s := range l.slots {
		if s.Expert == none {
			continue
		}
		if s.Expert < none || s.Expert >= l.shape.Experts || s.Share < 0 {
			return eris.Wrapf(ErrLayer, "slot %d", i)
		}
		sums[s.Expert] += s.Share
	}
	for r := range l.shape.Ranks {
		if err := l.checkRank(r); err != nil {
			return err
		}
	}
	for e, sum := range sums {
		if sum != ShareUnits {
			return eris.Wrapf(ErrLayer, "the shares of expert %d add up to %d", e, sum)
		}
	}
	return nil
}

func (l *Layer) checkRank(r int) error {
	slots := l.Rank(r)
	for i, s := range slots {
		for _, other := range slots[:i] {
			if s.Expert != none && s.Expert == other.Expert {
				return eris.Wrapf(ErrLayer, "rank %d holds expert %d twice", r, s.Expert)
			}
		}
	}
	return nil
}

// Shape returns the layer's sizes.
func (l *Layer) Shape() Shape { return l.shape }

// Rank returns the slots of rank r. The caller must not change them.
func (l *Layer) Rank(r int) []Slot {
	return l.slots[r*l.shape.Slots : (r+1)*l.shape.Slots]
}

// Slots returns all slots, rank after rank. The caller must not change them.
func (l *Layer) Slots() []Slot { return l.slots }

// Holds reports whether rank r holds a replica of expert e.
func (l *Layer) Holds(r, e int) bool {
	for _, s := range l.Rank(r) {
		if s.Expert == e {
			return true
		}
	}
	return false
}

// Replicas returns the number of replicas of expert e.
func (l *Layer) Replicas(e int) int {
	n := 0
	for _, s := range l.slots {
		if s.Expert == e {
			n++
		}
	}
	return n
}

// SamePlacement reports whether both layers hold the same experts in the same
// slots, whatever their shares.
func (l *Layer) SamePlacement(o *Layer) bool {
	if l.shape != o.shape {
		return false
	}
	for i, s := range l.slots {
		if s.Expert != o.slots[i].Expert {
			return false
		}
	}
	return true
}

// Moves returns the number of replicas that l has and from has not: what ranks
// must load from the weight store to go from one layer to the other.
func (l *Layer) Moves(from *Layer) int {
	n := 0
	for i, s := range l.slots {
		if s.Expert != none && !from.Holds(i/l.shape.Slots, s.Expert) {
			n++
		}
	}
	return n
}

func (l *Layer) hash(h *xxhash.Digest) {
	b := binary.AppendUvarint(nil, uint64(l.shape.Ranks))
	b = binary.AppendUvarint(b, uint64(l.shape.Slots))
	b = binary.AppendUvarint(b, uint64(l.shape.Experts))
	for _, s := range l.slots {
		b = binary.AppendVarint(b, int64(s.Expert))
		b = binary.AppendUvarint(b, uint64(s.Share))
	}
	_, _ = h.Write(b)
}

// String describes the layer's sizes.
func (l *Layer) String() string {
	return fmt.Sprintf("%d ranks x %d slots, %d experts", l.shape.Ranks, l.shape.Slots, l.shape.Experts)
}
