// Package placement selects the endpoint that runs an attempt of a request.
//
// A Balancer holds what one entry knows about the endpoints of its subset: the
// reports of their agents, which lag, and the entry's own attempts, which are
// known immediately. It performs no I/O, starts no goroutines and reads no clock.
// It is not safe for concurrent use; the entry must hold a lock around each call. The
// agent of an endpoint makes the final decision: it may refuse an attempt that was
// placed with outdated reports, which is then recorded with Balancer.Refuse.
//
// The load of an endpoint is its committed work, that is open streams and tokens
// that have yet to be produced, not its current CPU use: an open stream that is
// silent now must still be served. The load of an endpoint without a recent report
// counts as unknown, never as zero.
//
// Selection takes the endpoint with the lowest load score among a few random
// samples (Azar, Broder, Karlin and Upfal, Balanced Allocations, STOC 1994;
// Mitzenmacher, The Power of Two Choices in Randomized Load Balancing, 2001).
// Sampling keeps many entries with the same outdated reports from all selecting the
// same endpoint. Requests with a known prompt prefix go to the same endpoint as long
// as its load stays within a factor of the mean (Mirrokni, Thorup and
// Zadimoghaddam, Consistent Hashing with Bounded Loads, SODA 2018). The subset of
// endpoints that an entry uses is chosen by rendezvous hashing (Thaler and
// Ravishankar, 1998).
package placement
