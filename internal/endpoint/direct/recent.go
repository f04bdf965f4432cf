package direct

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// recentRequests is how many requests a connection remembers. Late responses arrive while the next
// requests are on their way; older ones have been met by then.
const recentRequests = 32

// recent holds the last requests that a connection carried, as hashes of their IDs: an ID may be as
// long as a header.
type recent [recentRequests]uint64

// begin records that the connection carries the request with the given ID from now on.
func (c *conn) begin(id string) { c.recent[c.requests%recentRequests] = xxhash.Sum64String(id) }

// carried reports whether the connection carries, or has carried, a request with the given ID. Requests
// without an ID can't be told apart, so any earlier request counts for them.
func (c *conn) carried(id string) bool {
	if id == "" {
		return c.requests > 0
	}
	return slices.Contains(c.recent[:], xxhash.Sum64String(id))
}

// mayCarry reports whether an idle connection may carry req. A late response to an earlier attempt of
// the same request would be taken for the response to this one: that one may say that the request did
// not run, although this attempt ran.
func (c *conn) mayCarry(req *Request) bool { return req.ResponseID == nil || !c.carried(req.ID) }
