package relay

import (
	"net/http"
	"time"
)

// HeaderCodec translates between the relay's terms and the headers of requests and answers.
type HeaderCodec interface {
	// ReadRequest parses the headers of a caller's request.
	ReadRequest(h http.Header) RequestInfo
	// WriteRequest changes a caller's headers into those for an endpoint.
	WriteRequest(h http.Header, info EndpointInfo)
	// ReadAnswer parses the headers of an endpoint's answer.
	ReadAnswer(status int, h http.Header) AnswerInfo
}

// RequestInfo holds what a caller states about its request.
type RequestInfo struct {
	// ID identifies this attempt of the caller.
	ID string
	// Key is the account's key.
	Key string
	// TimeLeft is how long the caller waits, or zero if it doesn't say.
	TimeLeft time.Duration
	// Resume is the ID of the last event that the caller has received, or "".
	Resume string
	// PromptTokens and OutputTokens are the size of a generation request.
	PromptTokens, OutputTokens int
	// Work is what the headers say of the work that is asked for. It is the same in all attempts of
	// the caller.
	Work string
	// SharedParts are the IDs of the prompt's parts, in order, that other requests may share: all but
	// the last.
	SharedParts []string
}

// EndpointInfo holds what the relay tells an endpoint about a request.
type EndpointInfo struct {
	// Account is the name of the caller's account, or "".
	Account string
	// Endpoint is the ID of the intended endpoint; another endpoint at the same address does not
	// run the request.
	Endpoint string
	// TimeLeft is how long the endpoint may work on the request.
	TimeLeft time.Duration
	// Urgency orders requests at the endpoint: 0 goes first, 9 last.
	Urgency int
	// Resume is the ID of the last event that the caller has received, or "".
	Resume string
}

// AnswerInfo holds what an endpoint states in the headers of an answer.
type AnswerInfo struct {
	// ID identifies the attempt that is answered, or is "" if the endpoint doesn't say.
	ID string
	// Signed means that the answer carries the endpoint's signature.
	Signed bool
	// NotRun means that the endpoint did not run the request, and Misdirected that it is not the
	// endpoint that the request was meant for.
	NotRun, Misdirected bool
	// Cold is how long the endpoint stays cold; zero if it doesn't say.
	Cold time.Duration
	// Limit is the number of requests per second that the endpoint accepts from all entries
	// together; negative if it doesn't say.
	Limit float64
	// Leaving means that the endpoint is shutting down, and accepts no new requests from an entry
	// to which it has said so.
	Leaving bool
	// Rest is how long the endpoint wants no further request from this entry; zero if it doesn't
	// say.
	Rest time.Duration
}
