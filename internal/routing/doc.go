// Package routing holds what operators have configured, in the product's own
// terms: which request goes to which service under which limits, and whose
// account a key names.
//
// A Table is immutable. Whoever receives tables keeps the newest by version, so
// that a late or repeated table never takes a newer one's place.
package routing
