// Package placement chooses the endpoint that runs one attempt of a request.
//
// A Picture holds what one entry knows about the endpoints of its subset: the
// reports of their agents, which lag, and the entry's own attempts, which it
// knows at once. It opens no socket, starts no goroutine and reads no clock.
// A Picture is not safe for concurrent use; its owner holds a lock around each
// call. The agent beside an endpoint has the last word: a choice made from a
// lagging picture may be refused there, and the refusal comes back through
// Picture.Refused.
//
// Load is committed work: streams that are open and tokens that are promised
// and not yet produced, and not the present use of the processor, because an
// open stream that is silent now still has to be served. A report without a
// recent time counts as unknown, never as an idle endpoint.
//
// The choice is the least pressed of a few endpoints drawn at random (Azar,
// Broder, Karlin and Upfal, Balanced Allocations, STOC 1994; Mitzenmacher, The
// Power of Two Choices in Randomized Load Balancing, 2001). Drawing keeps many
// entries with equal lagging reports from all choosing the same endpoint.
// Requests with a known prompt prefix go to the same endpoint while its load
// stays within a bound of the mean (Mirrokni, Thorup and Zadimoghaddam,
// Consistent Hashing with Bounded Loads, SODA 2018). Subsets are drawn by
// rendezvous hashing (Thaler and Ravishankar, 1998).
package placement
