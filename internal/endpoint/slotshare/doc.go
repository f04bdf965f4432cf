// Package slotshare divides the free slots of endpoints among the entries at which requests wait.
//
// Each entry computes the division by itself from the reports that all entries exchange. Entries with
// the same reports compute the same division, so that no messages are needed besides these reports.
// The package holds no state between calls and reads no clock.
package slotshare
