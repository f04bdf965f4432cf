// Package platform is the client of the platform's key-value service: reads,
// compare-and-swap transactions, leases and watches over the etcd v3 protocol.
//
// Keys are strings and values are bytes of at most MaxValue. A revision counts
// the service's writes; it falls only when the service was restored from an
// older copy.
//
// Each call has one time limit, Client.Timeout, that covers the wait for the
// process's own call budget, the wait for a connection and the answer. The
// client never repeats a write by itself. Its errors separate three cases that
// must not be confused:
//
//   - *NotSentError: the call never left this process (no connection, no
//     budget). It wraps the result code PlatformDown and is a true "not made".
//   - *RefusedError: the service answered that it did not make the write.
//   - *UnknownOutcomeError: the write left and no answer came, so it may or may
//     not have taken effect, now or later. Only a read, or a write that fences
//     the first one, can settle it.
//
// A Watch tells explicitly when changes may have been missed (Gap); its reader
// has to read the keys again.
package platform
