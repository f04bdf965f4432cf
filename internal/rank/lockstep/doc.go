// Package lockstep decides which orders the leader of a group of ranks sends to
// switch all ranks to a new expert map at the same step.
//
// The engines accept these orders: prepare (copy the experts that are new in a
// map), arm (switch to the prepared map when a given step begins), disarm
// (cancel an arm), hold (no rank begins a given step until it is released) and
// release (the ranks may begin the held step). Ranks do not compare maps, so the
// leader alone ensures that no step begins with two of them: it holds a step in
// advance, arms every rank for that step, and releases it only after it has
// observed every rank armed, or none.
//
// An order whose call got no reply may still be executed seconds later, after
// newer orders. Each kind of delayed order is harmless for the following
// reason:
//
//   - Orders of an earlier leader: a new leader first presents its token to
//     every rank (Fence), and a rank rejects a lower token.
//   - A delayed prepare is rejected once the rank has had that version or a
//     higher one. A rank may also accept its version at once and copy later;
//     the leader then uses a further version, which the rank accepts at once.
//   - A delayed arm is rejected once its step has begun, or once another
//     version is prepared. An aborted step may not begin for a long time if the
//     group is idle; so before the step is released every rank prepares a
//     further version with the content of the map in force (a no-op version),
//     for which it copies nothing.
//   - A delayed disarm names a version that is never armed again: an aborted
//     change is not resumed.
//   - A delayed release names a step that has begun: the leader does not abort a
//     step once it has ordered its release, and orders the release of a step
//     that it aborts only after all ranks have prepared the no-op version.
//   - A delayed hold stops the group at a step that no change needs; the leader
//     aborts that step like any other.
//
// A leader that is paused or partitioned leaves a step held while the rank on
// its own VM cannot be observed; RecoverHeldStep describes what its successor
// may do then.
//
// Apart from that, NextOrders relies on the observed state of the ranks and not
// on the orders sent, so a successor continues from what the ranks report.
package lockstep
