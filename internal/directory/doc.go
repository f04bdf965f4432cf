// Package directory decides which endpoints exist and may be sent work, from
// what the platform's store tells of them.
//
// An endpoint is named by its id and its start: one that starts again under the
// id it had knows nothing of before. Endpoints that leave or are gone get
// nothing new. Entries that vanish because the store was away are no sign that
// their endpoints are gone, so they hold for a while after its return.
package directory
