package placement

import (
	"time"

	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// Report is the state of one endpoint as its agent tells it.
type Report struct {
	Endpoint string
	// Incarnation grows with each start of the agent; reports of an older one
	// are ignored.
	Incarnation uint64
	DataCentre  string
	// Routes names the models and services that the endpoint serves.
	Routes []string
	// Allowance is how many requests the endpoint bears at once now, and
	// Capacity how many it bears when warm.
	Allowance int
	Capacity  int
	// Running and CommittedTokens count the work of all entries.
	Running         int
	CommittedTokens uint64
	// Cold, Leaving and Out say that the endpoint is in cold start, is leaving,
	// or has been taken out of service.
	Cold    bool
	Leaving bool
	Out     bool
	// At is when the report was true, by the clock of the entry. Zero means
	// unknown, and then the load in the report counts as unknown.
	At time.Time
}

// Query is what a choice needs to know about one attempt.
type Query struct {
	Route string
	// Tokens is prompt plus expected output tokens.
	Tokens int
	// Prefix names the prompt's prefix; zero means none is known.
	Prefix uint64
	// Tried names endpoints that earlier attempts of the request have used.
	Tried []string
	// RunOnce keeps the request off endpoints that are only being probed.
	RunOnce bool
}

// Choice is a chosen endpoint.
type Choice struct {
	Endpoint    string
	Incarnation uint64
	DataCentre  string
	// Affine says that the prefix decided; Probe that the endpoint is slow and
	// was chosen to see whether it still is.
	Affine bool
	Probe  bool
}

// reasons ranks why no endpoint could be chosen; the most hopeful is reported.
var reasons = [...]result.Code{
	result.NoEndpoint,
	result.OutOfService,
	result.EndpointLeaving,
	result.EndpointCold,
	result.EndpointBusy,
}

// Positions in reasons.
const (
	noEndpoint = iota
	outOfService
	leaving
	cold
	busy
	eligible
)
