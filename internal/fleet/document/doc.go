// Package document keeps the newest versions of one large value and packs the
// newest as its difference from a version that the receiver holds.
//
// It answers the load of a configuration of some hundred kilobytes that changes
// several times a second, while dozens of entries hear of it over one VM's line: a
// change costs some hundred bytes for each of them, and a first copy a tenth of its
// size. The package needs no network; a Pace says when each copy may be sent, so that
// what is urgent finds the line free.
package document
