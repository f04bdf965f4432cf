package relay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/caller/admission"
	"github.com/hyssoprelay/hyssoprelay/internal/routing"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// loadKind is a kind of streams of deployment H, with its rate at one of 30 entries and the value
// of an answer that is on time or late.
type loadKind struct {
	name         string
	rate         float64
	target       time.Duration
	onTime, late float64
}

var loadKinds = []loadKind{
	{"comparison", 82.5 / 30, 400 * time.Millisecond, 3, 0.9},
	{"summary", 109.0 / 30, 400 * time.Millisecond, 1.6, 1.6 * 0.41},
	{"batch", 36.3 / 30, 800 * time.Millisecond, 0.8, 0.24},
}

// loadBurst multiplies the rate of a kind, or of an account for all kinds, for some seconds.
type loadBurst struct {
	from, to      float64
	kind, account int // -1 for all
	factor        float64
}

var loadBursts = []loadBurst{
	{4, 12, 2, -1, 5}, {9, 13, 0, -1, 2}, {17, 23, -1, 1, 10}, {26, 31, 1, -1, 2.5},
}

const (
	loadAccounts = 24
	loadSeconds  = 36
	loadEngines  = 2 // of 10 slots each, for streams of 2 s: 1.3 times the usual demand
	loadPatience = 2 * time.Second
	loadDeadline = 8 * time.Second
	loadTick     = 5 * time.Millisecond
	loadSeeds    = 4
	// loadReportInterval is how often an engine's leader reports its load.
	loadReportInterval = 100 * time.Millisecond
)

// accountWeight returns the share of an account in the arrivals: three are large.
func accountWeight(account int) float64 {
	if account < 3 {
		return 0.15
	}
	return 0.55 / (loadAccounts - 3)
}

// arrivalRateAt returns the rate of a kind and account at a time in seconds.
func arrivalRateAt(kind, account int, at float64) float64 {
	rate := loadKinds[kind].rate * accountWeight(account)
	for _, b := range loadBursts {
		if at >= b.from && at < b.to && (b.kind < 0 || b.kind == kind) && (b.account < 0 || b.account == account) {
			rate *= b.factor
		}
	}
	return rate
}

// loadTally counts the requests of a kind by how they ended. held counts those refused after they
// had waited.
type loadTally struct{ onTime, late, refused, held int }

func (l loadTally) total() int { return l.onTime + l.late + l.refused }

// earned returns the value earned as a fraction of what the callers are owed.
func (l loadTally) earned(k loadKind) float64 {
	return (float64(l.onTime)*k.onTime + float64(l.late)*k.late) / (float64(l.total()) * k.onTime)
}

// loadRequest is one caller's request, with at most one retry.
type loadRequest struct {
	kind, account int
	id            string
	arrivedAt     time.Time
	attemptAt     time.Time
	retried       bool
	state         loadState
	waiter        *waiter
	partAt, endAt time.Time
}

// loadState says what a request does.
type loadState int

const (
	loadAway loadState = iota // until its caller comes back
	loadWaiting
	loadRunning
	loadEnded
)

// loadModel drives one entry's State without a network.
type loadModel struct {
	st      *State
	table   *routing.Table
	routes  []*routing.Route
	rng     *rand.Rand
	now     time.Time
	open    []*loadRequest
	tallies [3]loadTally
}

// newLoadModel returns an entry for a service with two engines. Without classes, its routes have
// equal priorities.
func newLoadModel(classes bool, seed uint64) *loadModel {
	s := &routing.Service{Name: "quotes", Engine: &routing.Engine{
		Slots: 10, Stride: 7, Step: 4840 * time.Microsecond, PerSequence: 435 * time.Microsecond, MeanPrompt: 835, MeanOutput: 280,
	}}
	m := &loadModel{rng: rand.New(rand.NewPCG(seed, 5)), now: start}
	for i, k := range loadKinds {
		r := &routing.Route{Name: k.name, Host: "h", Prefix: "/" + k.name, TargetLatency: k.target, Splits: []routing.Split{{Service: s.Name, Weight: 1}}}
		if classes {
			r.Priority = i
		}
		m.routes = append(m.routes, r)
	}
	m.table = routing.NewTable(2, m.routes, []*routing.Service{s}, loadAccountKeys(), routing.Limits{})
	m.st = newState("me", s)
	m.st.SetTable(m.table, start)
	listEndpoints(m.st, loadEngines, s.Name)
	m.st.SetEntry("me", true, start)
	return m
}

// loadAccountKeys returns the accounts, of which every eighth has the highest priority.
func loadAccountKeys() (accounts []routing.AccountKeys) {
	for i := range loadAccounts {
		a := routing.Account{Name: loadAccountName(i), Priority: 1}
		if i%8 == 0 {
			a.Priority = 0
		}
		accounts = append(accounts, routing.AccountKeys{Account: a, Keys: []string{a.Name}})
	}
	return accounts
}

func loadAccountName(i int) string { return fmt.Sprint("account", i) }

// run simulates the whole time and returns the tallies by kind.
func (m *loadModel) run() [3]loadTally {
	n := 0
	for tick := range int((loadSeconds + 10) * time.Second / loadTick) {
		m.now = start.Add(time.Duration(tick) * loadTick)
		if tick%int(loadReportInterval/loadTick) == 0 {
			m.reportLoads()
		}
		m.advance()
		at := m.now.Sub(start).Seconds()
		for kind := range loadKinds {
			for account := range loadAccounts {
				if at < loadSeconds && m.rng.Float64() < arrivalRateAt(kind, account, at)*loadTick.Seconds() {
					n++
					c := &loadRequest{kind: kind, account: account, id: fmt.Sprint(n), arrivedAt: m.now, attemptAt: m.now}
					m.open = append(m.open, c)
					m.attempt(c)
				}
			}
		}
	}
	return m.tallies
}

// reportLoads delivers the leader's report about the engines, and events of all streams.
func (m *loadModel) reportLoads() {
	for _, c := range m.open {
		if c.state == loadRunning && c.partAt.IsZero() {
			m.st.PartReceived(c.waiter.assigned, m.now) // the next event of its stream
		}
	}
	running := m.st.OwnRunning()
	var loads []EndpointLoad
	for i := range loadEngines {
		loads = append(loads, EndpointLoad{Address: fmt.Sprintf("10.0.0.%d:1", i), Running: running[fmt.Sprint("e", i)], Slowdown: 1, At: m.now})
	}
	m.st.SetLoads(loads, m.now)
}

// advance ends streams and waits and lets callers come back.
func (m *loadModel) advance() {
	m.st.DispatchWaiting(m.now)
	for _, c := range m.open {
		switch c.state {
		case loadAway:
			if !m.now.Before(c.attemptAt) {
				m.attempt(c)
			}
		case loadWaiting:
			select {
			case e := <-c.waiter.done:
				m.decided(c, e)
			default:
			}
		case loadRunning:
			m.progress(c)
		}
	}
	m.open = slices.DeleteFunc(m.open, func(c *loadRequest) bool { return c.state == loadEnded })
}

// progress delivers the first part and the end of a stream.
func (m *loadModel) progress(c *loadRequest) {
	if !c.partAt.IsZero() && !m.now.Before(c.partAt) {
		m.st.PartReceived(c.waiter.assigned, m.now)
		c.partAt = time.Time{}
	}
	if !m.now.Before(c.endAt) {
		c.state = loadEnded
		m.st.Release(c.waiter.assigned, Delivered{}, m.now)
	}
}

// attempt submits a caller's first or second attempt.
func (m *loadModel) attempt(c *loadRequest) {
	route := m.routes[c.kind]
	service := m.table.Service("quotes")
	name := loadAccountName(c.account)
	c.waiter = &waiter{done: make(chan *result.Error, 1), req: AdmitRequest{
		Service: service, ID: fmt.Sprint(c.id, c.retried), Account: name, AskedBefore: c.retried,
		FirstPartDeadline: c.arrivedAt.Add(route.TargetLatency), Deadline: c.arrivedAt.Add(loadDeadline),
		TargetLatency: route.TargetLatency, AbandonAt: m.now.Add(loadPatience),
		Class: m.table.Class(service.Name, route, m.table.Account(name)),
	}}
	waits, e := m.st.submit(c.waiter, m.now)
	if waits {
		c.state = loadWaiting
		return
	}
	m.decided(c, e)
}

// decided records the assignment or refusal of an attempt.
func (m *loadModel) decided(c *loadRequest, e *result.Error) {
	tally := &m.tallies[c.kind]
	switch {
	case e == nil:
		c.partAt = m.now.Add(time.Duration(60+m.rng.IntN(80)) * time.Millisecond)
		c.endAt = m.now.Add(time.Duration(1200+m.rng.IntN(1600)) * time.Millisecond)
		c.state = loadRunning
		if c.partAt.Sub(c.arrivedAt) <= loadKinds[c.kind].target {
			tally.onTime++
		} else {
			tally.late++
		}
	case c.retried:
		c.state = loadEnded
		tally.refused++
		if m.now.Sub(c.attemptAt) > loadTick {
			tally.held++
		}
	default:
		c.retried = true
		left := c.arrivedAt.Add(loadDeadline).Sub(m.now)
		c.attemptAt = m.now.Add(min(e.RetryAfter(), left/maxRetryAfterDivisor))
		c.state = loadAway
	}
}

// sumTallies runs the model for some seeds.
func sumTallies(classes bool) (sum [3]loadTally) {
	for seed := range uint64(loadSeeds) {
		for i, l := range newLoadModel(classes, seed).run() {
			sum[i].onTime += l.onTime
			sum[i].late += l.late
			sum[i].refused += l.refused
			sum[i].held += l.held
		}
	}
	return sum
}

// totalEarned returns the value earned by all kinds as a fraction of what is owed to all.
func totalEarned(tallies [3]loadTally) float64 {
	earned, owed := 0.0, 0.0
	for i, k := range loadKinds {
		o := float64(tallies[i].total()) * k.onTime
		earned, owed = earned+tallies[i].earned(k)*o, owed+o
	}
	return earned / owed
}

// Three kinds of streams arrive in bursts at an entry with too few slots. Guards against an urgent
// kind that is late or refused behind less urgent ones, and against a kind that is starved.
func TestUrgentKindsAreServedInBursts(t *testing.T) {
	t.Parallel()
	with, without := sumTallies(true), sumTallies(false)
	for i, k := range loadKinds {
		t.Logf("%-10s earned %.3f with classes %+v", k.name, with[i].earned(k), with[i])
		t.Logf("%-10s earned %.3f without      %+v", k.name, without[i].earned(k), without[i])
		if served := 1 - float64(with[i].refused)/float64(with[i].total()); served < 0.7 {
			t.Errorf("%s: only %.2f are served", k.name, served)
		}
	}
	t.Logf("value %.3f with classes, %.3f without", totalEarned(with), totalEarned(without))
	if urgent := loadKinds[0]; with[0].earned(urgent) < without[0].earned(urgent)+0.1 {
		t.Error("classes don't help the most urgent kind")
	}
	if totalEarned(with) < totalEarned(without)+0.06 {
		t.Error("classes don't raise the value")
	}
}

// Operators exchange the priorities of two routes while a request waits. Guards against a waiting
// request that changes its class, and a new one that keeps the old one.
func TestWaitingRequestsKeepTheirClass(t *testing.T) {
	m := newLoadModel(true, 1)
	service, account := m.table.Service("quotes"), m.table.Account("account1")
	takeAllSlots(t, m.st, service, start)
	arrive := func(id string, table *routing.Table, route *routing.Route) *waiter {
		w := &waiter{done: make(chan *result.Error, 1), req: newAdmitRequest(id, service, start)}
		w.req.Class = table.Class("quotes", route, account)
		if waits, e := m.st.submit(w, start); !waits {
			t.Fatalf("%s does not wait: %v", id, e)
		}
		return w
	}
	old := arrive("old", m.table, m.routes[0])
	oldClass := old.req.Class
	var swapped []*routing.Route
	for i, r := range m.routes {
		c := *r
		c.Priority = len(m.routes) - i
		swapped = append(swapped, &c)
	}
	table := routing.NewTable(3, swapped, m.table.Services(), loadAccountKeys(), routing.Limits{})
	m.st.SetTable(table, start)
	if w := arrive("new", table, swapped[0]); old.req.Class != oldClass || w.req.Class == oldClass {
		t.Errorf("class %d became %d, and a new request has %d", oldClass, old.req.Class, w.req.Class)
	}
	m.st.mu.Lock()
	defer m.st.mu.Unlock()
	started, _ := m.st.queue.Next(start, func(*admission.Request) bool { return true })
	if len(started) != 2 || started[0].Class != int(oldClass) {
		t.Errorf("started %+v, want the old request with class %d", started, oldClass)
	}
}

// A group is closed. Guards against callers of all classes that come back together when it opens.
func TestLessUrgentCallersComeBackLaterToAClosedGroup(t *testing.T) {
	m := newLoadModel(true, 1)
	m.table.Service("quotes").Engine.Experts.Sets = 4
	reportLoads(m.st, true, false, start)
	retryAfter := func(id string, class routing.Class) time.Duration {
		req := newAdmitRequest(id, m.table.Service("quotes"), start)
		req.Class = class
		_, e := m.st.Admit(context.Background(), req, fixedClock(start))
		wantCode(t, e, result.GroupClosed)
		return (&job{deadline: req.Deadline}).retryAfter(e, start)
	}
	urgent := time.Duration(0)
	for i := range 4 {
		urgent = retryAfter(fmt.Sprint("urgent", i), 0)
	}
	if batch := retryAfter("batch", 2); batch <= urgent || batch > 8*time.Second/maxRetryAfterDivisor {
		t.Errorf("retry after %v for an urgent caller and %v for another", urgent, batch)
	}
	if again := retryAfter("again", 0); again != urgent {
		t.Errorf("retry after %v for an urgent caller and then %v", urgent, again)
	}
}
