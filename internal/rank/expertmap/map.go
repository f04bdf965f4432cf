package expertmap

import (
	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// ErrNoLayers is returned by NewMap if there are no layers.
var ErrNoLayers = eris.New("expertmap: a map needs at least one layer")

// Map is the immutable expert map of a model, with one Layer for each layer of
// the model. An updated map is a new Map with a higher version.
type Map struct {
	version uint64
	layers  []*Layer
	digest  uint64
}

// NewMap returns a map with the given version and a copy of the slice layers.
// It returns ErrNoLayers if layers is empty and ErrInvalidShape if the layers
// differ in their number of ranks.
func NewMap(version uint64, layers []*Layer) (*Map, error) {
	if len(layers) == 0 {
		return nil, ErrNoLayers
	}
	h := xxhash.New()
	for _, l := range layers {
		if l.shape.Ranks != layers[0].shape.Ranks {
			return nil, eris.Wrapf(ErrInvalidShape, "layers of %d and %d ranks", l.shape.Ranks, layers[0].shape.Ranks)
		}
		l.hash(h)
	}
	return &Map{version: version, layers: append([]*Layer(nil), layers...), digest: h.Sum64()}, nil
}

// Version returns the version of the map, which identifies it within its group.
func (m *Map) Version() uint64 { return m.version }

// Digest returns a hash of the layers. The version is not hashed. Two maps with
// the same version and different digests were made by two different leaders and
// must never be used together.
func (m *Map) Digest() uint64 { return m.digest }

// Layers returns the number of layers.
func (m *Map) Layers() int { return len(m.layers) }

// Layer returns layer i. It panics if i is out of range.
func (m *Map) Layer(i int) *Layer { return m.layers[i] }

// Ranks returns the number of ranks in the group.
func (m *Map) Ranks() int { return m.layers[0].shape.Ranks }

// WithVersion returns a map with the same layers and the given version.
func (m *Map) WithVersion(version uint64) *Map {
	c := *m
	c.version = version
	return &c
}
