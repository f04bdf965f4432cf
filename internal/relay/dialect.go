package relay

import (
	"net/http"
	"time"
)

// Dialect translates the headers of requests and answers.
type Dialect interface {
	// ReadRequest reads what a caller's headers say.
	ReadRequest(h http.Header) Facts
	// WriteRequest changes a caller's headers into those for an endpoint.
	WriteRequest(h http.Header, s Stamp)
	// ReadAnswer reads what an endpoint's headers say.
	ReadAnswer(status int, h http.Header) Told
}

// Facts is what a caller says of its request.
type Facts struct {
	// ID names this attempt of the caller.
	ID string
	// Key is the account's key.
	Key string
	// TimeLeft is how long the caller waits, or zero if it doesn't say.
	TimeLeft time.Duration
	// Resume is the id of the last event that the caller has, or "".
	Resume string
	// PromptTokens and OutputTokens are the size of a generation.
	PromptTokens, OutputTokens int
	// Subject names the request's own part of its prompt.
	Subject string
}

// Stamp is what the relay says to an endpoint of a request.
type Stamp struct {
	// Account is the name of the caller's account, or "".
	Account string
	// Endpoint is the id of the endpoint that the request is for; another one
	// at the same address does not run it.
	Endpoint string
	// Left is how long the endpoint may work.
	Left time.Duration
	// Urgency orders requests at the endpoint; 0 goes first, 9 last.
	Urgency int
	// Resume is the id of the last event that the caller has, or "".
	Resume string
}

// Told is what an endpoint says in an answer's head.
type Told struct {
	// ID is the attempt that is answered, or "" if the endpoint doesn't say.
	ID string
	// Signed says that the answer bears the endpoint's signature.
	Signed bool
	// NotRun says that the endpoint did not run the request, and Wrong that it
	// is not the endpoint that was asked for.
	NotRun, Wrong bool
	// Cold is how long the endpoint stays cold; zero if it doesn't say.
	Cold time.Duration
	// Limit is how many requests a second the endpoint takes from all entries together;
	// negative if it doesn't say.
	Limit float64
}
