// Package frontend is the process of an entry that speaks to endpoints
// directly: it brings the relay, the copy of the platform's store, the callers'
// server and the other processes together.
package frontend
