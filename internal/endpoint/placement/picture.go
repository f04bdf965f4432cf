package placement

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Default values of the fields of Balancer.
const (
	DefaultStaleAfter    = 5 * time.Second
	DefaultSlowStart     = 10 * time.Second
	DefaultProbeInterval = 2 * time.Second
	DefaultSamples       = 4
	DefaultRemotePenalty = 0.15
	DefaultAffinityBound = 1.25
)

// Balancer is one entry's view of its endpoints. The exported fields must be
// set before the first call; zero values select the defaults.
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
	// ProbeInterval is the interval between probes of a slow endpoint without
	// load.
	ProbeInterval time.Duration
	// Samples is the number of random endpoints that are compared for each
	// choice.
	Samples int
	// RemotePenalty is the penalty on endpoints of other data centres: the
	// difference in load, as a fraction of the capacity of an endpoint, from
	// which a request goes to another data centre.
	RemotePenalty float64
	// AffinityBound is the load score, as a multiple of the mean, up to which an
	// endpoint gets all requests with the same prefix. A lower value disperses
	// the cached prefixes, a higher one overloads single endpoints with popular
	// prefixes.
	AffinityBound float64

	endpoints      map[string]*endpoint
	routes         map[string]*route
	outEndpoints   map[string]bool
	outDataCentres map[string]bool
	rngState       uint64
	meanTokens     float64
}

func (b *Balancer) init() {
	if b.endpoints != nil {
		return
	}
	b.endpoints = make(map[string]*endpoint)
	b.routes = make(map[string]*route)
	b.outEndpoints = make(map[string]bool)
	b.outDataCentres = make(map[string]bool)
	b.rngState = mix64(b.Seed + 1)
	b.meanTokens = initialMeanTokens
	if b.Entries <= 0 {
		b.Entries = 1
	}
	if b.StaleAfter <= 0 {
		b.StaleAfter = DefaultStaleAfter
	}
	if b.SlowStart <= 0 {
		b.SlowStart = DefaultSlowStart
	}
	if b.ProbeInterval <= 0 {
		b.ProbeInterval = DefaultProbeInterval
	}
	if b.Samples <= 0 {
		b.Samples = DefaultSamples
	}
	if b.RemotePenalty <= 0 {
		b.RemotePenalty = DefaultRemotePenalty
	}
	if b.AffinityBound <= 0 {
		b.AffinityBound = DefaultAffinityBound
	}
}

// initialMeanTokens is the assumed mean number of tokens per request until
// requests have been observed.
const initialMeanTokens = 500

// Update applies a report. It returns false if it ignored the report because it
// names no endpoint or is older than a previous one.
func (b *Balancer) Update(r Report, now time.Time) bool {
	b.init()
	if r.Endpoint == "" {
		return false
	}
	e := b.endpoints[r.Endpoint]
	if e == nil {
		e = &endpoint{name: r.Endpoint, hash: xxhash.Sum64String(r.Endpoint), availableSince: now}
		b.endpoints[r.Endpoint] = e
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
	before := e.otherStreams
	e.applyReport(r, b.DataCentre)
	if n := e.otherStreams - before; n > 0 {
		e.prompts.noteOthers(n, b.meanTokens, now)
	}
	e.configuredOut = b.outEndpoints[r.Endpoint] || b.outDataCentres[r.DataCentre]
	if wasUnavailable && !e.unavailable() {
		e.availableSince = now
	}
	b.setRoutes(e, r.Routes)
	return true
}

// Remove removes an endpoint whose VM has gone. Open attempts on it may still
// be ended afterwards.
func (b *Balancer) Remove(name string) {
	b.init()
	e := b.endpoints[name]
	if e == nil {
		return
	}
	delete(b.endpoints, name)
	b.setRoutes(e, nil)
}

// SetOutOfService sets the endpoints and the data centres that operators have
// taken out of service. The lists replace those of earlier calls.
func (b *Balancer) SetOutOfService(endpoints, dataCentres []string, now time.Time) {
	b.init()
	b.outEndpoints = toSet(endpoints)
	b.outDataCentres = toSet(dataCentres)
	for _, e := range b.endpoints {
		wasUnavailable := e.unavailable()
		e.configuredOut = b.outEndpoints[e.name] || b.outDataCentres[e.dataCentre]
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
func (b *Balancer) setRoutes(e *endpoint, routes []string) {
	if equal(e.routes, routes) {
		return
	}
	for _, name := range e.routes {
		b.routes[name].remove(e)
	}
	e.routes = append([]string(nil), routes...)
	for _, name := range e.routes {
		rt := b.routes[name]
		if rt == nil {
			rt = &route{}
			b.routes[name] = rt
		}
		rt.add(e)
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
func (b *Balancer) Len() int { return len(b.endpoints) }

// Load returns the estimated number of streams on the endpoint, and whether the
// endpoint is known and its report is recent.
func (b *Balancer) Load(name string, now time.Time) (float64, bool) {
	e := b.endpoints[name]
	if e == nil {
		return 0, false
	}
	return e.streams(), e.hasRecentReport(now, b.StaleAfter)
}

// nextRandom returns a pseudo-random number (SplitMix64).
func (b *Balancer) nextRandom() uint64 {
	b.rngState += 0x9e3779b97f4a7c15
	return mix64(b.rngState)
}

// mix64 is the output function of SplitMix64. It is also used to hash integers.
func mix64(x uint64) uint64 {
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// observeTokens updates the moving average of the number of tokens per request.
func (b *Balancer) observeTokens(n int) {
	const step = 0.01
	b.meanTokens += step * (math.Max(1, float64(n)) - b.meanTokens)
}
