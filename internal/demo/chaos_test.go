package demo

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/caller"
	"github.com/hyssoprelay/hyssoprelay/internal/standin/engine"
	"github.com/hyssoprelay/hyssoprelay/internal/standin/service"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

const (
	chaosSteps = 18
	chaosPause = 250 * time.Millisecond
)

// chaos brings faults about, one seed the same ones in the same order.
type chaos struct {
	*testing.T
	s    *System
	rng  *rand.Rand
	gone []*Agent
	new  int
	done chan struct{} // ends of operators' orders
	sent int
}

func (c *chaos) dc() string { return c.s.DataCentres[c.rng.IntN(len(c.s.DataCentres))] }

// step brings one fault about.
func (c *chaos) step() {
	agents := c.s.Agents()
	entries := c.s.EntriesOf("")
	switch c.rng.IntN(12) {
	case 0:
		if len(agents) > 4 {
			a := agents[c.rng.IntN(len(agents))]
			c.s.KillAgent(a)
			c.gone = append(c.gone, a)
		}
	case 1:
		c.replace()
	case 2:
		c.swapEntry(entries[c.rng.IntN(len(entries))])
	case 3:
		sides := append([]string{Platform}, c.s.DataCentres...)
		c.s.Network.Cut(c.dc(), sides[c.rng.IntN(len(sides))])
	case 4:
		c.s.Network.Heal()
	case 5:
		c.s.KV.SetDown(c.rng.IntN(2) == 0)
	case 6:
		c.s.KV.SetSlow(time.Duration(c.rng.IntN(300)) * time.Millisecond)
	case 7:
		c.s.KV.LoseAnswers(1 + c.rng.IntN(5))
	case 8:
		c.s.KV.HoldWatches(c.rng.IntN(2) == 0)
	case 9:
		if e := c.s.Engine(c.dc() + "-engine-0"); c.rng.IntN(2) == 0 {
			e.Restart()
		} else {
			e.SetFaults(engine.Faults{DieAfterPieces: c.rng.IntN(24)})
		}
	case 10:
		c.s.services[c.dc()+"-desk-0"].SetFaults(service.Faults{
			FailAfterEffect: c.rng.IntN(2), DropAfterEffect: c.rng.IntN(3), DropBeforeEffect: c.rng.IntN(3), Unavailable: c.rng.IntN(3),
		})
	case 11:
		c.race(entries)
	}
}

func (c *chaos) replace() {
	for _, a := range c.gone {
		if err := c.s.ReplaceAgent(a); err != nil {
			c.Fatal(err)
		}
	}
	c.gone = nil
}

// swapEntry kills an entry and starts another in its data centre.
func (c *chaos) swapEntry(e *Entry) {
	c.s.KillEntry(e)
	c.new++
	if _, err := c.s.StartEntry(e.DataCentre, fmt.Sprintf("%s-entry-new-%d", e.DataCentre, c.new)); err != nil {
		c.Fatal(err)
	}
}

// race has two operators change one thing at the same moment, through two
// entries.
func (c *chaos) race(entries []*Entry) {
	endpoint := c.dc() + "-engine-0"
	for i, way := range []string{"out", "in"} {
		admin := entries[(i+c.rng.IntN(len(entries)))%len(entries)].Process.AdminAddress()
		c.sent++
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), patience)
			defer cancel()
			// Orders may be refused here; what counts is what holds at the end.
			_, _ = c.s.Order(ctx, "--admin", admin, "endpoint", way, endpoint)
			c.done <- struct{}{}
		}()
	}
}

// calm ends all faults.
func (c *chaos) calm() {
	c.s.Network.Heal()
	c.s.KV.SetDown(false)
	c.s.KV.SetSlow(0)
	c.s.KV.LoseAnswers(0)
	c.s.KV.HoldWatches(false)
	for _, dc := range c.s.DataCentres {
		c.s.Engine(dc + "-engine-0").SetFaults(engine.Faults{})
		c.s.services[dc+"-desk-0"].SetFaults(service.Faults{})
	}
	c.replace()
	for range c.sent {
		<-c.done
	}
}

// watchGenerations samples the generation of every process until ctx ends, and
// reports those that went backwards.
func watchGenerations(ctx context.Context, s *System) []string {
	seen := map[any]uint64{}
	var back []string
	look := func(name string, p any, g uint64) {
		if g < seen[p] {
			back = append(back, fmt.Sprintf("%s went from generation %d back to %d", name, seen[p], g))
		}
		seen[p] = g
	}
	for ctx.Err() == nil {
		for _, e := range s.EntriesOf("") {
			look(e.Name, e.Process, e.Process.Generation())
		}
		for _, a := range s.Agents() {
			look(a.Name, a.Process, a.Process.Generation())
		}
		time.Sleep(2 * time.Millisecond)
	}
	return back
}

// assertSettled repeats each order whose outcome its caller doesn't know. It
// must have run once and be answered or be shown to operators.
func (c *chaos) assertSettled(outcomes []Outcome) {
	c.Helper()
	entry := c.s.EntriesOf("a")[0]
	for _, o := range outcomes {
		if o.shape != RunOnce || o.whole || o.code.Effect() == result.NotRun {
			continue
		}
		status, body := 0, ""
		eventually(c.T, o.id+" is settled", func() bool {
			status, body = ask(c.T, entry, caller.PathServices+"desk/orders", `{"pallets":1}`, "Idempotency-Key", o.id)
			code, _ := refusal([]byte(body))
			return status == http.StatusOK || code.Effect() != result.NotRun
		})
		runs := c.s.Runs()[o.id]
		if status == http.StatusOK {
			if runs != 1 {
				c.Errorf("%s was answered and ran %d times", o.id, runs)
			}
			continue
		}
		if code, _ := refusal([]byte(body)); code.Effect() == result.Ran && runs == 1 {
			continue
		}
		if !strings.Contains(c.claims(o.id), o.id) {
			c.Errorf("%s ran %d times, is unknown (%s) and no open claim", o.id, runs, body)
		}
	}
}

// claims lists the open claims of a key. A read of the platform may take longer
// than its limit on a busy machine, and is then repeated as an operator would.
func (c *chaos) claims(key string) string {
	var out string
	eventually(c.T, "the claims are listed", func() bool {
		var err error
		out, err = c.s.Order(context.Background(), "claims", "list", "--key", key)
		return err == nil
	})
	return out
}

// VMs die, data centres are cut off, the platform's service goes down, slows
// and loses answers, engines restart and break off, the order desk fails before
// and after its effect, operators race each other; all in one, and again. A
// clerk may be refused or told that the outcome is unknown. Nothing may run
// twice, no "not run" may be false, no half answer may pass as whole, no
// process may go back to an older configuration, and no order may vanish.
func TestChaos(t *testing.T) {
	t.Parallel()
	for _, seed := range []uint64{1, 2, 3, 4} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			testChaos(t, seed)
		})
	}
}

func testChaos(t *testing.T, seed uint64) {
	s := startSystem(t, func(s *System) {
		// Cold starts are judged elsewhere: a killed agent's work goes on at its
		// engine, unseen by the agent that follows it.
		s.EngineSettings.ColdBound = 1 << 20
		s.Drain = time.Second
	})
	c := &chaos{T: t, s: s, rng: rand.New(rand.NewPCG(seed, 7)), done: make(chan struct{}, chaosSteps*2)}
	ctx, cancel := context.WithCancel(context.Background())
	l := &Load{Rate: 80, Deadline: 4 * time.Second, Seed: seed, Entries: s.Serving, Dial: s.Network.From("callers")}
	loaded := make(chan error, 1)
	go func() { loaded <- l.Run(ctx) }()
	watchCtx, stopWatch := context.WithCancel(context.Background())
	watched := make(chan []string, 1)
	go func() { watched <- watchGenerations(watchCtx, s) }()
	for range chaosSteps {
		c.step()
		time.Sleep(chaosPause)
	}
	c.calm()
	cancel()
	if err := <-loaded; err != nil {
		t.Fatal(err)
	}
	eventually(t, "one generation is in force everywhere", func() bool { return s.oldest() == s.newest() })
	eventually(t, "all entries hear all agents", s.ready)
	stopWatch()
	for _, b := range <-watched {
		t.Error(b)
	}
	outcomes := l.Outcomes()
	c.assertSettled(outcomes)
	r := NewReport(s, outcomes, nil)
	assertUnbroken(t, r)
	t.Log(r.codes, r.counts)
}
