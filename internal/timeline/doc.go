// Package timeline keeps a bounded record of a process's events, stamped so
// that the events of all processes can be merged in causal order.
//
// A stamp is a reading of a hybrid logical clock: the upper 52 bits are
// microseconds since 1970 and the lower 12 bits count events within one
// microsecond. Every message between processes carries the sender's reading,
// and the receiver's clock moves past it, so an effect never sorts before its
// cause even where the clocks of two VMs differ. The clock is that of Kulkarni
// et al., "Logical Physical Clocks and Consistent Snapshots in Globally
// Distributed Databases", 2014.
package timeline
