package ranker

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hyssoprelay/hyssoprelay/internal/boottime"
	"github.com/hyssoprelay/hyssoprelay/internal/fleet"
	"github.com/hyssoprelay/hyssoprelay/internal/fleet/fleetpb"
	"github.com/hyssoprelay/hyssoprelay/platform"
)

const (
	// agentBackoff is how long an agent that did not answer is not asked again, so
	// that polls do not wait for it each time.
	agentBackoff = time.Second
	// unresponsiveTimeout bounds a poll of an engine that did not answer the previous
	// poll either. Engines answer within about ten milliseconds, even over a new
	// connection, and while a step is held each poll stalls all streams.
	unresponsiveTimeout = 60 * time.Millisecond
	// defaultReportLag is the assumed age of an engine's report to another VM where
	// the configuration gives none, and reportLagMargin is added to either. Such
	// reports are some hundred milliseconds old.
	defaultReportLag = 300 * time.Millisecond
	reportLagMargin  = 100 * time.Millisecond
)

// agentFailure records that an agent did not answer.
type agentFailure struct {
	// retryAt is when the agent may be asked again.
	retryAt time.Time
	// engineFailed reports that the agent's engine did not answer either.
	engineFailed bool
}

// pollOptions selects what a poll returns besides the state.
type pollOptions struct {
	counts, lists bool
	// experts, unless 0, asks for sums of counts and gives the number of experts per
	// set.
	experts int
	// leader identifies the agent on whose behalf the poll is made.
	leader *fleetpb.Leader
}

// rankReport is the report of one engine and the way by which it was obtained.
type rankReport struct {
	engineReport
	// agent is the agent beside the engine, or nil if the engine was polled without
	// it.
	agent *fleet.Member
	// delegate is the agent that forwarded the poll, or nil.
	delegate *fleet.Member
}

// poller polls engines through the agents beside them. Set the exported fields before
// the first call. It is safe for concurrent use.
type poller struct {
	Ranker *Ranker
	// AgentTimeout bounds a call to an agent, EngineTimeout one to the engine of an
	// agent that does not answer.
	AgentTimeout, EngineTimeout time.Duration

	counts   countDecoder
	mu       sync.Mutex // guards all below
	engines  map[string]*platform.Engine
	failures map[string]agentFailure
	// mostFailed reports that more than half of the agents failed in the last poll.
	mostFailed bool
}

func newPoller(r *Ranker, agentTimeout, engineTimeout time.Duration) poller {
	return poller{
		Ranker: r, AgentTimeout: agentTimeout, EngineTimeout: engineTimeout,
		engines: map[string]*platform.Engine{}, failures: map[string]agentFailure{},
	}
}

// pollResult is a report, or the error of the poll.
type pollResult struct {
	rankReport
	err error
}

// poll polls the engines of agents through these agents, or directly if an agent does
// not answer: its VM may be frozen or its process gone while the engine runs, is
// armed or holds up the group. Direct polls and orders from other VMs are charged
// for, so they are the second choice. opts holds the options for each agent.
//
// When more than half of the agents fail at once, the likely cause is that the link
// to them is congested or cut. Polling all their engines over new connections would
// congest it further, and no poll would ever return all ranks. The first such poll
// therefore neither polls engines directly nor backs off from any agent.
func (p *poller) poll(ctx context.Context, agents []*fleet.Member, opts []pollOptions) []pollResult {
	polledAt := boottime.Now()
	out := make([]pollResult, len(agents))
	failed := make([]bool, len(agents))
	parallel(len(agents), func(i int) {
		out[i], failed[i] = p.pollAgent(ctx, agents[i], opts[i], polledAt)
	})
	if p.suspectsOwnLink(agents, failed) {
		return out
	}
	parallel(len(agents), func(i int) {
		if out[i].err != nil && agents[i].Name != p.Ranker.Settings.Name {
			out[i] = p.pollWithoutAgent(ctx, agents[i], opts[i], out[i].err, failed[i])
		}
	})
	return out
}

// parallel calls f with each number from 0 to n-1, concurrently, and waits for all
// calls.
func parallel(n int, f func(i int)) {
	var wg sync.WaitGroup
	for i := range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			f(i)
		}()
	}
	wg.Wait()
}

// errAgentBackoff is the result for an agent that was not asked because it failed
// less than agentBackoff ago.
var errAgentBackoff = errors.New("agent failed recently and is not asked again yet")

// pollAgent polls one engine through its agent. It also reports whether the agent was
// asked and failed to answer.
func (p *poller) pollAgent(ctx context.Context, m *fleet.Member, opts pollOptions, polledAt time.Time) (pollResult, bool) {
	if m.Name == p.Ranker.Settings.Name {
		report, err := queryEngine(ctx, p.Ranker.engine, opts)
		if opts.experts > 0 && err == nil {
			report.sums = p.Ranker.localSums(report, opts.experts, polledAt)
		}
		report.state.AsOf = polledAt
		return pollResult{rankReport: rankReport{engineReport: report, agent: m}, err: err}, false
	}
	if !polledAt.After(p.failureOf(m.Name).retryAt) {
		return pollResult{err: errAgentBackoff}, false
	}
	report, err := p.queryAgent(ctx, m, opts)
	report.state.AsOf = polledAt
	return pollResult{rankReport: report, err: err}, err != nil
}

// suspectsOwnLink reports whether more than half of the agents failed, and did not
// already do so in the previous poll.
func (p *poller) suspectsOwnLink(agents []*fleet.Member, failed []bool) bool {
	n := 0
	for _, isFailed := range failed {
		if isFailed {
			n++
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if 2*n <= len(agents) {
		p.mostFailed = false
		return false
	}
	first := !p.mostFailed
	p.mostFailed = true
	return first
}

// pollWithoutAgent polls an engine whose agent has no result. If failed is set, the
// agent failed in this poll and is not asked again for agentBackoff.
func (p *poller) pollWithoutAgent(ctx context.Context, m *fleet.Member, opts pollOptions, cause error, failed bool) pollResult {
	if failed {
		p.backOff(m, cause)
	}
	timeout := p.EngineTimeout
	if p.failureOf(m.Name).engineFailed {
		timeout = unresponsiveTimeout
	}
	report, err := p.pollEngine(ctx, m, opts.lists, timeout)
	p.setEngineFailed(m.Name, err != nil)
	return pollResult{rankReport: report, err: err}
}

// pollEngine polls an engine without the agent beside it. What an engine reports to
// another VM is older than the time of the poll, see term.withReportLag.
func (p *poller) pollEngine(ctx context.Context, m *fleet.Member, lists bool, timeout time.Duration) (rankReport, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	polledAt := boottime.Now()
	report, err := queryEngine(ctx, p.engineAt(m.Endpoint), pollOptions{lists: lists})
	report.state.AsOf = polledAt
	return rankReport{engineReport: report}, err
}

func (p *poller) queryAgent(ctx context.Context, m *fleet.Member, opts pollOptions) (rankReport, error) {
	ctx, cancel := context.WithTimeout(ctx, p.AgentTimeout)
	defer cancel()
	conn, err := p.Ranker.conns.Get(m.Address)
	if err != nil {
		return rankReport{}, err
	}
	resp, err := fleetpb.NewAgentClient(conn).Look(ctx, &fleetpb.LookRequest{
		Counts: opts.counts, Lists: opts.lists, Experts: uint32(opts.experts), Counted: p.counts.lastID(m.Name), Leader: opts.leader,
	})
	if err != nil {
		return rankReport{}, err
	}
	report := reportFromProto(resp, m.Endpoint)
	report.counts = p.counts.decode(m.Name, resp)
	return rankReport{engineReport: report, agent: m}, nil
}

func (p *poller) failureOf(agent string) agentFailure {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.failures[agent]
}

// setEngineFailed records whether the engine of a failed agent also failed to answer.
func (p *poller) setEngineFailed(agent string, failed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	failure := p.failures[agent]
	failure.engineFailed = failed
	p.failures[agent] = failure
}

// expectFailure records an agent and its engine as failed in advance. It is called for
// a previous leader that did not release its lease: its VM is most likely
// unreachable, and the first polls of the new term need not wait for it.
func (p *poller) expectFailure(agent string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failures[agent] = agentFailure{retryAt: now.Add(agentBackoff), engineFailed: true}
}

func (p *poller) backOff(m *fleet.Member, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failures[m.Name] = agentFailure{retryAt: boottime.Now().Add(agentBackoff)}
	p.Ranker.conns.RemoveUnresponsive(m.Address)
	p.Ranker.Log.WithFields(logrus.Fields{"dependency": "agent", "agent": m.Name, "cause": err.Error()}).Warn("agent does not answer, its engine is asked directly")
}

// engineAt returns the client for an engine on another VM.
func (p *poller) engineAt(addr string) *platform.Engine {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.engines[addr]
	if e == nil {
		e = &platform.Engine{Addr: addr, Timeout: max(engineTimeout, p.EngineTimeout)}
		e.Open()
		p.engines[addr] = e
	}
	return e
}
