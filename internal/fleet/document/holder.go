package document

import (
	"math/bits"
	"sync"

	"github.com/klauspost/compress/zstd"

	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

const (
	// pastKept is how many versions are kept besides the newest, for receivers
	// that are some changes behind.
	pastKept = 3
	// maxBytes bounds a value; the store takes a megabyte.
	maxBytes = 8 << 20
	// leastWindow is the least distance in bytes over which a difference is looked
	// for.
	leastWindow = 64 << 10
	// fastestBase is the largest base in bytes in which the fastest level still finds
	// what a value has in common with it.
	fastestBase = 1 << 20
	// baseID names the base in a packed value; any number does but 0.
	baseID = 1
)

// Version is the value of a key at a revision of the store.
type Version struct {
	Revision int64
	Value    []byte
}

// Packed is a version as it goes to another process.
type Packed struct {
	Revision int64
	// Base is the revision of the version that it is the difference from, or 0.
	Base  int64
	Bytes []byte
}

// Holder holds the newest versions of one value. It is safe for concurrent use.
type Holder struct {
	mu sync.Mutex // guards all below
	// versions stand in the order of their revisions.
	versions []Version
	// packed holds the newest version by its base.
	packed map[int64]Packed
}

// Put takes in a version and reports whether it is the newest.
func (h *Holder) Put(v Version) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if v.Revision <= h.newest().Revision {
		return false
	}
	h.versions = append(h.versions, v)
	if n := len(h.versions) - 1 - pastKept; n > 0 {
		h.versions = append([]Version(nil), h.versions[n:]...)
	}
	h.packed = map[int64]Packed{}
	return true
}

// Newest returns the newest version. Its revision is 0 if there is none.
func (h *Holder) Newest() Version {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.newest()
}

func (h *Holder) newest() Version {
	if len(h.versions) == 0 {
		return Version{}
	}
	return h.versions[len(h.versions)-1]
}

// find returns the version of a revision, or one of revision 0.
func (h *Holder) find(revision int64) Version {
	for _, v := range h.versions {
		if v.Revision == revision {
			return v
		}
	}
	return Version{}
}

// Pack returns the newest version for a receiver that holds the one of a revision,
// or none if that is 0. It has no bytes if the receiver's is no older. What was packed
// once is packed for all.
func (h *Holder) Pack(held int64) (Packed, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	v, base := h.newest(), h.find(held)
	if v.Revision <= held {
		return Packed{Revision: v.Revision, Base: v.Revision}, nil
	}
	if p, ok := h.packed[base.Revision]; ok {
		return p, nil
	}
	b, err := pack(v.Value, base.Value)
	if err != nil {
		return Packed{}, err
	}
	p := Packed{Revision: v.Revision, Base: base.Revision, Bytes: b}
	h.packed[base.Revision] = p
	return p, nil
}

// Unpack returns the version that another process has packed. It fails with
// DocumentUnreadable if its base isn't held or it was changed on its way.
func (h *Holder) Unpack(p Packed) (Version, error) {
	h.mu.Lock()
	base := h.find(p.Base)
	h.mu.Unlock()
	if base.Revision != p.Base {
		return Version{}, result.Newf(result.DocumentUnreadable, "revision %d, of which it is the difference, is not held", p.Base)
	}
	value, err := unpack(p.Bytes, base.Value)
	if err != nil {
		return Version{}, result.Newf(result.DocumentUnreadable, "revision %d: %v", p.Revision, err)
	}
	return Version{Revision: p.Revision, Value: value}, nil
}

// pack returns a value as its difference from a base, with a checksum.
func pack(value, base []byte) ([]byte, error) {
	options := []zstd.EOption{
		zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithLowerEncoderMem(true),
		zstd.WithWindowSize(window(len(value) + len(base))),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(baseID, base))
	}
	if len(base) > fastestBase {
		options = append(options, zstd.WithEncoderLevel(zstd.SpeedDefault))
	}
	w, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, err
	}
	return w.EncodeAll(value, nil), w.Close()
}

// unpack is the inverse of pack.
func unpack(packed, base []byte) ([]byte, error) {
	options := []zstd.DOption{
		zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxBytes),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithDecoderDictRaw(baseID, base))
	}
	r, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, err
	}
	defer r.Close()
	return r.DecodeAll(packed, nil)
}

// window returns the least power of two that is no less than n and the least window.
func window(n int) int {
	return max(leastWindow, 1<<bits.Len(uint(min(n, maxBytes)-1)))
}
