// Package readers decides which processes of a data centre poll the platform's store
// for changes, and from which of them each other process gets its updates.
//
// Calls to the store are billed and limited, and a fleet may have hundreds of processes.
// With this package the calls grow with the number of data centres instead of the number
// of processes. The processes of a data centre are ordered by a hash of their names. The
// first few are its readers, of which the first one polls the store. If it doesn't answer
// the others or can't reach the store, the next reader takes over. The other processes
// get their updates from one of the readers, and poll the store directly at long
// intervals when none of them reaches it. There is no election and no agreement: a
// process that polls needlessly only costs some calls.
//
// SourceSelector selects the source of a process. Freshness decides whether a process
// may serve others: it doesn't return updates to the process that they came from, and
// doesn't report that nothing has changed while its own call to the store is late.
//
// The package does no network I/O and reads no clock.
package readers
