package expertmap

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// ShareUnits is the sum of the shares of an expert's replicas. Integer shares
// make the digest of a map the same on every processor. A share below
// ShareUnits takes at most two bytes on the wire, and the units are fine enough
// to split the most popular expert to within a ten-thousandth of its load.
const ShareUnits = 1 << 14

// none is the index that stands for no expert, no slot or no rank. An empty
// slot holds the expert none.
const none = -1

// ErrInvalidShape is returned for impossible layer dimensions and for numbers of
// layers or ranks that do not match.
var ErrInvalidShape = eris.New("expertmap: the experts don't fit the ranks and slots")

// ErrInvalidLayer is returned for slots that do not make a valid layer; see
// NewLayer.
var ErrInvalidLayer = eris.New("expertmap: the slots don't form a layer")

// Shape holds the dimensions of a layer.
type Shape struct {
	// Ranks is the number of ranks in the group.
	Ranks int
	// Slots is the number of experts whose weights fit into the memory of one
	// rank.
	Slots int
	// Experts is the number of experts in the layer.
	Experts int
}

func (s Shape) check() error {
	if s.Ranks < 1 || s.Slots < 1 || s.Experts < 1 || s.Experts > s.Ranks*s.Slots {
		return eris.Wrapf(ErrInvalidShape, "%d ranks of %d slots, %d experts", s.Ranks, s.Slots, s.Experts)
	}
	return nil
}

// Slot is the content of one slot of a rank.
type Slot struct {
	// Expert is the index of the expert, or -1 if the slot is empty.
	Expert int
	// Share is the fraction of the expert's tokens that this replica processes,
	// in units of 1/ShareUnits.
	Share int
}

// Layer is the immutable placement of the experts of one model layer.
type Layer struct {
	shape Shape
	slots []Slot
}

// NewLayer returns the layer with the given slots, in rank-major order. It
// copies slots. It returns ErrInvalidShape if the dimensions are impossible. It
// returns ErrInvalidLayer if the number of slots is wrong, an expert index is
// out of range, a share is negative, a rank holds two replicas of an expert, or
// the shares of an expert do not add up to ShareUnits, which includes an expert
// without a replica.
func NewLayer(shape Shape, slots []Slot) (*Layer, error) {
	if err := shape.check(); err != nil {
		return nil, err
	}
	if len(slots) != shape.Ranks*shape.Slots {
		return nil, eris.Wrapf(ErrInvalidLayer, "%d slots", len(slots))
	}
	l := &Layer{shape: shape, slots: append([]Slot(nil), slots...)}
	if err := l.check(); err != nil {
		return nil, err
	}
	return l, nil
}

// NewContiguousLayer returns the layer that assigns contiguous ranges of
// experts to the ranks, with one replica for each expert. It returns
// ErrInvalidShape if the dimensions are impossible.
func NewContiguousLayer(shape Shape) (*Layer, error) {
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
			return eris.Wrapf(ErrInvalidLayer, "slot %d", i)
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
			return eris.Wrapf(ErrInvalidLayer, "the shares of expert %d add up to %d", e, sum)
		}
	}
	return nil
}

func (l *Layer) checkRank(r int) error {
	slots := l.Rank(r)
	for i, s := range slots {
		for _, other := range slots[:i] {
			if s.Expert != none && s.Expert == other.Expert {
				return eris.Wrapf(ErrInvalidLayer, "rank %d holds expert %d twice", r, s.Expert)
			}
		}
	}
	return nil
}

// Shape returns the dimensions of the layer.
func (l *Layer) Shape() Shape { return l.shape }

// Rank returns the slots of rank r. The caller must not change them.
func (l *Layer) Rank(r int) []Slot {
	return l.slots[r*l.shape.Slots : (r+1)*l.shape.Slots]
}

// Slots returns all slots in rank-major order. The caller must not change them.
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

// SamePlacement reports whether both layers have the same shape and hold the
// same experts in the same slots, regardless of shares.
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

// Moves returns the number of replicas in l whose rank does not hold the expert
// in from. These are the replicas that ranks have to load from the weight store
// to change from one layer to the other.
func (l *Layer) Moves(from *Layer) int {
	n := 0
	for i, s := range l.slots {
		if s.Expert != none && !from.Holds(i/l.shape.Slots, s.Expert) {
			n++
		}
	}
	return n
}

// hash writes the shape and the slots to h.
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

// String returns the dimensions of the layer.
func (l *Layer) String() string {
	return fmt.Sprintf("%d ranks x %d slots, %d experts", l.shape.Ranks, l.shape.Slots, l.shape.Experts)
}
