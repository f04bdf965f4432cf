package document

import (
	"math/bits"
	"sync"

	"github.com/klauspost/compress/zstd"

	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

const (
	// maxPastVersions is the number of versions kept besides the newest, for receivers
	// that are some changes behind.
	maxPastVersions = 3
	// maxBytes bounds the memory for decoding a value. The store accepts values of up
	// to a megabyte.
	maxBytes = 8 << 20
	// minWindowBytes is the smallest window in which the compressor searches for
	// matches.
	minWindowBytes = 64 << 10
	// maxFastestBaseBytes is the size of the largest base in which the fastest
	// compression level still finds what it has in common with a value.
	maxFastestBaseBytes = 1 << 20
	// dictionaryID is the ID of the base as a zstd dictionary. Any number but 0 will do.
	dictionaryID = 1
)

// Version is a value at a revision of the store.
type Version struct {
	Revision int64
	Value    []byte
}

// Packed is a version encoded for transfer to another process.
type Packed struct {
	Revision int64
	// Base is the revision of the version that Bytes is the difference from, or 0 if
	// Bytes is the full value.
	Base  int64
	Bytes []byte
}

// Holder holds the newest versions of one value. It is safe for concurrent use.
type Holder struct {
	mu sync.Mutex // guards all below
	// versions are sorted by revision.
	versions []Version
	// packedByBase caches the encodings of the newest version by the revision of the
	// base.
	packedByBase map[int64]Packed
}

// Put adds a version if it is newer than all others, and reports whether it is.
func (h *Holder) Put(v Version) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if v.Revision <= h.newest().Revision {
		return false
	}
	h.versions = append(h.versions, v)
	if n := len(h.versions) - 1 - maxPastVersions; n > 0 {
		h.versions = append([]Version(nil), h.versions[n:]...)
	}
	h.packedByBase = map[int64]Packed{}
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

// find returns the version at a revision, or the zero Version if it isn't kept.
func (h *Holder) find(revision int64) Version {
	for _, v := range h.versions {
		if v.Revision == revision {
			return v
		}
	}
	return Version{}
}

// Pack returns the newest version encoded for a receiver that holds the version at the
// revision held, or no version if held is 0. Bytes is empty if the receiver's version
// isn't older. The result is cached for other receivers of the same version.
func (h *Holder) Pack(held int64) (Packed, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	v, base := h.newest(), h.find(held)
	if v.Revision <= held {
		return Packed{Revision: v.Revision, Base: v.Revision}, nil
	}
	if p, ok := h.packedByBase[base.Revision]; ok {
		return p, nil
	}
	b, err := pack(v.Value, base.Value)
	if err != nil {
		return Packed{}, err
	}
	p := Packed{Revision: v.Revision, Base: base.Revision, Bytes: b}
	h.packedByBase[base.Revision] = p
	return p, nil
}

// Unpack decodes a version that another process has packed. It fails with
// result.DocumentUnreadable if the base isn't held or the data is corrupt.
func (h *Holder) Unpack(p Packed) (Version, error) {
	h.mu.Lock()
	base := h.find(p.Base)
	h.mu.Unlock()
	if base.Revision != p.Base {
		return Version{}, result.Newf(result.DocumentUnreadable, "base revision %d is not held", p.Base)
	}
	value, err := unpack(p.Bytes, base.Value)
	if err != nil {
		return Version{}, result.Newf(result.DocumentUnreadable, "revision %d: %v", p.Revision, err)
	}
	return Version{Revision: p.Revision, Value: value}, nil
}

// pack compresses a value with base as its dictionary, if that isn't empty, and adds a
// checksum.
func pack(value, base []byte) ([]byte, error) {
	options := []zstd.EOption{
		zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithLowerEncoderMem(true),
		zstd.WithWindowSize(windowSize(len(value) + len(base))),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(dictionaryID, base))
	}
	if len(base) > maxFastestBaseBytes {
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
		options = append(options, zstd.WithDecoderDictRaw(dictionaryID, base))
	}
	r, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, err
	}
	defer r.Close()
	return r.DecodeAll(packed, nil)
}

// windowSize returns the smallest power of two that is at least n and minWindowBytes.
// For this, n counts as no more than maxBytes.
func windowSize(n int) int {
	return max(minWindowBytes, 1<<bits.Len(uint(min(n, maxBytes)-1)))
}
