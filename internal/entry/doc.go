// Package entry is the process that meets callers. It admits and queues their
// requests, chooses endpoints, relays answers and retries what may be repeated.
// Entries are all equal and none is set aside for control.
//
// An entry's view of the endpoints is only a hint: each agent decides what
// its endpoint bears. "Not run" is said to a caller only when an agent said so
// or when the request never left the entry.
//
// Lock order: scheduler.mu, then members.mu. Neither is held while a peer, the
// platform or a caller is written to.
package entry
