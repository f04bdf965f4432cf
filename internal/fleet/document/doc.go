// Package document distributes one large value. It keeps the newest versions of the
// value and encodes the newest one as its difference from a version that the receiver
// holds.
//
// It is made for a configuration of some hundred kilobytes that changes several times a
// second and is sent to dozens of entries over the network link of one VM. Each entry is
// sent some hundred bytes for a change, and a tenth of the size of the value for the
// first copy. A Pacer limits the rate of copies, so that urgent messages don't queue behind
// them. The package itself does no network I/O.
package document
