// Package caller implements the HTTP server for callers. It reads and validates their requests and
// writes responses, either complete or streamed. A response that is cut short is never ended as if
// it were complete.
//
// The API follows the conventions of model clients:
//
//	POST /v1/chat/completions          chat completion, JSON or server-sent events
//	ANY  /v1/services/{name}/{path...} request to a plain service
//	GET  /v1/answers/{requestId}       response to an earlier request, from piece ?from=n
//	GET  /healthz, /readyz             checks by the platform's load balancer
//
// A plain service is an HTTP service that is not a model engine. A piece is a numbered part of a
// streamed response.
//
// The request headers are Authorization (Bearer and the account key), X-Request-Id,
// Idempotency-Key, X-Deadline-Ms (time until the deadline, in milliseconds) and X-Priority. An
// error response has a JSON body with the numeric result code and whether the request was run. It
// carries Retry-After if the error states a delay.
//
// The server is nbhttp on nbio's event loop. nbhttp does not detect that a caller disconnects while
// a handler runs. Therefore each handler hijacks the connection, starts a goroutine and returns.
// From then on, the close of the connection cancels the request's context within a millisecond.
package caller
