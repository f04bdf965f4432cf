package naming

import (
	"fmt"
	"math/rand"
	"time"
)

const (
	tick = 10 * time.Millisecond
	// maxDelayTicks is the longest delay of a message, and the least time for
	// which a restarted agent is down, so that it receives no orders sent to
	// its predecessor.
	maxDelayTicks = 60
)

// event is a callback scheduled for a later tick.
type event struct {
	at  int
	run func()
}

// candidate is the leader role of an agent.
type candidate struct {
	leader      *Leader
	pausedUntil int
	proposals   uint64
}

// simulation is a group under random faults, determined by a seed.
type simulation struct {
	rng        *rand.Rand
	n          int
	now        time.Time
	tick       int
	members    []*Member
	engines    []*fakeEngine
	downUntil  []int
	candidates []*candidate
	kv         fakeKV
	events     []event
	faults     bool
	violations []string
}

func newSimulation(seed int64, n int) *simulation {
	s := &simulation{rng: rand.New(rand.NewSource(seed)), n: n, now: time.Unix(1000, 0), faults: true}
	s.kv.holder = -1
	for i := range n {
		s.engines = append(s.engines, &fakeEngine{EngineState: EngineState{Incarnation: 1}, mapOfStep: map[uint64]Ref{}})
		s.members = append(s.members, s.newMember(i, 1))
		s.candidates = append(s.candidates, &candidate{})
		s.downUntil = append(s.downUntil, 0)
	}
	return s
}

func (s *simulation) newMember(i int, incarnation uint64) *Member {
	return &Member{Index: i, Members: s.n, Incarnation: incarnation, Lookahead: 8}
}

func (s *simulation) chance(p float64) bool { return s.faults && s.rng.Float64() < p }

// send schedules f for a later tick. With faults it may run twice or not at
// all.
func (s *simulation) send(f func()) {
	copies := 1
	if s.chance(0.1) {
		copies = s.rng.Intn(3)
	}
	for range copies {
		delay := 1
		if s.chance(0.2) {
			delay += s.rng.Intn(maxDelayTicks - 1)
		}
		s.events = append(s.events, event{at: s.tick + delay, run: f})
	}
}

// runTick advances the simulation by one tick.
func (s *simulation) runTick() {
	s.tick++
	s.now = s.now.Add(tick)
	if s.faults {
		s.injectFault()
	}
	due := s.events
	s.events = nil
	for _, e := range due {
		if e.at <= s.tick {
			e.run()
		} else {
			s.events = append(s.events, e)
		}
	}
	for i := range s.n {
		s.stepMember(i)
		s.stepLeader(i)
	}
	for _, i := range s.rng.Perm(s.n) {
		s.startStep(i)
	}
}

func (s *simulation) stepMember(i int) {
	if s.tick < s.downUntil[i] {
		return
	}
	m, e := s.members[i], s.engines[i]
	for _, o := range m.Tick(e.EngineState) {
		s.orderEngine(e, o)
	}
	if j, ask := m.JoinRequest(); ask && s.tick%5 == 0 {
		for p := range s.n {
			if p != i {
				s.send(func() { s.answerJoin(p, i, j) })
			}
		}
	}
}

// orderEngine delivers an order to the ranks later. It is lost if the ranks
// restart before, because that ends their connection.
func (s *simulation) orderEngine(e *fakeEngine, o EngineOrder) {
	incarnation := e.Incarnation
	s.send(func() {
		if e.Incarnation == incarnation {
			e.apply(o)
		}
	})
}

func (s *simulation) answerJoin(p, i int, j Join) {
	if s.tick < s.downUntil[p] {
		return
	}
	reply := s.members[p].HandleJoin(j)
	s.send(func() { s.members[i].HandleJoinReply(reply) })
}

func (s *simulation) stepLeader(i int) {
	c := s.candidates[i]
	if s.tick < s.downUntil[i] || s.tick < c.pausedUntil {
		return
	}
	if c.leader == nil || c.leader.Deposed() {
		s.acquireLease(i)
	}
	if c.leader == nil {
		return
	}
	s.renewLease(i)
	for _, m := range s.members[i].maps {
		c.leader.AddKnownMap(m)
	}
	if c.leader.Idle() && s.rng.Intn(20) == 0 {
		c.proposals++
		c.leader.Propose(testMap(c.leader.Token<<20 + c.proposals))
	}
	for _, a := range c.leader.Tick(s.now) {
		s.perform(i, a)
	}
}

const leaseTTL = 40 * tick

func (s *simulation) acquireLease(i int) {
	if s.kv.down || s.now.Before(s.kv.leaseUntil) {
		return
	}
	s.kv.token++
	s.kv.holder, s.kv.leaseUntil = i, s.now.Add(leaseTTL)
	l := &Leader{
		Members: s.n, Token: s.kv.token, ResendInterval: 4 * tick, RefreshInterval: 4 * tick, HoldTime: 60 * tick, StepMargin: 8,
	}
	l.ExtendLease(s.kv.leaseUntil)
	s.candidates[i].leader = l
}

func (s *simulation) renewLease(i int) {
	l := s.candidates[i].leader
	if s.kv.down || s.kv.token != l.Token || s.kv.holder != i || !s.now.Before(s.kv.leaseUntil) {
		if !s.kv.down && s.kv.token == l.Token && s.kv.holder == i {
			s.acquireLease(i)
		}
		return
	}
	s.kv.leaseUntil = s.now.Add(leaseTTL)
	l.ExtendLease(s.kv.leaseUntil)
}

func (s *simulation) perform(i int, a Action) {
	c := s.candidates[i]
	l := c.leader
	switch a := a.(type) {
	case Send:
		s.send(func() {
			if s.tick < s.downUntil[a.To] {
				return
			}
			state, _ := s.members[a.To].Handle(a.Order)
			s.send(func() { s.deliverToLeader(i, l, func() { l.HandleState(state, s.now) }) })
		})
	case ReadRecord:
		r, revision, ok := s.kv.record, s.kv.revision, !s.kv.down
		s.sendOnce(func() { s.deliverToLeader(i, l, func() { l.HandleRecord(r, revision, ok) }) })
	case WriteRecord:
		s.sendOnce(func() { s.compareAndSwap(i, l, a) })
	}
}

// sendOnce schedules f to run exactly once, at a later tick.
func (s *simulation) sendOnce(f func()) {
	s.events = append(s.events, event{at: s.tick + 1 + s.rng.Intn(5), run: f})
}

func (s *simulation) compareAndSwap(i int, l *Leader, a WriteRecord) {
	outcome := WriteUnknown
	if !s.kv.down {
		outcome = NotWritten
		if a.Revision == s.kv.revision {
			s.kv.record = a.Record
			s.kv.revision++
			outcome = Written
		}
		if s.kv.loseReplies {
			outcome = WriteUnknown
		}
	}
	s.sendOnce(func() { s.deliverToLeader(i, l, func() { l.HandleWritten(outcome) }) })
}

// deliverToLeader runs f if l still leads, as soon as it is not paused.
func (s *simulation) deliverToLeader(i int, l *Leader, f func()) {
	c := s.candidates[i]
	if c.leader != l {
		return
	}
	if s.tick < c.pausedUntil {
		s.events = append(s.events, event{at: c.pausedUntil, run: func() { s.deliverToLeader(i, l, f) }})
		return
	}
	f()
}

// startStep lets ranks begin their next step once all have begun the previous
// one, and records a violation if another endpoint used a different map for it.
func (s *simulation) startStep(i int) {
	e := s.engines[i]
	next := e.LastStep + 1
	for _, o := range s.engines {
		if o.LastStep < e.LastStep {
			return
		}
	}
	r, ok := MapAt(e.Schedule, next)
	if !ok || next > e.StepLimit {
		return
	}
	e.LastStep = next
	e.mapOfStep[next] = r
	for j, o := range s.engines {
		if other, ran := o.mapOfStep[next]; ran && other != r {
			s.violations = append(s.violations, fmt.Sprintf("step %d: ranks of member %d use version %d, those of member %d version %d", next, i, r.Version, j, other.Version))
		}
	}
}
