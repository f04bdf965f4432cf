package placement

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Default values of the fields of Picture.
const (
	DefaultStaleAfter    = 5 * time.Second
	DefaultSlowStart     = 10 * time.Second
	DefaultProbeInterval = 2 * time.Second
	DefaultSamples       = 4
	DefaultRemotePenalty = 0.15
	DefaultAffinityBound = 1.25
)

// Picture is one entry's view of its endpoints. The exported fields must be set
// before the first call; zero values select the defaults.
type Balancer struct {
	// DataCentre is the data centre of the entry.
	DataCentre string
	// Entries is the number of entries that send requests to the same
	// endpoints. Each uses only its share of the free allowance of a cold
	// endpoint.
	Entries int
	// Seed makes the random sampling reproducible. Entries must use different
	// seeds.
	Seed uint64
	// StaleAfter is the age beyond which a report is outdated and the load of
	// its endpoint unknown.
	StaleAfter time.Duration
	// SlowStart is the time over which the load of an endpoint that becomes
	// available is ramped up.
	SlowStart time.Duration
	// ProbeEvery is the interval between probes of a slow endpoint without
	// load.
	ProbeInterval time.Duration
	// Draws is the number of random endpoints that are compared for each
	// choice.
	Samples int
	// Spill is the penalty on endpoints of other data centres: the difference
	// in load, as a fraction of the capacity of an endpoint, from which a
	// request goes to another data centre.
	RemotePenalty float64
	// AffineBound is the bound on the load score of the endpoint that keeps a
	// prefix, as a factor of the mean. A lower value disperses the cached
	// prefixes, a higher one overloads single endpoints with popular prefixes.
	AffinityBound float64

	endpoints      map[string]*endpoint
	routes         map[string]*route
	outEndpoints   map[string]bool
	outDataCentres map[string]bool
	rngState       uint64
	meanTokens     float64
}

func (p *Balancer) init() {
	if p.endpoints != nil {
		return
	}
	p.endpoints = make(map[string]*endpoint)
	p.routes = make(map[string]*route)
	p.outEndpoints = make(map[string]bool)
	p.outDataCentres = make(map[string]bool)
	p.rngState = mix64(p.Seed + 1)
	p.meanTokens = initialMeanTokens
	if p.Entries <= 0 {
		p.Entries = 1
	}
	if p.StaleAfter <= 0 {
		p.StaleAfter = DefaultStaleAfter
	}
	if p.SlowStart <= 0 {
		p.SlowStart = DefaultSlowStart
	}
	if p.ProbeInterval <= 0 {
		p.ProbeInterval = DefaultProbeInterval
	}
	if p.Samples <= 0 {
		p.Samples = DefaultSamples
	}
	if p.RemotePenalty <= 0 {
		p.RemotePenalty = DefaultRemotePenalty
	}
	if p.AffinityBound <= 0 {
		p.AffinityBound = DefaultAffinityBound
	}
}

// initialMeanTokens is the assumed mean number of tokens per request until
// requests have been observed.
const initialMeanTokens = 500

// Update applies a report. It returns false if it ignored the report because it
// names no endpoint or is older than a previous one.
func (p *Balancer) Update(r Report, now time.Time) bool {
	p.init()
	if r.Endpoint == "" {
		return false
	}
	e := p.endpoints[r.Endpoint]
	if e == nil {
		e = &endpoint{name: r.Endpoint, hash: xxhash.Sum64String(r.Endpoint), availableSince: now}
		p.endpoints[r.Endpoint] = e
	}
	if r.Incarnation < e.incarnation {
		return false
	}
	if r.Incarnation > e.incarnation {
		e.reset(r.Incarnation, now)
	} else if !r.ValidAt.IsZero() && r.ValidAt.Before(e.reportedAt) {
		return false
	}
	wasUnavailable := e.unavailable()
	e.applyReport(r, p.DataCentre)
	e.configuredOut = p.outEndpoints[r.Endpoint] || p.outDataCentres[r.DataCentre]
	if wasUnavailable && !e.unavailable() {
		e.availableSince = now
	}
	p.setRoutes(e, r.Routes)
	return true
}

// Remove removes an endpoint whose VM has gone. Open attempts on it may still
// be ended afterwards.
func (p *Balancer) Remove(name string) {
	p.init()
	e := p.endpoints[name]
	if e == nil {
		return
	}
	delete(p.endpoints, name)
	p.setRoutes(e, nil)
}

// SetOut sets the endpoints and the data centres that operators have taken out
// of service. The lists replace those of earlier calls.
func (p *Balancer) SetOutOfService(endpoints, dataCentres []string, now time.Time) {
	p.init()
	p.outEndpoints = toSet(endpoints)
	p.outDataCentres = toSet(dataCentres)
	for _, e := range p.endpoints {
		wasUnavailable := e.unavailable()
		e.configuredOut = p.outEndpoints[e.name] || p.outDataCentres[e.dataCentre]
		if wasUnavailable && !e.unavailable() {
			e.availableSince = now
		}
	}
}

func toSet(names []string) map[string]bool {
	m := make(map[string]bool, len(names))
	for _, n := range names {
		m[n] = true
	}
	return m
}

// setRoutes makes e serve exactly the given routes.
func (p *Balancer) setRoutes(e *endpoint, routes []string) {
	if equal(e.routes, routes) {
		return
	}
	for _, name := range e.routes {
		p.routes[name].remove(e)
	}
	e.routes = append([]string(nil), routes...)
	for _, name := range e.routes {
		s := p.routes[name]
		if s == nil {
			s = &route{}
			p.routes[name] = s
		}
		s.add(e)
	}
}

func equal(a, b []string) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// Len returns the number of known endpoints.
func (p *Balancer) Len() int { return len(p.endpoints) }

// Load returns the estimated number of streams on the endpoint, and whether the
// endpoint is known and its report is recent.
func (p *Balancer) Load(name string, now time.Time) (float64, bool) {
	e := p.endpoints[name]
	if e == nil {
		return 0, false
	}
	return e.streams(), e.hasRecentReport(now, p.StaleAfter)
}

// nextRandom returns a pseudo-random number (SplitMix64).
func (p *Balancer) nextRandom() uint64 {
	p.rngState += 0x9e3779b97f4a7c15
	return mix64(p.rngState)
}

// mix64 is the output function of SplitMix64. It is also used to hash integers.
func mix64(x uint64) uint64 {
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// observeTokens updates the moving average of the number of tokens per request.
func (p *Balancer) observeTokens(n int) {
	const step = 0.01
	p.meanTokens += step * (math.Max(1, float64(n)) - p.meanTokens)
}
