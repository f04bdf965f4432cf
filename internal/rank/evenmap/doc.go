// Package evenmap plans which ranks of a group hold which experts when the
// engine spreads an expert's tokens evenly over the ranks that hold it.
//
// Package expertmap sets the share of each replica; these engines take no
// shares, so more replicas of a popular expert and the choice of their ranks are
// all that levels the load. A step lasts as long as its most loaded rank, set by
// set. Copying an expert to a rank takes time and is priced; dropping one costs
// nothing. So a plan makes few copies, no more than a given number on any rank,
// and comes into force soon; the next one goes on from there.
//
// The package uses no clock, no network and no goroutine.
package evenmap
