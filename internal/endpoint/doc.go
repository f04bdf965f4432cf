// Package endpoint is the agent's HTTP client to its one endpoint: a model
// engine or a plain service.
//
// A Client keeps a bounded pool of keep-alive connections on one nbio event
// loop. Do sends one request and hands each part of the answer to a sink as it
// arrives. It returns nil only when the whole answer has arrived: the declared
// length, or the last chunk, and for an event stream also its end marker. Each
// error carries a result code that is true: EndpointDown is said only when no
// byte of the request can have reached the endpoint.
//
// A connection carries a second call only if the answer to the first one named its
// request: an endpoint may answer twice, and the ID is all that tells the answers apart.
//
// Reading is driven by the sink. The event loop copies what the socket holds
// into a bounded buffer and then stops listening to that connection until the
// sink has taken it, so a slow sink makes the endpoint wait and holds up
// neither memory nor other connections.
//
// The engine's further calls (load report, cache events, orders, rank orders,
// resume, KV cache transfer) are methods of Client as well.
package endpoint
