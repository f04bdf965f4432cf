// Package ranks is a stand-in for groups of ranks that run in lock-step on an
// expert map. A Group steps all its ranks; an Engine is the part of one endpoint
// and takes the orders of package rank. It ignores fencing numbers, as some
// engines do, and reports each step in which two endpoints used different maps.
package ranks
