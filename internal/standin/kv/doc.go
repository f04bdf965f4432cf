// Package kv is a small in-memory stand-in for the platform's key-value
// service, for tests and demonstrations. It speaks the etcd v3 protocol:
// revisions, compare-and-swap transactions with nested ones, leases and
// watches with compaction.
//
// Each call counts, and a waiting watch counts as one. Faults are switched by
// method calls, or over HTTP by the JSON control that Control serves: down,
// slow, answers lost after their writes took effect, leases that lapse, watch
// events held back, and a restore from an older copy.
//
// State lock order: Server.mu is the only lock over the tables; gate.mu guards
// connections and is never held together with it.
package kv
