// Package vmlist is the client of the platform's list of live and leaving VMs,
// and the join of that list with what processes see themselves.
//
// The list lags, in both directions: a VM may be live before it is listed and
// gone while it still is. Join therefore believes, in this order, a leaving
// process's own word, a live stream, and then the list.
//
// The list is polled with GET /vms?since=REV. The answer holds the VMs that
// changed after revision REV, those removed, and the new revision; a revision
// below REV means that the list began anew, and then everything is read again.
//
// The poll uses net/http and not nbhttp's client: it is one small request every
// few seconds, must end with its context, and must not read an answer beyond
// its bound; nbhttp's Client does not look at the request's context and needs an
// engine of its own.
package vmlist
