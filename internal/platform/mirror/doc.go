// Package mirror maintains a local copy of the keys under one prefix of the
// platform's key-value service.
//
// It lists all keys once and then follows the changes by long polls. Each update
// carries the time at which its request was sent, which is the latest time up to
// which the process is known to have seen every change: a poll without an answer
// proves nothing, since its connection may be dead.
package mirror
