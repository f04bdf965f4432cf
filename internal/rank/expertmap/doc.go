// Package expertmap places the experts of a mixture-of-experts model on the
// ranks of an expert-parallel group: which experts are replicated, which ranks
// hold the replicas, and which share of an expert's tokens each replica
// processes.
//
// All ranks of a group execute each step synchronously, so a step takes as long
// as its slowest rank. The load of a rank in a layer is the number of tokens
// that it processes there, and the skew is the maximum rank load divided by the
// mean rank load. A skew of 1.3 means that each step takes 30% longer than with
// an even distribution of the same work; the minimum is 1.
//
// A Layer gives each rank a fixed number of slots, each of which holds the
// weights of one expert. An expert's tokens are split over its replicas by a
// share per replica, in units of 1/ShareUnits, rather than evenly. Changing
// shares transfers no weights, so shares alone compensate for most of the drift
// in expert popularity, and an expert with two replicas can shift load between
// two ranks in any proportion. A Map combines one Layer for each layer of the
// model under one version.
//
// Solve computes a layer from scratch. Improve changes an existing layer by a
// small number of replica moves. NewPlan decides for a whole Map whether a
// change is worth its cost. LowerBound returns a skew that no layer can go
// below, which shows how far a layer can be from the optimum.
//
// Loads are in tokens per step, or in any other unit that is the same for all
// experts of a layer. The package uses no clock, network or goroutines.
package expertmap
