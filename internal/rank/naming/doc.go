// Package naming decides which expert map each step of a group of ranks uses.
//
// A group spans several endpoints. The agent beside each endpoint is a Member
// and the only way to that endpoint's ranks; one agent of the group is its
// Leader by a lease in the platform's key-value service, whose fencing token
// orders leaders. Member and Leader are state machines without sockets, clocks
// or goroutines; package rank connects them to the engine, the platform and the
// peers. Messages are plain structs with exported fields, because other packages
// build and read them.
//
// # Naming a map
//
// A Name is a map and the first step that uses it. The leader brings a map into
// force in four phases, each ended by the answers of all members:
//
//  1. Stage: each member gives the map to its engine, which loads weights.
//  2. Hold: each member promises not to let its ranks begin the name's step.
//     A member hands its engine bounds, each a step up to which the ranks may
//     run without asking, and holds only for a step beyond all it handed out.
//  3. Commit: the leader writes the name to the group's record by
//     compare-and-swap under its fencing token.
//  4. Release: each member orders the engine to use the map from the step on,
//     and lets the ranks run beyond it.
//
// Outside a naming nobody is asked: members extend the bounds by themselves,
// so a group goes on with its map without a leader and without the platform.
//
// # Why no step has two maps
//
// A member is released only after every member has held and the name has been
// committed. A new leader first writes its token into the record, so that no
// older leader can commit, and asks all members, which then refuse older
// tokens. If the record has no commit of a pending name, nobody was released
// and the name is abandoned. If it has, the leader finishes the name, unless a
// member's bound has passed its step without it, which shows that nobody was
// released.
//
// A member that restarts forgets holds and fencing tokens. It therefore joins
// anew: it asks all peers and takes over the map in force, the pending name and
// the highest token from those that did not restart. Each order that leads to a
// release names the incarnations of all members that the leader counts on, and
// a member that knows of a newer incarnation refuses it; so either the restarted
// member has asked before the release and the release is refused, or it asks
// after it and learns of it. When all members of a group have restarted at the
// same time, they wait for a leader, which starts the group at a step beyond
// all bounds.
package naming
