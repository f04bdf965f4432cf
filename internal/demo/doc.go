// Package demo runs a whole system in one process: three data centres with
// entries, agents and stand-ins for endpoints and platform, over loopback.
// cmd/demo shows it to newcomers, and tests of the whole path start from it.
// It is not linked into the product's binary.
package demo
