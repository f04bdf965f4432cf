// Package direct is the HTTP/1.1 client with which an entry calls endpoints
// without going through an agent. It passes responses on unchanged.
//
// Responses are parsed by net/http over connections that this package dials and
// pools. The parser of nbhttp isn't used: it treats a response without a length as
// complete before its first body byte, and it drops a header that follows a status
// line without a reason phrase; endpoints send both. http.Transport isn't used:
// it resends some requests on its own when a reused connection breaks, which would
// run a request twice and bypass the retry budget.
//
// net/http bounds neither the head of a response that is read in this way nor what is discarded, and a
// faulty endpoint may send either without end. The limits are in limits.go; a response that exceeds
// one ends with a LimitError, and its connection is reset.
//
// net/http also accepts heads that no response can have. They end with a MalformedError (malformed.go). A response
// without length ends with the close of its connection, which end.go tells from a reset.
//
// A NotSentError guarantees that the endpoint didn't receive the request. After any
// other error the outcome of the request is unknown.
package direct
