package placement

import (
	"time"

	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// Report is the state of one endpoint as reported by its agent.
type Report struct {
	Endpoint string
	// Incarnation grows with each start of the agent. Reports of an older
	// incarnation are ignored.
	Incarnation uint64
	DataCentre  string
	// Routes names the models and services that the endpoint serves.
	Routes []string
	// Allowance is the number of requests that the endpoint may run
	// concurrently now, and Capacity the number that it may run when warm.
	Allowance int
	Capacity  int
	// Running and CommittedTokens are the load from all entries.
	Running         int
	CommittedTokens uint64
	// Cold, Draining and OutOfService report that the endpoint is in cold start,
	// is draining before it leaves, or has been taken out of service.
	Cold         bool
	Draining     bool
	OutOfService bool
	// ValidAt is the time at which the report was valid, by the clock of the
	// entry. If it is zero, the load of the endpoint counts as unknown.
	ValidAt time.Time
}

// Query describes the attempt for which an endpoint is to be selected.
type Query struct {
	Route string
	// Tokens is the number of prompt tokens plus expected output tokens.
	Tokens int
	// PromptTokens is the number of prompt tokens if endpoints with equally many streams are told apart
	// by the prompt tokens that they have in progress, or zero.
	PromptTokens int
	// Prefix identifies the prefix of the prompt; zero means that none is known.
	Prefix uint64
	// Excluded names the endpoints that must not be selected, for example because
	// an earlier attempt of the request used them.
	Excluded []string
	// RunOnce means that the request must not run twice. It is never used as a
	// probe of a slow endpoint.
	RunOnce bool
}

// Choice is a selected endpoint.
type Choice struct {
	Endpoint    string
	Incarnation uint64
	DataCentre  string
	// ByAffinity means that the endpoint was selected for the prefix of the
	// prompt, and Probe that it is slow and was selected to see if it has
	// recovered.
	ByAffinity bool
	Probe      bool
}

// rejectionCodes are the reasons that no endpoint can be selected, ordered by
// how likely they are to pass. The last one that applies is reported.
var rejectionCodes = [...]result.Code{
	result.NoEndpoint,
	result.OutOfService,
	result.EndpointLeaving,
	result.EndpointCold,
	result.EndpointBusy,
}

// States of an endpoint. All but eligible are indexes into rejectionCodes.
const (
	noEndpoint = iota
	outOfService
	draining
	cold
	busy
	eligible
)
