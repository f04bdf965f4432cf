// Package spread decides with which entries an entry exchanges configuration,
// and which entries of a data centre read the platform's service themselves.
//
// # Who reads the platform
//
// Each data centre has Watchers readers: the first of its entries by rendezvous
// hashing (Thaler and Ravishankar, 1998) that answer. All entries work the
// order out for themselves from the list of VMs; lists that differ for a while
// only make some more entries read. An entry that does not answer an exchange
// loses its place to the next in order until it answers again or leaves the
// list.
//
// # How a change spreads
//
// Each entry has a few peers by rendezvous hashing: some of its data centre and
// one of each other. An entry that has learnt something tells Fanout of them
// once, one of them in another data centre (rumour mongering, Demers et al.,
// 1987: the number of rounds grows with the logarithm of the number of entries).
// Rumours may miss an entry, so each entry also exchanges digests with one other
// each period, by turns with a reader of its data centre and with a peer
// (anti-entropy, same paper).
//
// The package uses no sockets, clocks or goroutines. Draws are seeded.
package spread
