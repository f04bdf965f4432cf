// Package direct is an entry's HTTP/1.1 client to endpoints that have no agent
// on the way. It passes answers on as they came.
//
// The standard library's parser reads the answers, over connections that this
// package dials and keeps: nbhttp's parser takes an answer without a length for
// whole before its first byte, and loses a header behind a status line without
// a reason, and endpoints send both. The library's own client is not used
// because it sends some requests again by itself after a kept connection broke,
// which would run a request twice and spend the retry budget unseen.
//
// An error says whether the request can have reached the endpoint: a NotSentError
// is a true "not run", anything else leaves the outcome unknown.
package direct
