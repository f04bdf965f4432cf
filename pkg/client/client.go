package client

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// DefaultMaxAttempts is how often a request is sent at most, counting the
// first time and each look for its answer.
const DefaultMaxAttempts = 8

// ErrNoEntries is returned when a Client names no entry.
var ErrNoEntries = errors.New("client: no entries")

// Client calls the entries. Set the exported fields before the first call; a
// Client is safe for concurrent use.
type Client struct {
	// Entries are the entries' base URLs, such as http://192.0.2.1:8080. One is
	// used until it fails, then the next.
	Entries []string
	// Key is the account's key.
	Key string
	// HTTP makes the calls; nil means http.DefaultClient.
	HTTP *http.Client
	// MaxAttempts bounds how often one request is sent; zero means
	// DefaultMaxAttempts.
	MaxAttempts int

	current atomic.Uint64
	// sleep stands in for waiting in tests.
	sleep func(ctx context.Context, d time.Duration) error
}

// Answer is a whole answer.
type Answer struct {
	requestID   string
	status      int
	contentType string
	body        []byte
}

// RequestID returns the id under which the request was sent.
func (a *Answer) RequestID() string { return a.requestID }

// Status returns the endpoint's HTTP status.
func (a *Answer) Status() int { return a.status }

// ContentType returns the body's content type.
func (a *Answer) ContentType() string { return a.contentType }

// Body returns the body.
func (a *Answer) Body() []byte { return a.body }

// entry returns the entry to use now.
func (c *Client) entry() string {
	return c.Entries[c.current.Load()%uint64(len(c.Entries))]
}

// leave moves on from an entry that failed, unless another call has already.
func (c *Client) leave(entry string) {
	n := c.current.Load()
	if c.Entries[n%uint64(len(c.Entries))] == entry {
		c.current.CompareAndSwap(n, n+1)
	}
}

func (c *Client) attempts() int {
	if c.MaxAttempts > 0 {
		return c.MaxAttempts
	}
	return DefaultMaxAttempts
}

// newRequestID returns a random id, or an error when there is no randomness:
// two requests under one id would get each other's answers.
func newRequestID() (string, error) {
	var b [16]byte
	if _, err := rand.Read(b[:]); err != nil {
		return "", result.Newf(result.MalformedRequest, "no request id: %v", err)
	}
	return hex.EncodeToString(b[:]), nil
}
