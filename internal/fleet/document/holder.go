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
	// maxBytes bounds the memory for decoding a value, and the compressor's window. The
	// store accepts values of up to a megabyte.
	maxBytes = 8 << 20
	// minWindowBytes is the smallest window, in bytes, in which the compressor
	// searches for matches.
	minWindowBytes = 64 << 10
	// maxFastestBaseBytes is the size of the largest base for which the fastest
	// compression level is used. In a larger base that level no longer finds what the
	// base has in common with a value.
	maxFastestBaseBytes = 1 << 20
	// dictionaryID is the ID of the base as a zstd dictionary. It may be any number but
	// 0.
	dictionaryID = 1
)

// Version is a value at a revision of the store.
type Version struct {
	Revision int64
	Value    []byte
}

// Encoded is a version encoded for transfer to another process.
type Encoded struct {
	Revision int64
	// Base is the revision of the version that Bytes is the difference from, or 0 if
	// Bytes is the full value.
	Base  int64
	Bytes []byte
}

// Versions holds the newest versions of one value. It is safe for concurrent use.
type Versions struct {
	mu sync.Mutex // guards all below
	// versions are sorted by revision.
	versions []Version
	// encodedByBase caches the encodings of the newest version by the revision of the
	// base, which is 0 for the full value.
	encodedByBase map[int64]Encoded
}

// Put adds a version if it is newer than all others, and reports whether it is.
func (vs *Versions) Put(v Version) bool {
	vs.mu.Lock()
	defer vs.mu.Unlock()
	if v.Revision <= vs.newest().Revision {
		return false
	}
	vs.versions = append(vs.versions, v)
	if n := len(vs.versions) - 1 - maxPastVersions; n > 0 {
		vs.versions = append([]Version(nil), vs.versions[n:]...)
	}
	vs.encodedByBase = map[int64]Encoded{}
	return true
}

// Newest returns the newest version. Its revision is 0 if there is none.
func (vs *Versions) Newest() Version {
	vs.mu.Lock()
	defer vs.mu.Unlock()
	return vs.newest()
}

func (vs *Versions) newest() Version {
	if len(vs.versions) == 0 {
		return Version{}
	}
	return vs.versions[len(vs.versions)-1]
}

// find returns the version at a revision, or the zero Version if it isn't kept.
func (vs *Versions) find(revision int64) Version {
	for _, v := range vs.versions {
		if v.Revision == revision {
			return v
		}
	}
	return Version{}
}

// Encode returns the newest version encoded for a receiver that holds the version at
// the revision held, or no version if held is 0. Bytes is empty if the receiver's version
// isn't older. The result is cached for other receivers of the same version.
func (vs *Versions) Encode(held int64) (Encoded, error) {
	vs.mu.Lock()
	defer vs.mu.Unlock()
	v, base := vs.newest(), vs.find(held)
	if v.Revision <= held {
		return Encoded{Revision: v.Revision, Base: v.Revision}, nil
	}
	if e, ok := vs.encodedByBase[base.Revision]; ok {
		return e, nil
	}
	b, err := compress(v.Value, base.Value)
	if err != nil {
		return Encoded{}, err
	}
	e := Encoded{Revision: v.Revision, Base: base.Revision, Bytes: b}
	vs.encodedByBase[base.Revision] = e
	return e, nil
}

// Decode decodes a version that another process has encoded. It fails with
// result.DocumentUnreadable if the base isn't held or the data is corrupt.
func (vs *Versions) Decode(e Encoded) (Version, error) {
	vs.mu.Lock()
	base := vs.find(e.Base)
	vs.mu.Unlock()
	if base.Revision != e.Base {
		return Version{}, result.Newf(result.DocumentUnreadable, "revision %d, of which it is the difference, is not held", e.Base)
	}
	value, err := decompress(e.Bytes, base.Value)
	if err != nil {
		return Version{}, result.Newf(result.DocumentUnreadable, "revision %d: %v", e.Revision, err)
	}
	return Version{Revision: e.Revision, Value: value}, nil
}

// compress compresses a value, with base as the dictionary unless base is empty, and
// adds a checksum.
func compress(value, base []byte) ([]byte, error) {
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

// decompress is the inverse of compress.
func decompress(compressed, base []byte) ([]byte, error) {
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
	return r.DecodeAll(compressed, nil)
}

// windowSize returns the smallest power of two that is at least n, but no less than
// minWindowBytes and no more than maxBytes.
func windowSize(n int) int {
	return max(minWindowBytes, 1<<bits.Len(uint(min(n, maxBytes)-1)))
}
