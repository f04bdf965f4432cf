// Package platform is a client for the platform's key-value service. It provides
// reads, compare-and-swap transactions, leases and watches over the etcd v3
// protocol.
//
// Keys are strings and values are at most MaxValue bytes long. The service's
// revision increases with each write. It decreases only when the service has been
// restored from an older copy.
//
// Client.Timeout bounds each call as a whole, including the wait for the rate
// limiter of the process and the wait for a connection. The client never retries
// a write. The errors of a write distinguish three cases:
//
//   - *NotSentError: the call was not sent, because there was no connection or the
//     rate limit of the process was reached. It wraps the result code
//     PlatformDown, and the write certainly has no effect.
//   - *RejectedError: the service rejected the call without applying it.
//   - *UnknownOutcomeError: the write was sent and no reply arrived. It may or
//     may not have been applied, and may still be applied later. Only a read, or a
//     write that fences off the first one, can resolve the outcome.
//
// A watch reports explicitly, with a Gap, that changes may have been missed. Its
// receiver must then read the keys again.
package platform
