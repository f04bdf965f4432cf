// Package naming decides which expert map each step of a group of ranks uses.
//
// A group spans several endpoints. The agent beside each endpoint is a Member
// and the only one that gives orders to this endpoint's ranks. One agent of the
// group is its Leader: it holds a lease in the platform's key-value service,
// whose fencing token increases from leader to leader. Member and Leader are
// state machines without sockets, clocks or goroutines; package rank connects
// them to the engine, the platform and the peers. Messages are plain structs
// with exported fields, because other packages build and read them.
//
// # Activating a map
//
// An activation, of type Activation, is a map and the first step that uses it.
// The leader activates a map in four phases. Each phase ends once all members
// have replied.
//
//  1. Stage: each member gives the map to its engine, which loads weights.
//  2. Hold: each member promises not to let its ranks begin the activation's
//     step. A member gives its engine step limits, up to which the ranks may run
//     without a further order, and holds an activation only if its step is beyond
//     all of them.
//  3. Commit: the leader writes the activation to the group's record by
//     compare-and-swap under its fencing token.
//  4. Release: each member orders the engine to use the map from the step on,
//     and lets the ranks run beyond it.
//
// Outside an activation members need no agreement: each extends its step limits
// by itself, so a group keeps running with its map without a leader and without
// the platform.
//
// # Why no step has two maps
//
// A member is released only after every member has held and the activation has
// been committed. A new leader first writes its token into the record, so that
// no older leader can commit, and queries all members, which then refuse older
// tokens. If the record does not have the pending activation, no member has
// been released and the activation is abandoned. If it does, the leader
// finishes the activation, unless a member's step limit has reached the
// activation's step and the member does not have the activation, which shows
// that no member has been released.
//
// A member that restarts forgets its holds and fencing tokens. It therefore
// joins again: it asks all peers and takes over the schedule, the pending
// activation and the highest token from those that did not restart. Each order
// that leads to a release carries the incarnations of all members as the leader
// knows them, and a member that knows of a newer one refuses it. So either the
// restarted member has asked before the release and the release is refused, or
// it asks after the release and learns of it. If all members of a group have
// restarted at the same time, they wait for a leader, which starts the group at
// a step beyond all step limits.
package naming
