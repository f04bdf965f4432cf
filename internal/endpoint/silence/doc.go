// Package silence tells which endpoints can't be heard while others of their group can.
//
// It is made for an endpoint whose VM stands still or is cut off while its group goes on. Its
// connections stay open, nothing arrives on them, and a close does not reach it: callers wait there
// until they lose patience, and their work goes on after they have left. It must be told apart from a
// group that stands as a whole, from an endpoint that is merely slow, and from an observer that
// itself stood still.
//
// The package has no clock, goroutine or network. A Tracker measures silences from what one observer
// hears, and Judge decides what a silence means.
package silence
