// Package lockstep decides which orders the leader of a group of ranks gives to
// bring a new expert map into force at one pass on all ranks.
//
// The engines' orders are: prepare (copy what is new), arm (switch to the
// prepared map as a step begins), disarm, hold (no rank begins a step until it
// is let go) and go. Ranks don't compare maps, so the leader alone sees to it
// that no pass begins with two: it holds a step ahead, arms every rank for that
// step, and lets go only when it has seen every rank armed, or none.
//
// An order that got no answer may be carried out seconds later, after newer
// ones. What keeps each kind from doing harm then:
//
//   - Orders of an earlier leader: a new leader first shows its token to every
//     rank (Fence), and a rank refuses a lower one.
//   - A late prepare is refused once the rank has had that version or a higher.
//     A rank may also take its version at once and copy later; then the leader
//     takes a further version, which the rank takes at once.
//   - A late arm is refused once its step has begun, or once another version is
//     prepared. A step that is given up may not begin for long, if the group is
//     idle; so before it is let go every rank prepares a further version that
//     holds what is in force (a flush), and copies nothing for it.
//   - A late disarm meets a version that is never armed again: a change that
//     was given up is not taken up again.
//   - A late go meets a step that has begun: the leader does not give a step up
//     for which it has ordered go, and does not order go for one that it gives
//     up before the flush.
//   - A late hold stops the group at a step that nobody wants; it is given up
//     like any other.
//
// A leader that is frozen or cut off leaves a step held and the rank beside it
// unseen; Rescue tells what its successor may do then.
//
// Beside that, Decide goes by what is seen now and not by what was sent: a
// successor goes on from what the ranks report.
package lockstep
