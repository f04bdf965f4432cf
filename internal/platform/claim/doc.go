// Package claim makes a request that may not be repeated run at most once.
//
// Before an agent sends the first byte of such a request to its endpoint it
// claims the request's idempotency key in the platform's key-value service. A
// claim is an open Record, created by one compare-and-swap; after the run it is
// closed with the outcome and a small answer, which a repeat of the key gets
// instead of another run.
//
// # Keys
//
// A key is open under OpenPrefix and closed under ClosedPrefix. Closed records
// end with the lease of their time bucket after the retention time; open ones
// never end by themselves, so no order is lost in silence: operators list them
// and release them (Registry).
//
// # What a lost answer means
//
// A claim whose write got no answer is sent again as it is: whoever created the
// record, the second write finds it and reads the attempt id. Only an answer
// settles it. A claim that nobody waits for any more is abandoned by a write
// under the same condition that closes the key as not run, so that the first
// write, should it still be on its way, finds its condition broken.
//
// # Window
//
// An agent may dispatch only within its window, counted from the moment its
// claim was first sent, and an operator may release an open claim only when the
// window and a margin have passed since the claim was seen, and only if it has
// not changed since. So an agent that was frozen in between finds its window
// closed and never runs what has been released; no clocks are compared.
//
// # What is not promised
//
// A service restored from an older copy has forgotten the claims made since. An
// agent that still has an outcome to store stores it then, but a request whose
// outcome was stored before the restore can be claimed again. And between the
// check of its window and the first byte an agent can still be frozen; the
// release's margin covers that for as long as it lasts.
//
// # Batches
//
// The service takes a few hundred writes a second. The Batcher puts many claims
// and outcomes into one transaction of nested ones and has one on its way at a
// time.
package claim
