// Package routing holds the operators' configuration in the relay's own types, independent of the
// format in which the platform stores it: which service handles a request and under which limits,
// and to which account a key belongs.
//
// A Table is immutable. A holder of tables keeps the one with the highest version, so that a
// delayed or repeated update never replaces a newer table.
package routing
