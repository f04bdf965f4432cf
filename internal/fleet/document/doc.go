// Package document distributes one large value. It keeps the newest versions of the
// value and encodes the newest one as its difference from a version that the receiver
// holds.
//
// It is made for a configuration of some hundred kilobytes that changes several times a
// second and goes to dozens of entries over the network link of one VM. A change costs
// some hundred bytes for each of them, and a first copy a tenth of the size of the
// value. A Pacer limits the rate of copies, so that urgent messages don't queue behind
// them. The package itself does no network I/O.
package document
