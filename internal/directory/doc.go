// Package directory tracks the endpoints that are registered in the platform's store
// and decides which of them may receive new requests.
//
// An endpoint is identified by its ID and its start time: an endpoint that restarts
// under its previous ID has none of its earlier state. Endpoints that are draining or
// gone receive no new requests. Store entries that expired while the store was
// unavailable do not prove that their endpoints are gone, so they are retained for a
// while after the store recovers.
package directory
