package naming

import (
	"fmt"
	"math/rand"
	"time"
)

const (
	tick = 10 * time.Millisecond
	// drain is how many ticks a message may be late, and how long an agent that
	// starts waits for the orders of the one before.
	drain = 60
)

// event is something that happens at a later tick.
type event struct {
	at  int
	run func()
}

// candidate is the leader's part of an agent.
type candidate struct {
	leader *Leader
	paused int
	next   uint64
}

// world is a group under a seeded schedule of faults.
type world struct {
	rng        *rand.Rand
	n          int
	now        time.Time
	tick       int
	members    []*Member
	engines    []*fakeEngine
	down       []int
	leads      []*candidate
	kv         fakeKV
	events     []event
	faults     bool
	violations []string
}

func newWorld(seed int64, n int) *world {
	w := &world{rng: rand.New(rand.NewSource(seed)), n: n, now: time.Unix(1000, 0), faults: true}
	w.kv.holder = -1
	for i := range n {
		w.engines = append(w.engines, &fakeEngine{EngineState: EngineState{Incarnation: 1}, ran: map[uint64]Ref{}})
		w.members = append(w.members, w.newMember(i, 1))
		w.leads = append(w.leads, &candidate{})
		w.down = append(w.down, 0)
	}
	return w
}

func (w *world) newMember(i int, incarnation uint64) *Member {
	return &Member{Index: i, Members: w.n, Incarnation: incarnation, Lookahead: 8}
}

func (w *world) chance(p float64) bool { return w.faults && w.rng.Float64() < p }

// send lets f happen later, perhaps twice or never.
func (w *world) send(f func()) {
	copies := 1
	if w.chance(0.1) {
		copies = w.rng.Intn(3)
	}
	for range copies {
		delay := 1
		if w.chance(0.2) {
			delay += w.rng.Intn(drain - 1)
		}
		w.events = append(w.events, event{at: w.tick + delay, run: f})
	}
}

func (w *world) step() {
	w.tick++
	w.now = w.now.Add(tick)
	if w.faults {
		w.fault()
	}
	due := w.events
	w.events = nil
	for _, e := range due {
		if e.at <= w.tick {
			e.run()
		} else {
			w.events = append(w.events, e)
		}
	}
	for i := range w.n {
		w.stepMember(i)
		w.stepLeader(i)
	}
	for _, i := range w.rng.Perm(w.n) {
		w.begin(i)
	}
}

func (w *world) stepMember(i int) {
	if w.tick < w.down[i] {
		return
	}
	m, e := w.members[i], w.engines[i]
	for _, o := range m.Tick(e.EngineState) {
		w.orderEngine(e, o)
	}
	if j, ask := m.Joins(); ask && w.tick%5 == 0 {
		for p := range w.n {
			if p != i {
				w.send(func() { w.answerJoin(p, i, j) })
			}
		}
	}
}

// orderEngine lets an order take effect later. An order does not outlive the
// connection to the ranks that it was sent to.
func (w *world) orderEngine(e *fakeEngine, o EngineOrder) {
	incarnation := e.Incarnation
	w.send(func() {
		if e.Incarnation == incarnation {
			e.order(o)
		}
	})
}

func (w *world) answerJoin(p, i int, j Join) {
	if w.tick < w.down[p] {
		return
	}
	a := w.members[p].HandleJoin(j)
	w.send(func() { w.members[i].HandleJoining(a) })
}

func (w *world) stepLeader(i int) {
	c := w.leads[i]
	if w.tick < w.down[i] || w.tick < c.paused {
		return
	}
	if c.leader == nil || c.leader.Deposed() {
		w.acquire(i)
	}
	if c.leader == nil {
		return
	}
	w.renew(i)
	for _, m := range w.members[i].maps {
		c.leader.Learn(m)
	}
	if c.leader.Idle() && w.rng.Intn(20) == 0 {
		c.next++
		c.leader.Propose(testMap(c.leader.Token<<20 + c.next))
	}
	for _, a := range c.leader.Step(w.now) {
		w.act(i, a)
	}
}

const leaseTime = 40 * tick

func (w *world) acquire(i int) {
	if w.kv.down || w.now.Before(w.kv.until) {
		return
	}
	w.kv.token++
	w.kv.holder, w.kv.until = i, w.now.Add(leaseTime)
	l := &Leader{
		Members: w.n, Token: w.kv.token, Resend: 4 * tick, Refresh: 4 * tick, HoldTime: 60 * tick, Margin: 8,
	}
	l.Extend(w.kv.until)
	w.leads[i].leader = l
}

func (w *world) renew(i int) {
	l := w.leads[i].leader
	if w.kv.down || w.kv.token != l.Token || w.kv.holder != i || !w.now.Before(w.kv.until) {
		if !w.kv.down && w.kv.token == l.Token && w.kv.holder == i {
			w.acquire(i)
		}
		return
	}
	w.kv.until = w.now.Add(leaseTime)
	l.Extend(w.kv.until)
}

func (w *world) act(i int, a Action) {
	c := w.leads[i]
	l := c.leader
	switch a := a.(type) {
	case Send:
		w.send(func() {
			if w.tick < w.down[a.To] {
				return
			}
			s, _ := w.members[a.To].Handle(a.Order)
			w.send(func() { w.toLeader(i, l, func() { l.HandleState(s, w.now) }) })
		})
	case ReadRecord:
		r, revision, ok := w.kv.record, w.kv.revision, !w.kv.down
		w.sure(func() { w.toLeader(i, l, func() { l.HandleRecord(r, revision, ok) }) })
	case WriteRecord:
		w.sure(func() { w.cas(i, l, a) })
	}
}

// sure lets f happen later, once.
func (w *world) sure(f func()) {
	w.events = append(w.events, event{at: w.tick + 1 + w.rng.Intn(5), run: f})
}

func (w *world) cas(i int, l *Leader, a WriteRecord) {
	outcome := WriteUnknown
	if !w.kv.down {
		outcome = NotWritten
		if a.Revision == w.kv.revision {
			w.kv.record = a.Record
			w.kv.revision++
			outcome = Written
		}
		if w.kv.lossy {
			outcome = WriteUnknown
		}
	}
	w.sure(func() { w.toLeader(i, l, func() { l.HandleWritten(outcome) }) })
}

// toLeader gives an answer to the leader that asked, when it is awake.
func (w *world) toLeader(i int, l *Leader, f func()) {
	c := w.leads[i]
	if c.leader != l {
		return
	}
	if w.tick < c.paused {
		w.events = append(w.events, event{at: c.paused, run: func() { w.toLeader(i, l, f) }})
		return
	}
	f()
}

// begin lets ranks begin their next step when all have begun the one before.
func (w *world) begin(i int) {
	e := w.engines[i]
	next := e.Begun + 1
	for _, o := range w.engines {
		if o.Begun < e.Begun {
			return
		}
	}
	r, ok := MapAt(e.Schedule, next)
	if !ok || next > e.Allowed {
		return
	}
	e.Begun = next
	e.ran[next] = r
	for j, o := range w.engines {
		if other, ran := o.ran[next]; ran && other != r {
			w.violations = append(w.violations, fmt.Sprintf("step %d: ranks of %d use version %d, of %d version %d", next, i, r.Version, j, other.Version))
		}
	}
}
