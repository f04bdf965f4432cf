// Package evenmap plans which ranks of a group hold which experts, for engines
// that split an expert's tokens evenly over the ranks that hold it.
//
// Package expertmap also chooses the share of each replica. These engines take
// no shares, so the load can be balanced only by the number of replicas of each
// expert and the choice of their ranks. The most loaded rank determines the
// duration of a step, separately for each layer set: a set of layers with one
// placement. Copying an expert to a rank takes time and counts as a cost;
// dropping one is free. A plan therefore makes few copies, no more than a given
// number on any rank, so that it takes effect soon, and the next plan continues
// from there.
//
// The package uses no clock, no network and no goroutine.
package evenmap
