package ranker

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/fleet"
	"github.com/hyssoprelay/hyssoprelay/internal/peer"
	"github.com/hyssoprelay/hyssoprelay/internal/process"
	"github.com/hyssoprelay/hyssoprelay/internal/settings"
	"github.com/hyssoprelay/hyssoprelay/platform/standin"
)

// hangTimeout bounds a call that hangs; no test measures it.
const hangTimeout = 20 * time.Second

// newUnreachableAgents returns a poller and the members of a group in which no agent
// answers but all engines do.
func newUnreachableAgents(t *testing.T, n int) (*poller, []*fleet.Member) {
	t.Helper()
	group := standin.StartGroup(n, 1, n, 2)
	t.Cleanup(group.Close)
	r := &Ranker{
		Settings: &settings.Ranker{Process: settings.Process{Name: "own"}},
		Log:      process.NewBoundedLog("own", "a"), conns: &peer.ConnPool{},
	}
	t.Cleanup(r.conns.Close)
	members := make([]*fleet.Member, 0, n)
	for i := range n {
		// No process listens on port 1.
		members = append(members, &fleet.Member{Name: fmt.Sprint("agent", i), Address: "127.0.0.1:1", Endpoint: group.Addr(i)})
	}
	p := newPoller(r, hangTimeout, hangTimeout)
	return &p, members
}

// countPolled returns how many of the engines were polled successfully.
func countPolled(p *poller, members []*fleet.Member) int {
	n := 0
	for _, result := range p.poll(context.Background(), members, make([]pollOptions, len(members))) {
		if result.err == nil {
			n++
		}
	}
	return n
}

// Guards against adding load to a congested link: all agents fail at once, and each
// of their engines is then polled over a new connection.
func TestEnginesAreNotPolledWhenMostAgentsFail(t *testing.T) {
	p, members := newUnreachableAgents(t, 5)
	if n := countPolled(p, members); n != 0 || len(p.failures) != 0 {
		t.Errorf("%d engines were polled without their agents and %d failures recorded, want none", n, len(p.failures))
	}
	if n := countPolled(p, members); n != len(members) {
		t.Errorf("%d of %d engines were polled in the second poll", n, len(members))
	}
}

// Guards against a rank without a report when only its agent is lost.
func TestOneUnreachableAgentIsBypassed(t *testing.T) {
	p, members := newUnreachableAgents(t, 5)
	for _, m := range members[1:] {
		m.Name = "own" // the poller's own agent, whose engine is polled locally
	}
	p.Ranker.engine = p.engineAt(members[1].Endpoint)
	if n := countPolled(p, members); n != len(members) {
		t.Errorf("%d of %d engines were polled", n, len(members))
	}
}
