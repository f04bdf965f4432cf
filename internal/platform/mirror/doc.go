// Package mirror maintains a local copy of the keys under one prefix of the
// platform's key-value service.
//
// It lists all keys once and then follows the changes by long polls. Each update
// carries the time at which its request was sent, which is the latest time up to
// which the process is known to have seen every change. A poll that has not been
// answered doesn't prove that nothing has changed, since its connection may be dead.
package mirror
