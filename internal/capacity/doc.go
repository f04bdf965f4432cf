// Package capacity measures what each part of hyssoprelay costs by size, with
// the product's own code over loopback or in memory, and fits lines to it.
//
// Each section runs three sizes or more and prints a row for each with the
// slope by least squares. Figures are of this VM at the moment of the run:
// processor times vary, bytes and calls hardly do. No section simulates a
// cluster; what the target size needs is worked out from the slopes.
package capacity
