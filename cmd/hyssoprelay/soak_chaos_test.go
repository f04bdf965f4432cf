package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	base "github.com/hyssoprelay/hyssoprelay/internal/standin"
	"github.com/hyssoprelay/hyssoprelay/internal/standin/line"
	"github.com/hyssoprelay/hyssoprelay/platform/standin"
)

const (
	// chaosTick is how often it is looked whether a fault is due or over.
	chaosTick = 20 * time.Millisecond
	// mostBetween bounds the time between two faults: some overlap.
	mostBetween = 700 * time.Millisecond
	// exitTime is how long a process that was told to end may take: its grace
	// of 8 s, and room for a busy machine.
	exitTime = 30 * time.Second
)

// chaos injects faults that a seed chooses.
type chaos struct {
	s   *soakSystem
	rng *rand.Rand
	// endless chooses the endpoints that send without end. It is apart from rng, so that the other
	// faults of a seed stay as they are.
	endless *rand.Rand
	// busy names what a fault is on.
	busy  map[string]bool
	later []undo
	done  map[string]int
}

// undo ends a fault.
type undo struct {
	at time.Time
	f  func()
}

// run injects faults for a time, and ends them all.
func (c *chaos) run(d time.Duration) {
	c.done = map[string]int{}
	end := time.Now().Add(d)
	due := time.Now()
	for now := time.Now(); now.Before(end); now = time.Now() {
		c.finish(now)
		c.checkAlive()
		if !now.Before(due) {
			c.inject(now)
			c.sendEndless(now)
			due = now.Add(time.Duration(c.rng.Int64N(int64(mostBetween))))
		}
		time.Sleep(chaosTick)
	}
	for len(c.later) > 0 {
		c.finish(time.Now())
		time.Sleep(chaosTick)
	}
	c.checkAlive()
}

// finish ends the faults whose time is over.
func (c *chaos) finish(now time.Time) {
	var rest, over []undo
	for _, u := range c.later {
		if u.at.After(now) {
			rest = append(rest, u)
		} else {
			over = append(over, u)
		}
	}
	c.later = rest
	for _, u := range over {
		u.f()
	}
}

// between draws a time.
func (c *chaos) between(least, most time.Duration) time.Duration {
	return least + time.Duration(c.rng.Int64N(int64(most-least)))
}

// take reports whether a fault may begin on something and notes its end.
func (c *chaos) take(kind, what string, now time.Time, d time.Duration, f func()) bool {
	if c.busy[what] {
		return false
	}
	c.busy[what] = true
	c.done[kind]++
	c.later = append(c.later, undo{at: now.Add(d), f: func() {
		f()
		delete(c.busy, what)
	}})
	return true
}

// inject begins one fault.
func (c *chaos) inject(now time.Time) {
	switch c.rng.IntN(6) {
	case 0, 1:
		c.line(now)
	case 2:
		c.storage(now)
	case 3:
		c.endpoint(now)
	case 4:
		c.keys(now)
	default:
		c.process(now)
	}
}

func (c *chaos) line(now time.Time) {
	i := c.rng.IntN(len(c.s.lines))
	mode := []line.Mode{line.Slow, line.Broken, line.MuteUp, line.MuteDown, line.Mute}[c.rng.IntN(5)]
	d := c.between(200*time.Millisecond, 7*time.Second)
	l := c.s.lines[i]
	if c.take(fmt.Sprintf("line%d", mode), fmt.Sprint("line", i), now, d, func() { l.Set(line.Open) }) {
		l.Set(mode)
	}
}

func (c *chaos) storage(now time.Time) {
	if c.rng.IntN(4) == 0 {
		c.done["compacted"]++
		c.s.store.Compact()
		return
	}
	fault := []standin.Fault{standin.Busy, standin.Silent, standin.LostAnswers}[c.rng.IntN(3)]
	d := c.between(300*time.Millisecond, 4*time.Second)
	if c.take(fmt.Sprintf("store%d", fault), "store", now, d, func() { c.s.store.SetFault(standin.Well) }) {
		c.s.store.SetFault(fault)
	}
}

func (c *chaos) endpoint(now time.Time) {
	i := c.rng.IntN(len(c.s.desks))
	desk, d := c.s.desks[i], c.between(200*time.Millisecond, 3*time.Second)
	name := fmt.Sprint("desk", i)
	switch c.rng.IntN(5) {
	case 0:
		if c.take("unlisted", name, now, d, func() { c.s.list(desk) }) {
			c.s.unlist(desk)
		}
		return
	case 1:
		d += leavingDrain
		if c.take("leaving", name, now, d, func() { c.s.restart(desk) }) {
			c.s.leave(desk)
		}
		return
	case 2:
		stop := func() {
			desk.Behave(standin.Answers)
			desk.AskForRest("")
		}
		if c.take("resting", name, now, d, stop) {
			desk.AskForRest("1.5")
			desk.Behave(standin.Refuses)
		}
		return
	}
	b := []standin.Behaviour{standin.Refuses, standin.Resets, standin.Tears, standin.Fails, standin.Hangs}[c.rng.IntN(5)]
	if c.take(fmt.Sprintf("endpoint%d", b), name, now, d, func() { desk.Behave(standin.Answers) }) {
		desk.Behave(b)
	}
}

// endlessBytes is how many bytes per second an endpoint sends on each connection without end.
const endlessBytes = 20e6

// sendEndless has an endpoint send some element of a response without end, in one of four turns.
func (c *chaos) sendEndless(now time.Time) {
	if c.endless.IntN(4) != 0 {
		return
	}
	i, all := c.endless.IntN(len(c.s.desks)), base.AllEndless()
	desk, element := c.s.desks[i], all[c.endless.IntN(len(all))]
	d := 200*time.Millisecond + time.Duration(c.endless.Int64N(int64(3*time.Second)))
	if c.take("endless", fmt.Sprint("desk", i), now, d, func() { desk.AnswerEndless(nil) }) {
		desk.AnswerEndless(&base.EndlessSender{Element: element, Rate: endlessBytes, Chunked: c.endless.IntN(2) == 0})
	}
}

// keys takes the lost key away, for longer than the bound now and then. In half
// of all cases no relay reaches the store meanwhile, so that none hears of it.
func (c *chaos) keys(now time.Time) {
	d := c.between(time.Second, keyRevoke+4*time.Second)
	if !c.take("keys", "keys", now, d, func() { c.s.configure(true) }) {
		return
	}
	if c.rng.IntN(2) == 0 {
		for _, l := range c.s.relayLines {
			name := fmt.Sprint("line", slices.Index(c.s.lines, l))
			if c.take("cutOff", name, now, d, func() { l.Set(line.Open) }) {
				l.Set(line.Mute)
			}
		}
	}
	c.s.configure(false)
}

// process freezes, kills or stops a process. One that is stopped may be killed
// or frozen while it leaves.
func (c *chaos) process(now time.Time) {
	p := c.daemon()
	switch c.rng.IntN(4) {
	case 0:
		if c.take("killed", p.name, now, c.between(50*time.Millisecond, 2*time.Second), p.start) {
			c.s.recordRestart(p.name)
			p.kill()
		}
	case 1:
		c.stop(p, now)
	default:
		d := c.between(100*time.Millisecond, 7*time.Second)
		if c.take("frozen", p.name, now, d, func() { p.signal(syscall.SIGCONT) }) {
			p.signal(syscall.SIGSTOP)
		}
	}
}

func (c *chaos) daemon() *daemon {
	i := c.rng.IntN(len(c.s.relays) + len(c.s.ranks.procs))
	if i < len(c.s.relays) {
		return c.s.relays[i].daemon
	}
	return c.s.ranks.procs[i-len(c.s.relays)]
}

func (c *chaos) stop(p *daemon, now time.Time) {
	kill := c.rng.IntN(3) == 0
	d := c.between(100*time.Millisecond, 2*time.Second)
	end := func() {
		if kill {
			p.kill()
		} else if !p.await(exitTime) {
			c.s.t.Errorf("%s does not end well after SIGTERM", p.name)
		}
		c.s.recordRestart(p.name)
		p.start()
	}
	if c.take("stopped", p.name, now, d, end) {
		p.signal(syscall.SIGTERM)
	}
}

// checkAlive checks that no process has ended by itself.
func (c *chaos) checkAlive() {
	c.s.t.Helper()
	for _, r := range c.s.relays {
		c.alive(r.daemon)
	}
	for _, p := range c.s.ranks.procs {
		c.alive(p)
	}
}

func (c *chaos) alive(d *daemon) {
	c.s.t.Helper()
	if !c.busy[d.name] && d.exited != nil && d.ended() {
		c.s.t.Fatalf("%s has ended by itself", d.name)
	}
}
