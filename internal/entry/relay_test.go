package entry

import (
	"math/rand/v2"
	"testing"

	"github.com/hyssoprelay/hyssoprelay/internal/caller"
	"github.com/hyssoprelay/hyssoprelay/internal/peer/peerpb"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

func piece(n uint64, s string) *peerpb.Piece { return &peerpb.Piece{Number: n, Data: []byte(s)} }

func headed(r *relay) *relay {
	r.w = &caller.Reply{}
	r.head = &peerpb.Head{Status: 200}
	return r
}

func assertIncomplete(t *testing.T, err error) {
	t.Helper()
	if result.CodeOf(err) != result.AnswerIncomplete {
		t.Errorf("got %v", err)
	}
}

// Connections break and come back, and an agent sends a piece twice, leaves one
// out, or an end that counts others than came. The caller would get a quote
// with a line missing or doubled; instead the answer counts as broken.
func TestRelayTakesOnlyTheNextPiece(t *testing.T) {
	cases := []struct {
		name string
		next uint64
	}{{"a piece left out", 2}, {"a piece twice", 0}, {"a far piece", 1 << 40}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := headed(&relay{})
			if err := r.takePiece(piece(0, "a")); err != nil {
				t.Fatal(err)
			}
			assertIncomplete(t, r.takePiece(piece(c.next, "b")))
			if string(r.body) != "a" {
				t.Errorf("body %q", r.body)
			}
		})
	}
	t.Run("before the head", func(t *testing.T) {
		r := &relay{w: &caller.Reply{}}
		assertIncomplete(t, r.takePiece(piece(0, "a")))
	})
}

// An answer's end must agree with what came: a count too low or too high, or
// other bytes, mean that a part is missing.
func TestRelayEndMustAgree(t *testing.T) {
	cases := []struct {
		name          string
		pieces, bytes uint64
		skipped       bool
	}{
		{"more pieces were sent", 3, 4, false},
		{"fewer pieces were sent", 1, 4, false},
		{"other bytes", 2, 5, false},
		{"a resumed answer with pieces missing", 3, 9, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := headed(&relay{skipped: c.skipped})
			for i := range uint64(2) {
				if err := r.takePiece(piece(i, "ab")); err != nil {
					t.Fatal(err)
				}
			}
			err := r.finish(&peerpb.End{Pieces: c.pieces, Bytes: c.bytes})
			if err == nil || err.Code() != result.AnswerIncomplete || r.begun() {
				t.Errorf("got %v, begun %t", err, r.begun())
			}
		})
	}
	t.Run("no head", func(t *testing.T) {
		r := &relay{w: &caller.Reply{}}
		if err := r.finish(&peerpb.End{}); err == nil {
			t.Error("an answer without a head counts as whole")
		}
	})
}

// Pieces come in any order, some twice, some never. The naive version takes
// them all and sorts; the relay must have taken exactly the unbroken run from 0
// and refused the first that does not fit.
func TestRelayTakesWhatTheNaiveVersionWould(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 5))
	for range 2000 {
		r := headed(&relay{})
		want := ""
		for n, i := uint64(0), 0; i < 12; i++ {
			p := n
			if rng.IntN(6) == 0 {
				p = uint64(rng.IntN(12))
			}
			s := string(rune('a' + rng.IntN(26)))
			err := r.takePiece(piece(p, s))
			if (err == nil) != (p == n) {
				t.Fatalf("piece %d in place of %d: %v", p, n, err)
			}
			if err != nil {
				break
			}
			want += s
			n++
		}
		if string(r.body) != want || r.bytes != uint64(len(want)) {
			t.Fatalf("%q, want %q", r.body, want)
		}
	}
}

// A faulty service answers without an end. Entries are small VMs: without the
// bound one such answer would take the memory of all.
func TestRelayBoundsAWholeAnswer(t *testing.T) {
	r := headed(&relay{})
	var err error
	for i := uint64(0); i < 20 && err == nil; i++ {
		err = r.takePiece(&peerpb.Piece{Number: i, Data: make([]byte, 1<<20)})
	}
	if result.CodeOf(err) != result.EndpointFailed || len(r.body) > maxWholeBytes {
		t.Errorf("%v, held %d bytes", err, len(r.body))
	}
}
