// Package fanout decides through which processes one process reaches many
// others: it splits them into bunches within a data centre, and one member of
// each bunch, the delegate, passes on what is meant for all and answers for them.
//
// It answers the load of a group of a hundred ranks behind one line of some
// Mbit/s: messages to each of them, many times a second, fill that line, and each
// call that ends at its timeout adds another. With delegates the leader sends and
// receives as many messages as there are bunches.
//
// The package needs no network and no clock.
package fanout
