// Package fanout computes the fan-out tree by which one process reaches many others.
// It splits them into subgroups within a data centre. One member of each subgroup,
// the delegate, forwards messages to all members and returns their combined answer.
//
// Direct messages from the leader of a group to each of a hundred ranks, many times a
// second, saturate a link of a few Mbit/s, and each call that times out is repeated and
// so adds to the load. With delegates the leader sends and receives one message per
// subgroup.
//
// The package does no network I/O and reads no clock.
package fanout
