package relay

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/batch"
	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/slotshare"
	"github.com/hyssoprelay/hyssoprelay/internal/routing"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// hardEngine returns the engine of deployment H of docs/hard-load.md.
func hardEngine() *routing.Engine {
	return &routing.Engine{
		Slots: 10, Stride: 7, Step: 4840 * time.Microsecond, PerSequence: 435 * time.Microsecond,
		MeanPrompt: 835, MeanOutput: 97, Experts: routing.Experts{Share: 0.85},
	}
}

// kind is a kind of requests of the model, which is also its class.
type kind struct {
	rate   float64 // requests per second of the whole fleet
	target time.Duration
}

// hardKinds returns the streams of deployment H at a multiple of their usual rates.
func hardKinds(scale float64) []kind {
	return []kind{{82.5 * scale, 400 * time.Millisecond}, {109 * scale, 400 * time.Millisecond}, {36.3 * scale, 800 * time.Millisecond}}
}

// quotaModel simulates entries that compete for the slots of one service, with messages that are
// delayed, lost and duplicated, and with VMs whose clocks count from different moments.
type quotaModel struct {
	rng       *rand.Rand
	kinds     []kind
	service   *routing.Service
	entries   []*modelEntry
	slots     map[string]int
	running   map[string]int
	messages  []modelMessage
	allowance int
	// even has the entries divide free slots evenly, as before there were classes.
	even bool
	// lost and duplicated are the parts of messages that are.
	lost, duplicated float64
	now              time.Time
	nextID           int
	stats            quotaStats
}

type modelEntry struct {
	st         *State
	dataCentre int
	offset     time.Duration
	changed    bool
	// incarnation and sequence number the reports.
	incarnation, sequence uint64
	reportedAt            time.Time
	// frozenUntil is until when the process does not run.
	frozenUntil time.Time
	waiting     []*modelRequest
	running     []*modelRequest
	// starts is the history from which the even division is computed.
	starts map[string][]time.Time
}

type modelRequest struct {
	w            *waiter
	class        int
	arrived      time.Time
	started      time.Time
	first, until time.Time
}

type modelMessage struct {
	to   int
	at   time.Time
	sent time.Time
	load EntryLoad
}

// quotaStats is what a run of the model has measured.
type quotaStats struct {
	arrived, started, onTime [3]int
	// waits holds the waits of the requests that were started, by class.
	waits [3][]time.Duration
	// idle is the time for which slots were free while as many requests waited, and excess that for
	// which endpoints had more requests than they may.
	idle, excess, used time.Duration
	refused            [3]int
}

func newQuotaModel(seed uint64, entries, endpoints int, scale float64) *quotaModel {
	m := &quotaModel{
		rng: rand.New(rand.NewPCG(seed, 7)), kinds: hardKinds(scale), service: &routing.Service{Name: "quotes", Engine: hardEngine()},
		slots: map[string]int{}, running: map[string]int{}, now: start, lost: 0.02, duplicated: 0.02,
	}
	m.allowance = batch.MaxBatch(hardEngine(), 120*time.Millisecond)
	var routes []*routing.Route
	for i, k := range m.kinds {
		routes = append(routes, &routing.Route{
			Name: fmt.Sprint(i), Host: "h", Prefix: fmt.Sprintf("/%d/", i), MaxAttempts: 2, TargetLatency: k.target, Priority: i,
			MaxGap: 120 * time.Millisecond, Splits: []routing.Split{{Service: "quotes", Weight: 1}},
		})
	}
	for i := range entries {
		e := &modelEntry{dataCentre: i % 3, incarnation: 1, offset: time.Duration(m.rng.Int64N(int64(100 * time.Hour))), starts: map[string][]time.Time{}}
		e.st = &State{Name: fmt.Sprint("entry", i), DataCentre: "a", Seed: uint64(i), Freshness: &Freshness{}}
		e.st.OnChange = func() { e.changed = true }
		e.st.Init(m.at(e))
		e.st.SetTable(routing.NewTable(1, routes, []*routing.Service{m.service}, nil, routing.Limits{}), m.at(e))
		listEndpoints(e.st, endpoints, "quotes")
		for k := range entries {
			e.st.SetEntry(fmt.Sprint("entry", k), true, m.at(e))
		}
		m.entries = append(m.entries, e)
	}
	return m
}

// at returns the present time by the clock of an entry's VM.
func (m *quotaModel) at(e *modelEntry) time.Time { return m.now.Add(e.offset) }

// run simulates some time.
func (m *quotaModel) run(d time.Duration) {
	for end := m.now.Add(d); m.now.Before(end); m.now = m.now.Add(time.Millisecond) {
		m.deliver()
		for i, e := range m.entries {
			if m.now.Before(e.frozenUntil) {
				continue
			}
			m.advance(e)
			m.dispatch(e)
			m.report(i, e)
		}
		for class, k := range m.kinds {
			if m.rng.Float64() < k.rate/1000 {
				m.arrive(m.entries[m.rng.IntN(len(m.entries))], class)
			}
		}
		m.measure()
	}
}

// deliver delivers the messages that are due.
func (m *quotaModel) deliver() {
	rest := m.messages[:0]
	for _, msg := range m.messages {
		e := m.entries[msg.to]
		if m.now.Before(msg.at) || m.now.Before(e.frozenUntil) {
			rest = append(rest, msg)
			continue
		}
		m.prepare(e)
		msg.load.At = m.at(e).Add(-m.now.Sub(msg.sent))
		e.st.SetEntryLoads([]EntryLoad{msg.load}, m.at(e))
	}
	m.messages = rest
}

// report has an entry send its report to all others: at most each 20 ms, and through the hub of its data
// centre, which forwards reports each 50 ms, and each 200 ms to other data centres.
func (m *quotaModel) report(i int, e *modelEntry) {
	since := m.now.Sub(e.reportedAt)
	if since < 20*time.Millisecond || !e.changed && since < time.Second {
		return
	}
	e.changed, e.reportedAt = false, m.now
	e.sequence = e.st.NextSequence(e.sequence, e.incarnation, m.at(e))
	load := EntryLoad{
		Entry: e.st.Name, Incarnation: e.incarnation, Sequence: e.sequence,
		Running: e.st.OwnRunning(), WaitingByClass: e.st.ReportWaiting(),
	}
	for k, to := range m.entries {
		if k == i || m.rng.Float64() < m.lost {
			continue
		}
		delay := 2*time.Millisecond + m.random(50*time.Millisecond)
		if to.dataCentre != e.dataCentre {
			delay += 5*time.Millisecond + m.random(200*time.Millisecond)
		}
		msg := modelMessage{to: k, sent: m.now, at: m.now.Add(delay), load: load}
		m.messages = append(m.messages, msg)
		if m.rng.Float64() < m.duplicated {
			msg.at = msg.at.Add(m.random(time.Second))
			m.messages = append(m.messages, msg)
		}
	}
	m.prepare(e)
	e.st.DispatchWaiting(m.at(e))
}

func (m *quotaModel) random(d time.Duration) time.Duration {
	return time.Duration(m.rng.Int64N(int64(d)))
}

// arrive has a request arrive at an entry. A process that does not run gets none.
func (m *quotaModel) arrive(e *modelEntry, class int) {
	if m.now.Before(e.frozenUntil) {
		return
	}
	m.nextID++
	now, target := m.at(e), m.kinds[class].target
	w := &waiter{done: make(chan *result.Error, 1), req: AdmitRequest{
		Service: m.service, ID: fmt.Sprint(m.nextID), Account: anonymousAccount, TargetLatency: target,
		FirstPartDeadline: now.Add(target), Deadline: now.Add(8 * time.Second), AbandonAt: now.Add(2 * time.Second), Class: routing.Class(class),
	}}
	r := &modelRequest{w: w, class: class, arrived: m.now}
	m.stats.arrived[class]++
	m.prepare(e)
	waits, refusal := e.st.submit(w, now)
	switch {
	case waits:
		e.waiting = append(e.waiting, r)
	case refusal == nil:
		m.start(e, r)
	default:
		m.stats.refused[class]++
	}
}

func (m *quotaModel) start(e *modelEntry, r *modelRequest) {
	id := r.w.assigned.Endpoint.ID
	m.running[id]++
	e.starts[id] = append(e.starts[id], m.now)
	r.started, r.first, r.until = m.now, m.now.Add(100*time.Millisecond), m.now.Add(2200*time.Millisecond+m.random(1200*time.Millisecond))
	e.running = append(e.running, r)
	m.stats.started[r.class]++
	m.stats.waits[r.class] = append(m.stats.waits[r.class], m.now.Sub(r.arrived))
	if r.first.Sub(r.arrived) <= m.kinds[r.class].target {
		m.stats.onTime[r.class]++
	}
}

// advance delivers first parts and ends requests that are complete.
func (m *quotaModel) advance(e *modelEntry) {
	for _, r := range slices.Clone(e.running) {
		if !r.first.IsZero() && !m.now.Before(r.first) {
			e.st.PartReceived(r.w.assigned, m.at(e))
			r.first = time.Time{}
		}
		if !m.now.Before(r.until) {
			m.running[r.w.assigned.Endpoint.ID]--
			e.running = slices.DeleteFunc(e.running, func(o *modelRequest) bool { return o == r })
			m.prepare(e)
			e.st.Release(r.w.assigned, Delivered{}, m.at(e))
			m.collect(e)
		}
	}
}

// dispatch does what the timers of waiting requests do, and takes over what was assigned or refused.
func (m *quotaModel) dispatch(e *modelEntry) {
	m.collect(e)
	if len(e.waiting) == 0 {
		return
	}
	at, ok := e.st.queue.NextRefusal()
	due := ok && !m.at(e).Before(at) || !e.st.nextShareAt.IsZero() && !m.at(e).Before(e.st.nextShareAt)
	if due {
		m.prepare(e)
		e.st.DispatchWaiting(m.at(e))
		m.collect(e)
	}
}

func (m *quotaModel) collect(e *modelEntry) {
	rest := e.waiting[:0]
	for _, r := range e.waiting {
		select {
		case refusal := <-r.w.done:
			if refusal == nil {
				m.start(e, r)
			} else {
				m.stats.refused[r.class]++
			}
		default:
			rest = append(rest, r)
		}
	}
	e.waiting = rest
}

// prepare replaces an entry's quotas by those of the even division: the entries with waiting requests
// have equal parts, and the remainder goes to one after the other by the VM's clock.
func (m *quotaModel) prepare(e *modelEntry) {
	if !m.even {
		return
	}
	now, names := m.at(e), []string{e.st.Name}
	for name, l := range e.st.entryLoads {
		if now.Sub(l.At) < maxEntryLoadAge && len(l.WaitingByClass) > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	i, turn := slices.Index(names, e.st.Name), uint64(now.UnixNano()/int64(quotaPeriod))
	s := e.st.quotas.forService("quotes")
	*s = serviceQuota{computedAt: now, period: e.st.clock.period(now), limited: len(names) > 1, left: map[string]int{}}
	for id, ep := range e.st.endpoints {
		e.starts[id] = slices.DeleteFunc(e.starts[id], func(t time.Time) bool { return m.now.Sub(t) > quotaPeriod })
		allowance, _ := e.st.endpointCapacity(ep)
		running, _ := e.st.running(ep, now)
		taken := len(e.starts[id])
		s.left[id] = slotshare.Part(allowance-running+taken, i, len(names), turn) - taken
	}
}

// measure adds the present millisecond to the statistics.
func (m *quotaModel) measure() {
	free, waiting := 0, 0
	for _, e := range m.entries[0].st.endpoints {
		n := m.running[e.ID]
		free += max(0, m.allowance-n)
		m.stats.excess += time.Duration(max(0, n-m.allowance)) * time.Millisecond
		m.stats.used += time.Duration(min(n, m.allowance)) * time.Millisecond
	}
	for _, e := range m.entries {
		waiting += len(e.waiting)
	}
	m.stats.idle += time.Duration(min(free, waiting)) * time.Millisecond
}

func (s *quotaStats) String() string {
	out := ""
	for c := range s.arrived {
		slices.Sort(s.waits[c])
		out += fmt.Sprintf("class %d: %d arrived, %.2f started, %.2f on time, mean wait %v", c, s.arrived[c],
			float64(s.started[c])/float64(s.arrived[c]), float64(s.onTime[c])/float64(s.arrived[c]), s.meanWait(c).Round(time.Millisecond))
		if len(s.waits[c]) > 0 {
			out += fmt.Sprintf(", p95 %v", s.waits[c][len(s.waits[c])*95/100].Round(time.Millisecond))
		}
		out += "\n"
	}
	idle, excess := s.shares()
	return out + fmt.Sprintf("idle while requests wait %.4f, excess %.4f of the slot time", idle, excess)
}

// shares returns the idle time and the excess as parts of the slot time that could be used.
func (s *quotaStats) shares() (idle, excess float64) {
	slotTime := (s.used + s.idle).Seconds()
	return s.idle.Seconds() / slotTime, s.excess.Seconds() / slotTime
}
