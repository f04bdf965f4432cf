// Package readers decides which processes of a data centre ask the platform's store
// for what is new, and from which of them each of the others hears it.
//
// It answers the load of hundreds of processes on a store whose calls are priced
// and bounded: the calls grow with the number of data centres and not with that of
// processes. The processes of a data centre have an order that follows from their
// names alone. The first asks the store. When it doesn't answer, or doesn't reach
// the store, the next asks in its place, and so on for a few; what is left hears
// from one of these, and asks the store by itself now and then when none of them
// reaches it. Nobody is chosen and nothing is agreed on: who asks without need costs
// some calls. Choice decides whom a process asks, and Basis whether it may tell others what
// it knows: nobody is told its own knowledge, nor that nothing has changed by one whose
// call to the store is late.
//
// The package needs no network and no clock.
package readers
