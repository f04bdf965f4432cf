package entry

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/placement"
	"github.com/hyssoprelay/hyssoprelay/internal/peer"
	"github.com/hyssoprelay/hyssoprelay/internal/peer/peerpb"
	"github.com/hyssoprelay/hyssoprelay/internal/platform/config"
	"github.com/hyssoprelay/hyssoprelay/internal/platform/vmlist"
	"github.com/hyssoprelay/hyssoprelay/internal/timeline"
)

const (
	// reportEvery is the least time between two reports of an agent. At the
	// target's 128 agents a subset and some 120 bytes a report it bounds the
	// reports that an entry takes in.
	reportEvery = 50 * time.Millisecond
	// silentAfter is how long an agent may send nothing before it counts as
	// frozen or cut off: four of its heartbeats.
	silentAfter = 2 * time.Second
	// watchRetry is the pause before an agent is watched again.
	watchRetry = 100 * time.Millisecond
)

// member is an agent that the entry listens to.
type member struct {
	addr   string
	cancel context.CancelFunc
	done   chan struct{}

	// members.mu guards the rest.
	endpoint   string
	dataCentre string
	heard      time.Time
	last       *peerpb.LoadReport
	// differs is since when the agent's configuration differs, or zero.
	differs time.Time
	// attempts holds how to end each attempt that waits for this agent.
	attempts map[*job]context.CancelCauseFunc
}

// end stops listening to the agent.
func (one *member) end() {
	one.cancel()
	<-one.done
}

// members are the agents of the entry's subset. Set the exported fields before
// Run.
type members struct {
	conns *peer.ConnPool
	store *config.Store
	clock *timeline.Clock
	ring  *timeline.Ring
	name  string
	now   func() time.Time
	// report takes in what an agent said, and lost that it can't be reached.
	report func(placement.Report, time.Time)
	lost   func(endpoint string)
	pushes metrics.Counter
	// others returns how many other entries there are.
	others func() int

	mu      sync.Mutex
	byAddr  map[string]*member
	leaving map[string]bool
}

// set makes addrs the agents that are listened to.
func (m *members) set(ctx context.Context, addrs []string) {
	want := map[string]bool{}
	for _, a := range addrs {
		want[a] = true
	}
	m.mu.Lock()
	if m.byAddr == nil {
		m.byAddr = map[string]*member{}
	}
	var gone []*member
	for a, one := range m.byAddr {
		if !want[a] {
			gone = append(gone, one)
			delete(m.byAddr, a)
		}
	}
	for a := range want {
		if m.byAddr[a] == nil {
			m.byAddr[a] = m.watchMember(ctx, a)
		}
	}
	m.mu.Unlock()
	for _, one := range gone {
		one.end()
		m.conns.Remove(one.addr)
		m.drop(one)
	}
}

// observations returns the VMs whose streams are live.
func (m *members) observations() []vmlist.Observation {
	m.mu.Lock()
	defer m.mu.Unlock()
	var all []vmlist.Observation
	for addr, one := range m.byAddr {
		if one.last == nil {
			continue
		}
		vm := vmlist.NewVM(one.endpoint, vmlist.Agent, one.dataCentre, addr, vmlist.Live)
		all = append(all, vmlist.Observation{VM: vm, HasStream: true, Leaving: one.last.GetLeaving()})
	}
	return all
}

// setLeaving notes which agents' VMs are leaving by the platform's list, and
// stops giving them work also where the agent has not been told yet.
func (m *members) setLeaving(addrs []string) {
	now := m.now()
	m.mu.Lock()
	m.leaving = map[string]bool{}
	var told []*peerpb.LoadReport
	for _, a := range addrs {
		m.leaving[a] = true
		if one := m.byAddr[a]; one != nil && one.last != nil {
			told = append(told, one.last)
		}
	}
	m.mu.Unlock()
	for _, r := range told {
		p := reportOf(r, now)
		p.Draining = true
		m.report(p, now)
	}
}

// stop ends listening to all agents.
func (m *members) stop() {
	m.mu.Lock()
	all := m.byAddr
	m.byAddr = nil
	m.mu.Unlock()
	for _, one := range all {
		one.end()
	}
}

func (m *members) watchMember(ctx context.Context, addr string) *member {
	ctx, cancel := context.WithCancel(ctx)
	one := &member{
		addr:     addr,
		cancel:   cancel,
		done:     make(chan struct{}, 1),
		attempts: map[*job]context.CancelCauseFunc{},
	}
	go func() {
		m.watch(ctx, one)
		one.done <- struct{}{}
	}()
	return one
}

func (m *members) addrs() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := make([]string, 0, len(m.byAddr))
	for a := range m.byAddr {
		all = append(all, a)
	}
	return all
}

// release lets the attempts that wait for an agent go on without its reports: the agent
// stops, and delivers their answers before that.
func (m *members) release(one *member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	one.attempts = map[*job]context.CancelCauseFunc{}
}

// drop forgets what an agent said that can't be heard any more, and ends the
// attempts that wait for it.
func (m *members) drop(one *member) {
	m.mu.Lock()
	name := one.endpoint
	one.endpoint = ""
	one.last = nil
	waiting := one.attempts
	one.attempts = map[*job]context.CancelCauseFunc{}
	moved := m.heardElsewhere(name)
	m.mu.Unlock()
	if name == "" {
		return
	}
	m.ring.Add(timeline.PeerLost, "", name, one.addr, 0, m.now())
	if !moved {
		m.lost(name)
	}
	for _, cancel := range waiting {
		cancel(errAgentSilent)
	}
}

// heardElsewhere reports whether another agent speaks for the endpoint: its VM
// was replaced, and the old one is gone.
func (m *members) heardElsewhere(endpoint string) bool {
	for _, one := range m.byAddr {
		if one.endpoint == endpoint {
			return true
		}
	}
	return false
}

// byEndpoint returns the address of the agent beside the endpoint.
func (m *members) byEndpoint(name string) (string, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for a, one := range m.byAddr {
		if one.endpoint == name {
			return a, true
		}
	}
	return "", false
}

// wait registers how to end an attempt when its agent falls silent, and
// returns how to take that back.
func (m *members) wait(addr string, j *job, cancel context.CancelCauseFunc) func() {
	m.mu.Lock()
	defer m.mu.Unlock()
	one := m.byAddr[addr]
	if one == nil {
		return func() {}
	}
	one.attempts[j] = cancel
	return func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(one.attempts, j)
	}
}

// reports returns the newest report of each agent that can be heard.
func (m *members) reports() []*peerpb.LoadReport {
	m.mu.Lock()
	defer m.mu.Unlock()
	var rs []*peerpb.LoadReport
	for _, one := range m.byAddr {
		if one.last != nil {
			rs = append(rs, one.last)
		}
	}
	return rs
}

func reportOf(r *peerpb.LoadReport, now time.Time) placement.Report {
	return placement.Report{
		Endpoint:        r.GetEndpoint(),
		Incarnation:     r.GetIncarnation(),
		DataCentre:      r.GetDataCentre(),
		Routes:          r.GetRoutes(),
		Allowance:       int(r.GetAllowance()),
		Capacity:        int(r.GetCapacity()),
		Running:         int(r.GetRunning()),
		CommittedTokens: r.GetCommittedTokens(),
		Cold:            r.GetCold(),
		Draining:        r.GetLeaving(),
		OutOfService:    r.GetOutOfService(),
		ValidAt:         now,
	}
}
