// Package peer implements the gRPC communication between hyssoprelay's own processes.
//
// Each process serves the Peer service (configuration, time line, status), and
// agents also serve the Agent service. Each request uses a gRPC stream of its own
// over the single HTTP/2 connection between an entry and an agent: HTTP/2 flow
// control then applies to each response separately, and a slow caller does not delay
// other responses. Replies carry the request id and the attempt, and are dropped
// when either differs from that of the call.
package peer
