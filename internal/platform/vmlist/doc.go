// Package vmlist is a client for the platform's list of live and leaving VMs. It
// also merges that list with what a process observes itself.
//
// The list lags in both directions: a VM may be live before it is listed, and gone
// while it is still listed. Merge therefore gives precedence to a process's own
// announcement that it is leaving, then to a live stream, and then to the list. A
// live stream does not override the state Leaving of a listed VM.
//
// The list is polled with GET /vms?since=REV. The response holds the VMs that
// changed after revision REV, the ids of the VMs that were removed, and the new
// revision. A revision lower than REV means that the list was recreated, and the
// client then reads the complete list.
//
// The client uses net/http instead of the Client of nbhttp. A poll is one small
// request every few seconds, it must end with its context, and it must not read a
// response beyond a size limit. The Client of nbhttp ignores the context of a
// request and needs an engine of its own.
package vmlist
