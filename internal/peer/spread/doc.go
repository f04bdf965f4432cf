// Package spread selects the entries with which an entry exchanges its configuration,
// and the entries of a data centre that read from the platform's service.
//
// # Readers
//
// Each data centre has ReadersPerDataCentre readers: the first responsive ones of its
// entries in the order of rendezvous hashing (Thaler and Ravishankar, 1998). Each
// entry computes this order from the list of VMs. While the lists of entries differ,
// there may be some additional readers. An entry that does not respond to an exchange
// is replaced by the next one in the order until it responds again or leaves the list.
//
// # Propagation of changes
//
// Each entry has a few peers, selected by rendezvous hashing: some in its own data
// centre and one in each other data centre. An entry that receives a change sends it
// once to Fanout of its peers, one of them in another data centre (rumour mongering,
// Demers et al., 1987; the number of rounds grows with the logarithm of the number of
// entries). Rumours may miss an entry. In each round an entry therefore also exchanges
// digests with one other entry: at a fixed interval of rounds with a reader of its
// data centre, otherwise with a peer or an unresponsive entry (anti-entropy, same
// paper).
//
// The package uses no sockets, clocks or goroutines. Random selections are seeded.
package spread
