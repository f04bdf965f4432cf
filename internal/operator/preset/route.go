package preset

import (
	"path"
	"time"
)

// Route is what a request asks for by name: a Model or a Service.
type Route interface {
	// Name returns the route's name.
	Name() string
	// Serves reports whether the endpoint of this name serves the route.
	Serves(endpoint string) bool
	// Repeatable reports whether a request may be run more than once.
	Repeatable() bool
	// Capacity returns how much one endpoint bears.
	Capacity() Capacity
	// DefaultDeadline returns the time that a request has which states none.
	DefaultDeadline() time.Duration

	isRoute()
}

// Capacity says how many requests one endpoint runs at once: from coldStart
// after a start up to concurrency, in steps that completed requests earn.
type Capacity struct {
	coldStart       int
	concurrency     int
	rampStep        int
	rampCompletions int
}

// ColdStart returns the concurrency of an endpoint in cold start.
func (c Capacity) ColdStart() int { return c.coldStart }

// Concurrency returns the concurrency of a warm endpoint.
func (c Capacity) Concurrency() int { return c.concurrency }

// RampStep returns by how much the allowance grows in one step.
func (c Capacity) RampStep() int { return c.rampStep }

// RampCompletions returns how many requests must complete for one step.
func (c Capacity) RampCompletions() int { return c.rampCompletions }

// common is what models and services have alike.
type common struct {
	name     string
	patterns []string
	capacity Capacity
	deadline time.Duration
}

// Name returns the route's name.
func (c common) Name() string { return c.name }

// Endpoints returns the patterns of endpoint names, in the syntax of
// path.Match.
func (c common) Endpoints() []string { return append([]string(nil), c.patterns...) }

// Serves reports whether the endpoint of this name serves the route.
func (c common) Serves(endpoint string) bool {
	for _, p := range c.patterns {
		if ok, err := path.Match(p, endpoint); ok && err == nil {
			return true
		}
	}
	return false
}

// Capacity returns how much one endpoint bears.
func (c common) Capacity() Capacity { return c.capacity }

// DefaultDeadline returns the time that a request has which states none.
func (c common) DefaultDeadline() time.Duration { return c.deadline }

// Model is a model that engines serve. Its requests may always be repeated,
// because an engine's answer changes nothing outside of it.
type Model struct {
	common
	maxOutputTokens int
}

// Repeatable reports true.
func (Model) Repeatable() bool { return true }

// MaxOutputTokens returns the most output tokens that a request may ask for.
func (m Model) MaxOutputTokens() int { return m.maxOutputTokens }

func (Model) isRoute() {}

// Service is a plain service beside the engines.
type Service struct {
	common
	repeatable bool
	path       string
}

// Repeatable reports whether a request may be run more than once.
func (s Service) Repeatable() bool { return s.repeatable }

// Path returns the path at the endpoint; a request's own path is put after it.
func (s Service) Path() string { return s.path }

func (Service) isRoute() {}
