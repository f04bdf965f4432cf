package claim

import (
	"errors"
	"net/url"
	"strings"
)

// Key prefixes of open and closed records in the platform's key-value service.
const (
	OpenPrefix   = "/hyssoprelay/claims/open/"
	ClosedPrefix = "/hyssoprelay/claims/closed/"
)

// maxKeyPartBytes bounds the length in bytes of each part of a key, before
// escaping.
const maxKeyPartBytes = 256

// ErrInvalidKey means that a part of a key is empty or too long.
var ErrInvalidKey = errors.New("claim: a key's parts must have 1 to 256 bytes")

// Key identifies a claimed request. The same idempotency key used by two
// accounts or for two services makes two different keys.
type Key struct {
	service        string
	account        string
	idempotencyKey string
}

// NewKey returns a Key, or ErrInvalidKey if a part is empty or longer than 256
// bytes.
func NewKey(service, account, idempotencyKey string) (Key, error) {
	for _, s := range []string{service, account, idempotencyKey} {
		if s == "" || len(s) > maxKeyPartBytes {
			return Key{}, ErrInvalidKey
		}
	}
	return Key{service: service, account: account, idempotencyKey: idempotencyKey}, nil
}

// Service returns the service that runs the request.
func (k Key) Service() string { return k.service }

// Account returns the account that sent the request.
func (k Key) Account() string { return k.account }

// IdempotencyKey returns the idempotency key.
func (k Key) IdempotencyKey() string { return k.idempotencyKey }

// String returns the key as a path with escaped parts, which ParseKey reads.
func (k Key) String() string {
	return url.PathEscape(k.service) + "/" + url.PathEscape(k.account) + "/" + url.PathEscape(k.idempotencyKey)
}

// ParseKey parses the path that Key.String returns. It returns ErrInvalidKey if
// s is not such a path.
func ParseKey(s string) (Key, error) {
	parts := strings.Split(s, "/")
	if len(parts) != 3 {
		return Key{}, ErrInvalidKey
	}
	for i, p := range parts {
		unescaped, err := url.PathUnescape(p)
		if err != nil {
			return Key{}, ErrInvalidKey
		}
		parts[i] = unescaped
	}
	return NewKey(parts[0], parts[1], parts[2])
}

func (k Key) openKey() string   { return OpenPrefix + k.String() }
func (k Key) closedKey() string { return ClosedPrefix + k.String() }
