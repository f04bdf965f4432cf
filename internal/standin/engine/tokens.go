package engine

import (
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"
)

var words = [...]string{
	"quote", "mop", "litre", "ring", "judge", "breed", "paper", "dilute",
	"clinic", "school", "hotel", "proof", "roster", "entry", "pallet", "press",
}

// Token returns the token number n of the answer to the request id.
func Token(id string, n int) string {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(n))
	h := xxhash.New()
	_, _ = h.WriteString(id) // A hash never fails to take bytes.
	_, _ = h.Write(b[:])
	return words[h.Sum64()%uint64(len(words))] + " "
}

// Text returns the first n tokens of the answer to the request id.
func Text(id string, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(Token(id, i))
	}
	return b.String()
}
