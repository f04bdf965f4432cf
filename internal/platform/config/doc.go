// Package config maintains the operators' configuration, a document replicated
// to every process and stored in the platform's key-value service, which this
// package calls the service.
//
// The document is a Head: a generation that never decreases, the preset in
// force, the presets by name with the digests of their bodies, and the targets
// that operators have taken out of service. Bodies are immutable parts named by
// their digest and written before a head references them, so the
// compare-and-swap on the head alone orders all changes.
//
// # Join
//
// Heads form a join semilattice. Each change is identified by a Dot
// (generation, change id), and a head records the dots that it has seen.
// JoinHeads(a, b) has the higher of both generations. An entry that takes a
// target out of service is kept unless the other head has seen that entry and
// has since returned the target to service (an observed-remove set: Shapiro,
// Preguiça, Baquero and Zawirski, "A comprehensive study of convergent and
// commutative replicated data types", INRIA RR-7506, 2011). Taking a target out
// of service therefore prevails over returning it to service concurrently.
// Presets and the preset in force take the value of the later generation. Every
// later join thus contains each accepted change, even if the service was
// restored from an older copy and accepted other changes before a process
// noticed.
//
// # Local holds
//
// An order to take a target out of service that cannot reach the service becomes
// a Hold: it takes effect immediately, is exchanged between peers and is written
// into the document when the service answers again. See Hold.
//
// Times come from the clock of the process that received the order. They only
// inform operators and do not influence which changes are in effect.
package config
