// Package caller meets callers over HTTP: it reads their requests, checks
// their form, and writes answers back, streamed or whole, without letting a
// part of an answer pass for all of it.
//
// The API follows what model clients speak:
//
//	POST /v1/chat/completions          chat, JSON or server-sent events
//	ANY  /v1/services/{name}/{path...} a plain service
//	GET  /v1/answers/{requestId}       an answer again, from piece ?from=n
//	GET  /healthz, /readyz             for the platform's balancer
//
// Headers of a request: Authorization (Bearer and the account's key),
// X-Request-Id, Idempotency-Key, X-Deadline-Ms (time left, in milliseconds),
// X-Priority. A refusal carries Retry-After and a JSON body with its numbered
// result code and whether the request was run.
//
// The server is nbhttp on nbio's event loop. nbhttp does not notice a caller
// who leaves while a handler runs, so each handler takes the connection over
// (Hijack), starts a goroutine and returns; from then on the close of the
// connection ends the request's context within a millisecond.
package caller
