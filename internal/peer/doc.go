// Package peer carries messages between hyssoprelay's own processes over
// grpc-go.
//
// Each process serves Peer (configuration, time line, status); agents serve
// Agent besides. A request has one gRPC stream of its own over the one HTTP/2
// connection between an entry and an agent, so that HTTP/2's flow control
// bounds each answer by itself and a slow caller holds up no other answer.
// Replies carry request id and attempt, and are dropped when either differs
// from what the call is for.
package peer
