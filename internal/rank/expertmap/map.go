package expertmap

import (
	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// ErrNoLayers is returned for a map without layers.
var ErrNoLayers = eris.New("expertmap: a map needs at least one layer")

// Map is the expert map of a whole model: a layer for each of its layers. It
// does not change; a change makes a Map with a higher version.
type Map struct {
	version uint64
	layers  []*Layer
	digest  uint64
}

// NewMap returns the map with the given version and layers. It returns
// ErrNoLayers without any, and ErrShape when layers differ in their ranks.
func NewMap(version uint64, layers []*Layer) (*Map, error) {
	if len(layers) == 0 {
		return nil, ErrNoLayers
	}
	h := xxhash.New()
	for _, l := range layers {
		if l.shape.Ranks != layers[0].shape.Ranks {
			return nil, eris.Wrapf(ErrShape, "layers of %d and %d ranks", l.shape.Ranks, layers[0].shape.Ranks)
		}
		l.hash(h)
	}
	return &Map{version: version, layers: append([]*Layer(nil), layers...), digest: h.Sum64()}, nil
}

// Version returns the number that names the map within its group.
func (m *Map) Version() uint64 { return m.version }

// Digest returns a hash of the layers. Two maps with one version and different
// digests come from two leaders and must never be mixed.
func (m *Map) Digest() uint64 { return m.digest }

// Layers returns the number of layers.
func (m *Map) Layers() int { return len(m.layers) }

// Layer returns layer i.
func (m *Map) Layer(i int) *Layer { return m.layers[i] }

// Ranks returns the number of ranks in the group.
func (m *Map) Ranks() int { return m.layers[0].shape.Ranks }

// WithVersion returns the same layers under another version.
func (m *Map) WithVersion(version uint64) *Map {
	c := *m
	c.version = version
	return &c
}
