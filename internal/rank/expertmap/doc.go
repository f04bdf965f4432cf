// Package expertmap computes which experts of a model are replicated, on which
// ranks of a group, and what part of an expert's tokens each replica takes.
//
// All ranks of a group run in lock-step, so a step lasts as long as its slowest
// rank. The load of a rank in a layer is the number of tokens that it computes
// there, and the skew is the load of the slowest rank over the mean load of all
// ranks. A skew of 1.3 means that each step lasts 30 in 100 longer than it
// would if the same work were spread evenly; 1 is the least.
//
// A Layer gives each rank a fixed number of slots, which each hold the weights
// of one expert. An expert's tokens are split over its replicas by a share per
// replica, in units of 1/ShareUnits, and not evenly: a change of shares moves
// no weights, so most of the drift of popularity is met without any move, and
// an expert with two replicas can shift load between two ranks in any
// proportion. A Map is one Layer for each layer of the model under one version.
//
// Solve builds a layer from nothing. Improve changes a layer by few moves.
// Plan decides for a whole Map whether a change is worth its cost. LowerBound
// gives a skew that no map can go below, so that the gap to the optimum shows.
//
// Loads are in tokens a step, or in any other unit that is the same for all
// experts of a layer. The package uses no clock, no network and no goroutine.
package expertmap
