package demo

import (
	"strings"

	"github.com/hyssoprelay/hyssoprelay/internal/platform/config"
	"github.com/hyssoprelay/hyssoprelay/internal/standin/engine"
)

// EntriesOf returns the entries of the data centre, or all for "".
func (s *System) EntriesOf(dc string) []*Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	var es []*Entry
	for _, e := range s.entries {
		if dc == "" || e.DataCentre == dc {
			es = append(es, e)
		}
	}
	return es
}

// Agents returns all agents.
func (s *System) Agents() []*Agent {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*Agent(nil), s.agents...)
}

// Engine returns the stand-in of the endpoint's engine, or nil.
func (s *System) Engine(endpoint string) *engine.Engine {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.engines[endpoint]
}

// Runs returns how often each idempotency key has been run at any service.
func (s *System) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := map[string]int{}
	for _, v := range s.services {
		for k, n := range v.Counters().Runs {
			all[k] += n
		}
	}
	return all
}

// Serving returns the entries to which the platform's balancer would send
// callers: those whose /readyz says yes.
func (s *System) Serving() []*Entry {
	var es []*Entry
	for _, e := range s.EntriesOf("") {
		if !e.Process.Leaving() && e.Process.Ready() == nil {
			es = append(es, e)
		}
	}
	return es
}

// agent returns the agent beside the endpoint.
func (s *System) agent(endpoint string) *Agent {
	for _, a := range s.Agents() {
		if a.Name == endpoint {
			return a
		}
	}
	return nil
}

// begun returns how many requests have begun at the data centre's endpoints.
func (s *System) begun(dc string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for name, e := range s.engines {
		if strings.HasPrefix(name, dc+"-") {
			n += len(e.Counters().Ran)
		}
	}
	for name, v := range s.services {
		if strings.HasPrefix(name, dc+"-") {
			n += v.Counters().Requests
		}
	}
	return n
}

// runningIn returns how many attempts the data centre's agents have not ended.
func (s *System) runningIn(dc string) int {
	n := 0
	for _, a := range s.Agents() {
		if a.DataCentre == dc {
			n += a.Process.Running()
		}
	}
	return n
}

// allOut reports whether each process knows that the data centre is out.
func (s *System) allOut(dc string) bool {
	for _, e := range s.EntriesOf("") {
		if !e.Process.IsOut(config.DataCentre(dc)) {
			return false
		}
	}
	for _, a := range s.Agents() {
		if a.DataCentre == dc && !a.Process.OutOfService() {
			return false
		}
	}
	return true
}

// Ran returns how often each request id has been run at any endpoint.
func (s *System) Ran() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := map[string]int{}
	for _, v := range s.services {
		addRuns(all, v.Counters().Ran)
	}
	for _, e := range s.engines {
		addRuns(all, e.Counters().Ran)
	}
	return all
}

// addRuns counts runs under the callers' request ids, to which an agent adds
// the account.
func addRuns(all, ran map[string]int) {
	for id, n := range ran {
		if i := strings.LastIndexByte(id, '.'); i >= 0 {
			id = id[:i]
		}
		all[id] += n
	}
}

// Breaches returns the engines that were given more than they bear in cold
// start, and how often.
func (s *System) Breaches() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := map[string]int{}
	for name, e := range s.engines {
		if n := e.Counters().Breaches; n > 0 {
			all[name] = n
		}
	}
	return all
}
