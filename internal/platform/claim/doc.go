// Package claim ensures that a request that must not be repeated runs at most
// once.
//
// Before an agent sends the first byte of such a request to its endpoint, it
// claims the request's idempotency key in the platform's key-value service. A
// claim is an open Record, created by one compare-and-swap. After the run it is
// closed with the outcome and a small answer, which a repeat of the key gets
// instead of another run.
//
// # Keys
//
// Open records are stored under OpenPrefix and closed ones under ClosedPrefix.
// Closed records expire with the lease of their time bucket after the retention
// time. Open records never expire, so that no request is lost silently: operators
// list them and release them (Registry).
//
// # Lost replies
//
// A claim whose write got no reply is sent again unchanged. If an earlier send
// created the record, the next one finds it and recognizes it by its attempt id.
// Only a reply settles the claim. A claim that no caller waits for any more is
// abandoned by a write under the same condition that closes the key as not run.
// An earlier write that is still in flight then fails its condition.
//
// # Dispatch window
//
// An agent may dispatch a request only within the dispatch window, which starts
// when its claim was first sent. An operator may release an open claim only when
// the window and a margin have passed since the claim was first seen, and only
// if it has not changed since. An agent that was suspended in between finds its
// window expired and never runs a released request. No clocks of different
// processes are compared.
//
// # Limits
//
// A service restored from an older copy has lost the claims made since. An agent
// that still has an outcome to store stores it then, but a request whose outcome
// was stored before the restore can be claimed again. An agent can also be
// suspended between the check of its window and the first byte; the margin of
// the release covers this only for as long as the margin lasts.
//
// # Batches
//
// The service handles a few hundred writes per second. The Batcher combines many
// claims and outcomes into one transaction of nested transactions, and has one
// transaction in flight at a time.
package claim
