package entry

import (
	"sync"
	"time"
)

// paceWeight is the part of a new measurement in the mean: about the last
// twenty answers count.
const paceWeight = 0.05

// pace estimates how long a request runs from how long others of its route
// ran for each token, so that admission can tell long work from short.
type pace struct {
	mu     sync.Mutex
	routes map[string]float64 // seconds a token
}

// expected returns the expected running time, or zero when nothing is known.
func (p *pace) expected(route string, tokens int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration(p.routes[route] * float64(max(1, tokens)) * float64(time.Second))
}

// ended records an answer that was whole.
func (p *pace) ended(route string, tokens int, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.routes == nil {
		p.routes = map[string]float64{}
	}
	one := took.Seconds() / float64(max(1, tokens))
	old, ok := p.routes[route]
	if !ok {
		p.routes[route] = one
		return
	}
	p.routes[route] = old + paceWeight*(one-old)
}
