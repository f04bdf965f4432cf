// Package client is the callers' Go client of hyssoprelay's entries: chat as a
// whole answer or as a stream, and calls of plain services.
//
// It repeats a request only when that is safe. A refusal whose result code says
// "not run" is repeated after the time that it names. A request whose outcome
// is unknown is looked for by its request id through another entry, and sent
// again only if it may be repeated: a chat, or a service call with an
// idempotency key, which the system runs at most once for each key. A service
// call without a key is never sent again unless it was certainly not run.
//
// An answer is returned only when it is whole. A stream that breaks off is
// continued from the first piece that has not arrived.
//
// Errors hold a result.Error; result.CodeOf(err).Effect() tells whether the
// request was run. The package uses net/http, so that callers' programs need no
// event loop.
package client
