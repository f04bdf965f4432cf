// Package fanout computes the fan-out tree by which one process reaches many others.
// It splits them into subgroups within a data centre. One member of each subgroup,
// the delegate, forwards messages to all its members and returns their combined
// answer.
//
// Direct messages to each of a hundred ranks, many times a second, saturate a link of
// some Mbit/s, and each call that times out adds another. With delegates the leader
// sends and receives one message per subgroup.
//
// The package needs no network and no clock.
package fanout
