// Package relay forwards callers' requests from an entry, the process that accepts them, directly
// to endpoints. They bypass the agents, which are processes that run beside endpoints and through
// which an endpoint's requests would otherwise pass.
//
// The guarantees that an agent would enforce are kept by other means. A request runs at most once:
// it is never sent again after a byte of it may have reached an endpoint, unless that endpoint
// reported that it did not run it. A cold endpoint is not overloaded: each entry uses only its
// share of the rate that the endpoint can handle. An endpoint that is leaving, or that operators
// have taken out of service, gets no new requests: the directory follows the platform's store. A
// revoked key is refused: keys are accepted only while the configuration is recent, by a clock that
// keeps running while the VM is suspended.
//
// The decisions (NextDecision, RateShares, Freshness) use no sockets and read no clocks.
package relay
