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
	// passOver is how long an agent that did not answer is passed over, so
	// that each look does not wait for it again.
	passOver = time.Second
	// darkTimeout bounds a look at an engine that did not answer a moment ago
	// either. Engines answer in some ten milliseconds, also over a new
	// connection; while a step is held each look stalls all streams.
	darkTimeout = 60 * time.Millisecond
	// usualLag is how old a report to another VM may be where the configuration
	// doesn't say, and lagMargin what is added to what it says: reports are of
	// some hundred milliseconds ago.
	usualLag  = 300 * time.Millisecond
	lagMargin = 100 * time.Millisecond
)

// silence is that of an agent which did not answer.
type silence struct {
	// until is when it is asked again.
	until time.Time
	// dark says that its engine didn't answer either.
	dark bool
}

// wanted says what a look asks for besides the state.
type wanted struct {
	counts, lists bool
	// experts asks for sums of counts, of so many experts a set, unless it is 0.
	experts int
	// leader is for whom the look is.
	leader *fleetpb.Leader
}

// found is a look at one engine.
type found struct {
	look
	// agent is the one beside the engine, or nil when the engine was asked
	// without it.
	agent *fleet.Member
	// via is the delegate through which the agent was reached, or nil.
	via *fleet.Member
}

// looker looks at engines through the agents beside them. Set the exported fields
// before the first call. It is safe for concurrent use.
type looker struct {
	Ranker *Ranker
	// AgentTimeout bounds a call to an agent, and EngineTimeout one to the
	// engine of an agent that does not answer.
	AgentTimeout, EngineTimeout time.Duration

	heard  heardCounts
	mu     sync.Mutex // guards all below
	direct map[string]*platform.Engine
	silent map[string]silence
	// mostSilent says that most agents were silent at the last look.
	mostSilent bool
}

func newLooker(r *Ranker, agentTimeout, engineTimeout time.Duration) looker {
	return looker{
		Ranker: r, AgentTimeout: agentTimeout, EngineTimeout: engineTimeout,
		direct: map[string]*platform.Engine{}, silent: map[string]silence{},
	}
}

// seen is what came of a look at one engine.
type seen struct {
	found
	err error
}

// lookAt looks at the engines of agents through these, or else directly: an agent's
// VM may be frozen or its process gone while the engine runs, is armed, or holds the
// group. Looks and orders from elsewhere are priced, so they are the second choice.
// Wants says for each agent what is asked for.
//
// Guard: when most agents are silent at once, it is the way to them that is full or
// cut. Were all their engines asked then, by new connections, it would be fuller
// still, and no look would ever see all ranks. So nothing is concluded from the
// first such look.
func (k *looker) lookAt(ctx context.Context, agents []*fleet.Member, wants []wanted) []seen {
	asked := boottime.Now()
	out := make([]seen, len(agents))
	silent := make([]bool, len(agents))
	together(len(agents), func(i int) {
		out[i], silent[i] = k.askOne(ctx, agents[i], wants[i], asked)
	})
	if k.tooManySilent(agents, silent) {
		return out
	}
	together(len(agents), func(i int) {
		if out[i].err != nil && agents[i].Name != k.Ranker.Settings.Name {
			out[i] = k.lookPast(ctx, agents[i], wants[i], out[i].err, silent[i])
		}
	})
	return out
}

// together runs a function for each of n numbers at once.
func together(n int, f func(i int)) {
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

// errPassedOver says that an agent was not asked, as it was silent a moment ago.
var errPassedOver = errors.New("the agent was silent a moment ago")

// askOne looks at one engine through its agent, and reports whether that was asked
// and is silent.
func (k *looker) askOne(ctx context.Context, m *fleet.Member, want wanted, asked time.Time) (seen, bool) {
	if m.Name == k.Ranker.Settings.Name {
		l, err := lookEngine(ctx, k.Ranker.engine, want)
		if want.experts > 0 && err == nil {
			l.sums = k.Ranker.ownSums(l, want.experts, asked)
		}
		l.state.AsOf = asked
		return seen{found: found{look: l, agent: m}, err: err}, false
	}
	if !asked.After(k.silenceOf(m.Name).until) {
		return seen{err: errPassedOver}, false
	}
	f, err := k.askAgent(ctx, m, want)
	f.state.AsOf = asked
	return seen{found: f, err: err}, err != nil
}

// tooManySilent reports whether most of the agents that were asked are silent, for
// the first time in a row.
func (k *looker) tooManySilent(agents []*fleet.Member, silent []bool) bool {
	n := 0
	for _, is := range silent {
		if is {
			n++
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if 2*n <= len(agents) {
		k.mostSilent = false
		return false
	}
	first := !k.mostSilent
	k.mostSilent = true
	return first
}

// lookPast looks at an engine without its agent.
func (k *looker) lookPast(ctx context.Context, m *fleet.Member, want wanted, cause error, silent bool) seen {
	if silent {
		k.passOver(m, cause)
	}
	timeout := k.EngineTimeout
	if k.silenceOf(m.Name).dark {
		timeout = darkTimeout
	}
	f, err := k.lookDirectly(ctx, m, want.lists, timeout)
	k.noteDark(m.Name, err != nil)
	return seen{found: f, err: err}
}

// lookDirectly looks at an engine without the agent beside it. What it reports to
// another VM is older than the time of asking, see term.dated.
func (k *looker) lookDirectly(ctx context.Context, m *fleet.Member, lists bool, timeout time.Duration) (found, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	asked := boottime.Now()
	l, err := lookEngine(ctx, k.engineAt(m.Endpoint), wanted{lists: lists})
	l.state.AsOf = asked
	return found{look: l}, err
}

func (k *looker) askAgent(ctx context.Context, m *fleet.Member, want wanted) (found, error) {
	ctx, cancel := context.WithTimeout(ctx, k.AgentTimeout)
	defer cancel()
	conn, err := k.Ranker.conns.Get(m.Address)
	if err != nil {
		return found{}, err
	}
	p, err := fleetpb.NewAgentClient(conn).Look(ctx, &fleetpb.LookRequest{
		Counts: want.counts, Lists: want.lists, Experts: uint32(want.experts), Counted: k.heard.id(m.Name), Leader: want.leader,
	})
	if err != nil {
		return found{}, err
	}
	l := lookFrom(p, m.Endpoint)
	l.counts = k.heard.join(m.Name, p)
	return found{look: l, agent: m}, nil
}

func (k *looker) silenceOf(agent string) silence {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.silent[agent]
}

// noteDark notes whether the engine of a silent agent didn't answer either.
func (k *looker) noteDark(agent string, dark bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.silent[agent]
	s.dark = dark
	k.silent[agent] = s
}

// expectDark begins a term after a leader that did not give its lease back: its
// VM has most likely gone silent, so the first looks don't wait for it.
func (k *looker) expectDark(agent string, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.silent[agent] = silence{until: now.Add(passOver), dark: true}
}

func (k *looker) passOver(m *fleet.Member, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.silent[m.Name] = silence{until: boottime.Now().Add(passOver)}
	k.Ranker.conns.DropSilent(m.Address)
	k.Ranker.Log.WithFields(logrus.Fields{"dependency": "agent", "agent": m.Name, "cause": err.Error()}).Warn("agent does not answer, its engine is asked directly")
}

// engineAt returns the client of an engine elsewhere.
func (k *looker) engineAt(addr string) *platform.Engine {
	k.mu.Lock()
	defer k.mu.Unlock()
	e := k.direct[addr]
	if e == nil {
		e = &platform.Engine{Addr: addr, Timeout: max(engineTimeout, k.EngineTimeout)}
		e.Open()
		k.direct[addr] = e
	}
	return e
}
