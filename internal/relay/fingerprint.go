package relay

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"io"

	"github.com/hyssoprelay/hyssoprelay/internal/caller"
)

// fingerprintBytes is the length of the part of a SHA-256 sum that identifies a request. Callers
// choose the contents; at this length they find no two with the same sum.
const fingerprintBytes = 16

// Fingerprint returns what identifies the work that a request of an account asks for, of which work is
// what RequestInfo.Work holds: the same in all attempts of its caller, and different for different
// accounts. It is a hexadecimal number.
func Fingerprint(account string, raw *caller.RawRequest, work string) string {
	h := sha256.New()
	for _, field := range []string{account, raw.Host, raw.Method, raw.Target, work} {
		writeField(h, field)
	}
	_, _ = h.Write(raw.Body)
	return hex.EncodeToString(h.Sum(nil)[:fingerprintBytes])
}

// writeField adds a field with its length, so that its end can't be mistaken.
func writeField(h hash.Hash, field string) {
	_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(field))))
	_, _ = io.WriteString(h, field)
}
