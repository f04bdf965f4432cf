// Package holdback decides which requests are refused because an operator holds them back: those of
// one class of a service, or those of one account.
//
// The platform's store keeps one order for each target for as long as the target is held back. The
// store's revisions order the writes, so a Table that receives orders and releases in any order, and
// any number of times, ends in the same state. Orders don't expire.
//
// Nothing here uses sockets or reads clocks.
package holdback
