// Package lockstep decides which orders the leader of a group of ranks gives to
// bring a new expert map into force at one pass on all ranks.
//
// The engines' orders are: prepare (copy what is new), arm (switch to the
// prepared map as a step begins), disarm, hold (no rank begins a step until it
// is let go) and go. Ranks don't compare maps, so the leader alone sees to it
// that no pass begins with two: it holds a step ahead, arms every rank for that
// step, and lets go only when it has seen every rank armed, or none.
//
// An order that got no answer may be carried out seconds later. So each one
// carries the number of orders that its rank had taken when it was decided: once
// the rank has taken another one, a late order no longer fits and is refused by
// itself. Before the leader lets a step go that it has given up, it makes every
// rank take a harmless order for that reason.
//
// Decide looks at what is seen now, and not at what was sent: a successor goes
// on from what the ranks report.
package lockstep
