// Package frontend implements the process of an entry that sends requests to
// endpoints directly, without agents. It connects the relay, the copy of the
// platform's store, the server for callers and the connections to other processes.
package frontend
