package document

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
)

// document returns a value of n routes. The route at index changed differs from that of
// other values.
func document(n, changed int) []byte {
	rng := rand.New(rand.NewPCG(7, 11))
	var b bytes.Buffer
	fmt.Fprintf(&b, `{"version":%d,"routes":[`, changed)
	for i := range n {
		timeout := 8000
		if i == changed {
			timeout++
		}
		fmt.Fprintf(&b, `{"name":"r%x","host":"h%d","prefix":"/%x/","kind":"stream","timeout":%d,"target":400,"gap":120,"service":"s%d"},`,
			rng.Uint32(), rng.IntN(9), rng.Uint64(), timeout, rng.IntN(3))
	}
	b.WriteString("]}")
	return b.Bytes()
}

// transfer sends the newest version from one Versions to another and returns the
// number of bytes transferred.
func transfer(t *testing.T, from, to *Versions) int {
	t.Helper()
	e, err := from.Encode(to.Newest().Revision)
	if err != nil {
		t.Fatal(err)
	}
	v, err := to.Decode(e)
	if err != nil {
		t.Fatal(err)
	}
	if want := from.Newest(); v.Revision != want.Revision || !bytes.Equal(v.Value, want.Value) {
		t.Fatalf("revision %d of %d bytes arrives as revision %d of %d bytes", want.Revision, len(want.Value), v.Revision, len(v.Value))
	}
	to.Put(v)
	return len(e.Bytes)
}

// One route of a configuration changes repeatedly. Guards against changes whose transfer
// costs as much as the full value.
func TestDifferenceIsSmall(t *testing.T) {
	for _, routes := range []int{240, 1500, 15000} {
		from, to := &Versions{}, &Versions{}
		from.Put(Version{Revision: 5, Value: document(routes, 1)})
		fullBytes := transfer(t, from, to)
		if wantMax := len(from.Newest().Value) / 6; fullBytes > wantMax {
			t.Errorf("%d routes: the first copy takes %d bytes, want at most %d", routes, fullBytes, wantMax)
		}
		for r := 2; r < 8; r++ {
			from.Put(Version{Revision: int64(10 * r), Value: document(routes, r*routes/10)})
			if n := transfer(t, from, to); n > fullBytes/10+1000 {
				t.Errorf("%d routes: a change takes %d bytes of %d", routes, n, fullBytes)
			}
		}
	}
}

// The sender doesn't have the version that the receiver holds: it is no longer kept, or
// the sender never had it. Guards against a difference that the receiver can't decode.
func TestReceiverFarBehindGetsFullVersion(t *testing.T) {
	from, to := &Versions{}, &Versions{}
	from.Put(Version{Revision: 1, Value: document(50, 1)})
	transfer(t, from, to)
	for r := 2; r < 20; r++ {
		from.Put(Version{Revision: int64(r), Value: document(50, r)})
	}
	if e, err := from.Encode(1); err != nil || e.Base != 0 {
		t.Fatalf("encoded as the difference from %d (%v), want the full value", e.Base, err)
	}
	transfer(t, from, to)
	if len(from.versions) != 1+maxPastVersions {
		t.Errorf("%d versions are kept", len(from.versions))
	}
}

// Guards against decoding a difference with another value than its base.
func TestDecodeNeedsTheBase(t *testing.T) {
	from, to := &Versions{}, &Versions{}
	from.Put(Version{Revision: 1, Value: document(200, 1)})
	from.Put(Version{Revision: 2, Value: document(200, 2)})
	e, err := from.Encode(1)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := to.Decode(e); err == nil {
		t.Error("decoded without its base")
	}
	to.Put(Version{Revision: 1, Value: document(200, 100)})
	if v, err := to.Decode(e); err == nil && bytes.Equal(v.Value, from.Newest().Value) {
		t.Error("decoded to the right value from the wrong base")
	} else if err == nil {
		t.Error("decoded to a wrong value without an error")
	}
}

// Guards against a version that replaces a newer one.
func TestPutKeepsTheNewestVersion(t *testing.T) {
	vs := &Versions{}
	if vs.Newest().Revision != 0 {
		t.Error("empty Versions has a version")
	}
	if e, err := vs.Encode(0); err != nil || e.Revision != 0 || len(e.Bytes) > 0 {
		t.Errorf("empty Versions encodes %+v (%v)", e, err)
	}
	if !vs.Put(Version{Revision: 4}) || vs.Put(Version{Revision: 3}) || vs.Put(Version{Revision: 4}) {
		t.Error("a version that isn't newer is accepted")
	}
	if e, err := vs.Encode(4); err != nil || e.Revision != 4 || len(e.Bytes) > 0 {
		t.Errorf("a receiver that holds the newest version gets %+v (%v)", e, err)
	}
}

func BenchmarkEncode(b *testing.B) {
	for _, routes := range []int{240, 1500, 15000} {
		old, value := document(routes, 1), document(routes, routes/2)
		for _, base := range [][]byte{nil, old} {
			b.Run(fmt.Sprintf("routes=%d/difference=%v", routes, base != nil), func(b *testing.B) {
				b.ReportAllocs()
				n := 0
				for range b.N {
					p, err := compress(value, base)
					if err != nil {
						b.Fatal(err)
					}
					n = len(p)
				}
				b.ReportMetric(float64(n), "bytes")
			})
		}
	}
}

// Bytes are corrupted in transfer. Guards against accepting a configuration that nobody
// wrote.
func TestUnpackRejectsCorruptedData(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 5))
	from := &Versions{}
	from.Put(Version{Revision: 1, Value: document(240, 1)})
	from.Put(Version{Revision: 2, Value: document(240, 2)})
	for _, held := range []int64{0, 1} {
		e, err := from.Encode(held)
		if err != nil {
			t.Fatal(err)
		}
		for range 300 {
			corrupted := e
			corrupted.Bytes = bytes.Clone(e.Bytes)
			corrupted.Bytes[rng.IntN(len(e.Bytes))] ^= byte(1 + rng.IntN(255))
			if v, err := from.Decode(corrupted); err == nil && !bytes.Equal(v.Value, from.Newest().Value) {
				t.Fatalf("difference from %d: a corrupted value of %d bytes is accepted", held, len(v.Value))
			}
		}
	}
}
