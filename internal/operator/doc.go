// Package operator meets operators: an HTTP API on each entry by which presets
// are written and switched, data centres and endpoints are taken out of
// service and brought back, open claims are looked at and released, and the
// state and the time line of the system are read.
//
//	GET  /admin/presets                    all presets
//	GET  /admin/presets/{name}             one preset with its text
//	PUT  /admin/presets/{name}             PutRequest
//	POST /admin/presets/{name}/switch      ChangeRequest
//	POST /admin/dataCentres/{name}/out|in  ChangeRequest
//	POST /admin/endpoints/{name}/out|in    ChangeRequest
//	GET  /admin/claims                     ?account= ?key=
//	POST /admin/claims/release             ReleaseRequest
//	GET  /admin/status
//	GET  /admin/timeline                   ?requestId= ?endpoint= ?dataCentre= ?kind= ?sinceMicros=
//	GET  /admin/metrics
//
// Bodies are JSON with camel-case keys. Every request carries the operator
// token in the header Authorization ("Bearer TOKEN"). A refusal is an
// ErrorReply with a numbered result code.
//
// Each change carries a change id that the operator's program makes up. When
// an answer is lost, the same change can be sent again under the same id, to
// the same entry or another, and takes effect once. A change may name the
// generation that it was decided by; when another change came first, it is
// refused as a conflict.
//
// All entries are equal: each hands changes to the platform's service, where
// one document holds the configuration, and answers from what it knows of it.
package operator
