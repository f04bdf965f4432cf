package relay

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

// fingerprint returns what identifies the work that a request asks for: the same in all attempts of
// its caller, and different for different accounts. It is a hexadecimal number.
func (j *job) fingerprint() string {
	h := sha256.New()
	for _, field := range []string{j.accountName(), j.raw.Host, j.raw.Method, j.raw.Target, j.requestInfo.Work} {
		writeField(h, field)
	}
	_, _ = h.Write(j.raw.Body)
	return hex.EncodeToString(h.Sum(nil)[:fingerprintBytes])
}

// writeField adds a field with its length, so that its end can't be mistaken.
func writeField(h hash.Hash, field string) {
	_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(field))))
	_, _ = io.WriteString(h, field)
}
