package claim

import (
	"errors"
	"net/url"
	"strings"
)

// Prefixes of the records in the platform's service.
const (
	OpenPrefix   = "/hyssoprelay/claims/open/"
	ClosedPrefix = "/hyssoprelay/claims/closed/"
)

// maxKeyPart bounds each part of a key in bytes, before escaping.
const maxKeyPart = 256

// ErrKey says that a part of a key is empty or too long.
var ErrKey = errors.New("claim: a key's parts must have 1 to 256 bytes")

// Key names what is claimed. The same idempotency key of two accounts or for
// two services is two keys.
type Key struct {
	service     string
	account     string
	idempotency string
}

// NewKey returns a key, or ErrKey.
func NewKey(service, account, idempotency string) (Key, error) {
	for _, s := range []string{service, account, idempotency} {
		if s == "" || len(s) > maxKeyPart {
			return Key{}, ErrKey
		}
	}
	return Key{service: service, account: account, idempotency: idempotency}, nil
}

// Service returns the service that runs the request.
func (k Key) Service() string { return k.service }

// Account returns the account that sent the request.
func (k Key) Account() string { return k.account }

// Idempotency returns the idempotency key.
func (k Key) Idempotency() string { return k.idempotency }

// String returns the key as one path, which ParseKey reads.
func (k Key) String() string {
	return url.PathEscape(k.service) + "/" + url.PathEscape(k.account) + "/" + url.PathEscape(k.idempotency)
}

// ParseKey reads what String wrote.
func ParseKey(s string) (Key, error) {
	parts := strings.Split(s, "/")
	if len(parts) != 3 {
		return Key{}, ErrKey
	}
	for i, p := range parts {
		u, err := url.PathUnescape(p)
		if err != nil {
			return Key{}, ErrKey
		}
		parts[i] = u
	}
	return NewKey(parts[0], parts[1], parts[2])
}

func (k Key) open() string   { return OpenPrefix + k.String() }
func (k Key) closed() string { return ClosedPrefix + k.String() }
