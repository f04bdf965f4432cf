// Package vmlist is a small stand-in for the platform's list of live and
// leaving VMs, for tests and demonstrations. What is told to it appears in its
// answers after a lag that can be set, and it can be switched off.
package vmlist
