package placement

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Defaults of the Picture's fields.
const (
	DefaultStaleAfter  = 5 * time.Second
	DefaultSlowStart   = 10 * time.Second
	DefaultProbeEvery  = 2 * time.Second
	DefaultDraws       = 4
	DefaultSpill       = 0.15
	DefaultAffineBound = 1.25
)

// Picture is one entry's view of its endpoints. Its exported fields are set
// before the first call; zero values mean the defaults.
type Picture struct {
	// DataCentre is the entry's own.
	DataCentre string
	// Entries is how many entries hear the same endpoints. Each takes only its
	// part of what a cold endpoint has left.
	Entries int
	// Seed makes the draws repeatable. Entries use different seeds.
	Seed uint64
	// StaleAfter is the age from which a report counts as unknown.
	StaleAfter time.Duration
	// SlowStart is the time over which a returning endpoint is given its full
	// part of the load.
	SlowStart time.Duration
	// ProbeEvery is how often a slow endpoint without work is tried again.
	ProbeEvery time.Duration
	// Draws is how many endpoints are compared for a choice.
	Draws int
	// Spill is how much more pressed the own data centre must be before a
	// request goes to another, as a part of an endpoint's capacity.
	Spill float64
	// AffineBound is how much more than the mean pressure an endpoint may bear
	// to keep a prefix. Less breaks up the caches, more makes one endpoint hot
	// for a popular prefix.
	AffineBound float64

	endpoints map[string]*endpoint
	routes    map[string]*routeSet
	out       map[string]bool
	outDC     map[string]bool
	rng       uint64
	tokens    float64
}

func (p *Picture) init() {
	if p.endpoints != nil {
		return
	}
	p.endpoints = make(map[string]*endpoint)
	p.routes = make(map[string]*routeSet)
	p.out = make(map[string]bool)
	p.outDC = make(map[string]bool)
	p.rng = mix(p.Seed + 1)
	p.tokens = firstMeanTokens
	if p.Entries <= 0 {
		p.Entries = 1
	}
	if p.StaleAfter <= 0 {
		p.StaleAfter = DefaultStaleAfter
	}
	if p.SlowStart <= 0 {
		p.SlowStart = DefaultSlowStart
	}
	if p.ProbeEvery <= 0 {
		p.ProbeEvery = DefaultProbeEvery
	}
	if p.Draws <= 0 {
		p.Draws = DefaultDraws
	}
	if p.Spill <= 0 {
		p.Spill = DefaultSpill
	}
	if p.AffineBound <= 0 {
		p.AffineBound = DefaultAffineBound
	}
}

// firstMeanTokens is the mean request until some have been seen.
const firstMeanTokens = 500

// Update takes in a report. It returns false when the report is older than
// what is known and has been ignored.
func (p *Picture) Update(r Report, now time.Time) bool {
	p.init()
	if r.Endpoint == "" {
		return false
	}
	e := p.endpoints[r.Endpoint]
	if e == nil {
		e = &endpoint{name: r.Endpoint, hash: xxhash.Sum64String(r.Endpoint), returned: now}
		p.endpoints[r.Endpoint] = e
	}
	if r.Incarnation < e.incarnation {
		return false
	}
	if r.Incarnation > e.incarnation {
		e.restart(r.Incarnation, now)
	} else if !r.At.IsZero() && r.At.Before(e.reported) {
		return false
	}
	was := e.unavailable()
	e.take(r, p.DataCentre)
	e.ordered = p.out[r.Endpoint] || p.outDC[r.DataCentre]
	if was && !e.unavailable() {
		e.returned = now
	}
	p.join(e, r.Routes)
	return true
}

// Remove forgets an endpoint whose VM has gone. Attempts that are still open
// may be ended afterwards without harm.
func (p *Picture) Remove(name string) {
	p.init()
	e := p.endpoints[name]
	if e == nil {
		return
	}
	delete(p.endpoints, name)
	p.join(e, nil)
}

// SetOut puts the operators' orders into force: which endpoints and which data
// centres are out of service. Both lists are whole.
func (p *Picture) SetOut(endpoints, dataCentres []string, now time.Time) {
	p.init()
	p.out = set(endpoints)
	p.outDC = set(dataCentres)
	for _, e := range p.endpoints {
		was := e.unavailable()
		e.ordered = p.out[e.name] || p.outDC[e.dataCentre]
		if was && !e.unavailable() {
			e.returned = now
		}
	}
}

func set(names []string) map[string]bool {
	m := make(map[string]bool, len(names))
	for _, n := range names {
		m[n] = true
	}
	return m
}

// join makes e a member of exactly the given routes.
func (p *Picture) join(e *endpoint, routes []string) {
	if equal(e.routes, routes) {
		return
	}
	for _, name := range e.routes {
		p.routes[name].drop(e)
	}
	e.routes = append([]string(nil), routes...)
	for _, name := range e.routes {
		s := p.routes[name]
		if s == nil {
			s = &routeSet{}
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

// Len returns how many endpoints are known.
func (p *Picture) Len() int { return len(p.endpoints) }

// Load returns the estimated number of streams at the endpoint and whether the
// endpoint is known and its report is recent.
func (p *Picture) Load(name string, now time.Time) (float64, bool) {
	e := p.endpoints[name]
	if e == nil {
		return 0, false
	}
	return e.streams(), e.fresh(now, p.StaleAfter)
}

// next returns a pseudo-random number (splitmix64).
func (p *Picture) next() uint64 {
	p.rng += 0x9e3779b97f4a7c15
	return mix(p.rng)
}

func mix(x uint64) uint64 {
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// noteTokens follows the mean number of tokens of a request.
func (p *Picture) noteTokens(n int) {
	const step = 0.01
	p.tokens += step * (math.Max(1, float64(n)) - p.tokens)
}
