// Package config holds the operators' configuration: one document that every
// process agrees on.
//
// The document is a small Head: a generation that only grows, the preset in
// force, the presets by name with the digests of their bodies, and what
// operators have taken out of service. Bodies are immutable parts named by
// their digest and written before a head names them, so the compare-and-swap
// on the head alone orders all changes.
//
// # Join
//
// Heads form a join semilattice. Each change is a Dot (generation, change id)
// and a head knows the dots that it has seen. Newer(a, b) keeps the higher
// generation; what is out survives unless the other side has seen that very
// order and brought the target in since (an observed-remove set: Shapiro,
// Preguiça, Baquero and Zawirski, "A comprehensive study of convergent and
// commutative replicated data types", INRIA RR-7506, 2011). An order to take a
// target out that races one to bring it in wins. Presets and the preset in
// force keep the value of the later generation. So a change that was accepted
// is in every later join, also when the service was restored from an older
// copy and accepted other changes before that was seen.
//
// # Local holds
//
// An order to take a target out that can't reach the service becomes a Hold: it
// is enforced at once, spread by peers and written into the document when the
// service answers. See Hold.
//
// Times are those of the process that met the order and serve only as
// information for operators; no decision rests on them.
package config
