package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"io"
)

// fingerprintBytes is the length of the part of a SHA-256 sum that identifies a request. Callers
// choose the contents; at this length they find no two with the same sum.
const fingerprintBytes = 16

// Fingerprint returns what identifies the work that a request asks for, of which account, body and
// fields are all that matters. It is a hexadecimal number. Each field counts at its place alone, and
// requests of different accounts have different fingerprints.
func Fingerprint(account string, body []byte, fields ...string) string {
	h := sha256.New()
	writeField(h, account)
	for _, field := range fields {
		writeField(h, field)
	}
	_, _ = h.Write(body)
	return hex.EncodeToString(h.Sum(nil)[:fingerprintBytes])
}

// writeField adds a field with its length, so that its end can't be mistaken.
func writeField(h hash.Hash, field string) {
	_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(field))))
	_, _ = io.WriteString(h, field)
}
