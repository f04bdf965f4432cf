package frontend

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/boottime"
	"github.com/hyssoprelay/hyssoprelay/internal/fleet/fleetpb"
	"github.com/hyssoprelay/hyssoprelay/platform/standin"
)

// frozenGroup is a group of two engines, of which one stands still. Each stream has 40 events and lasts 2 s.
type frozenGroup struct {
	*system
	entry         *entry
	frozen, sound *standin.Endpoint
	answers       map[string]chan response
}

// callerPatience is when a caller of these tests leaves.
const callerPatience = 5 * time.Second

// newFrozenGroup starts the group and freezes an engine when both serve streams that have begun.
func newFrozenGroup(t *testing.T) *frozenGroup {
	t.Helper()
	s, e := newGroupOfTwo(t, 0)
	for _, ep := range s.endpoints {
		ep.Events, ep.Pause = 40, 50*time.Millisecond
	}
	g := &frozenGroup{system: s, entry: e, answers: map[string]chan response{}}
	for i := range 4 {
		g.ask(fmt.Sprint("begun", i))
	}
	s.eventually("both engines send events", func() bool {
		return s.endpoints[0].SentEvents() > 8 && s.endpoints[1].SentEvents() > 8
	})
	g.frozen, g.sound = s.endpoints[0], s.endpoints[1]
	g.frozen.Freeze()
	return g
}

// ask requests a stream whose caller leaves after callerPatience.
func (g *frozenGroup) ask(id string) {
	answer := make(chan response, 1)
	g.answers[id] = answer
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), callerPatience)
		defer cancel()
		answer <- g.entry.request(ctx, "/stream/1", id, "k1")
	}()
}

// report has the leader of the group report the loads of these engines until stop is called.
func (g *frozenGroup) report(seen ...*standin.Endpoint) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		svc := &service{frontend: g.entry.Frontend}
		for ctx.Err() == nil {
			q := &fleetpb.LoadsRequest{List: uint64(len(seen))}
			for _, ep := range seen {
				q.Targets = append(q.Targets, &fleetpb.Target{Endpoint: ep.Addr()})
				q.Running = append(q.Running, 1)
			}
			if _, err := svc.Loads(ctx, q); err != nil && ctx.Err() == nil {
				g.t.Error(err)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}()
	return func() {
		cancel()
		<-done
	}
}

// reportSound reports both engines at first, and from then on only the sound one.
func (g *frozenGroup) reportSound() (stop func()) {
	stopFirst := g.report(g.frozen, g.sound)
	g.eventually("the leader's report has arrived", func() bool { return g.entry.state.LoadAge(boottime.Now()) > 0 })
	stopFirst()
	return g.report(g.sound)
}

// wantAllWhole checks that each stream is whole.
func (g *frozenGroup) wantAllWhole() {
	g.t.Helper()
	for id, answer := range g.answers {
		resp := <-answer
		if resp.err != nil {
			g.t.Errorf("%s: the caller left: %v", id, resp.err)
			continue
		}
		g.wantWholeStream(resp, 40)
	}
}

// The VM of an engine stands still while its group goes on, and its leader no longer sees it. Guards against
// callers who wait there until they leave, and whose work goes on as no close arrives.
func TestStreamsLeaveAnEngineThatStandsStill(t *testing.T) {
	t.Parallel()
	g := newFrozenGroup(t)
	defer g.reportSound()()
	g.wantAllWhole()
}

// Nobody reports loads while the VM of an engine stands still. Guards against callers who wait there until
// they leave because their entry relies on reports alone.
func TestStreamsLeaveASilentEngineWithoutReports(t *testing.T) {
	t.Parallel()
	newFrozenGroup(t).wantAllWhole()
}

// Requests come while the VM of an engine stands still. Guards against further ones that are sent there
// because the engine has no load any more.
func TestSilentEngineGetsNoFurtherRequests(t *testing.T) {
	t.Parallel()
	g := newFrozenGroup(t)
	defer g.reportSound()()
	g.wantAllWhole()
	g.answers = map[string]chan response{}
	for i := range 3 {
		g.ask(fmt.Sprint("later", i))
	}
	g.wantAllWhole()
	ended := func() (lines []string) {
		for _, line := range strings.Split(g.entry.log.Text(), "\n") {
			if strings.Contains(line, `"request ended"`) && strings.Contains(line, `"request":"later`) {
				lines = append(lines, line)
			}
		}
		return lines
	}
	g.eventually("the ends of the later streams are logged", func() bool { return len(ended()) == 3 })
	for _, line := range ended() {
		if !strings.Contains(line, fmt.Sprintf(`"endpoints":["%s"]`, g.sound.ID)) {
			t.Errorf("a later stream was sent to the silent engine: %s", line)
		}
	}
}

// The silent engine goes on before the next one has an event. Guards against a stream that has events of
// both engines, or of neither.
func TestStreamGoesOnWhereItWasIfTheSilentEngineIsBack(t *testing.T) {
	t.Parallel()
	g := newFrozenGroup(t)
	g.sound.WorkFor(3 * time.Second)
	g.eventually("the engine is known to be silent", func() bool { return g.entry.log.Has("endpoint is silent") })
	g.eventually("a stream is being moved", func() bool {
		for id := range g.answers {
			if g.frozen.Runs(id) > 0 && g.sound.Runs(id) > 0 {
				return true
			}
		}
		return false
	})
	g.frozen.Thaw()
	g.wantAllWhole()
	g.eventually("the next engine was turned down", func() bool { return g.entry.log.Has("stream is not moved") })
	if strings.Contains(g.entry.log.Text(), `"outcome":"moved"`) {
		t.Error("a stream has left an engine that went on")
	}
}
