// Package service is a stand-in for a plain service such as an order desk or a
// print desk. It counts its runs by idempotency key and remembers which
// request ids it ran, so that a test can compare what callers were told with
// what happened. It doesn't refuse repeats: that is for the system to prevent.
package service
