package concurrency

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/routing"
)

const (
	modelGroups = 2
	modelRanks  = 32
	// modelClasses is the number of classes, of which 0 is the most urgent.
	modelClasses = 3
	// jumpSpacing is the least time between two changes of popularity, and jumpLength how long the skew
	// is raised until the next map is in force.
	jumpSpacing = 3 * time.Second
	jumpLength  = 400 * time.Millisecond
	evenSkew    = 1.3
	// Jumps raise the skew to between leastJump and greatestSkew.
	leastJump, greatestSkew = 2.3, 3.5
	// firstPassTime is the time after which a request that has a slot is assumed to have its first
	// event.
	firstPassTime = 220 * time.Millisecond
	// arrivalWindow is the time constant with which arrivals are averaged.
	arrivalWindow = 3 * time.Second
	// ownStreams of this number of streams are those of one entry, whose pauses are observed.
	ownStreams = 16
)

// deployment describes an engine and the demand on it.
type deployment struct {
	engine *routing.Engine
	gap    time.Duration
	// rates are the requests per second by class at the usual demand, first the targets for the first
	// event, and values the values of a request on time and late.
	rates  [modelClasses]float64
	first  [modelClasses]time.Duration
	values [modelClasses][2]float64
}

func deploymentH() deployment {
	return deployment{
		engine: &routing.Engine{
			Slots: 10, Stride: 7, Step: 4840 * time.Microsecond, PerSequence: 435 * time.Microsecond,
			PrefillRate: 74800, PrefillChunk: 512, MeanPrompt: 900, MeanOutput: 97, Experts: routing.Experts{Share: 0.85},
		},
		gap: 120 * time.Millisecond, rates: [modelClasses]float64{82.5, 109, 36.3},
		first:  [modelClasses]time.Duration{400 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond},
		values: [modelClasses][2]float64{{3, 0.9}, {1.6, 0.656}, {0.8, 0.24}},
	}
}

func deploymentC() deployment {
	d := deploymentH()
	d.engine.Slots, d.engine.Stride, d.engine.Step, d.engine.PerSequence = 12, 5, 4550*time.Microsecond, 1090*time.Microsecond
	d.gap, d.rates = 150*time.Millisecond, [modelClasses]float64{95, 73, 42}
	d.first = [modelClasses]time.Duration{500 * time.Millisecond, 500 * time.Millisecond, 500 * time.Millisecond}
	return d
}

type modelRequest struct {
	class            int
	arrived, started time.Duration
	prompt, passes   int
	last, lastPause  time.Duration
	own, late        bool
}

type modelGroup struct {
	ranks   [modelRanks][]*modelRequest
	limit   *Limit
	passEnd time.Duration
	skew    float64
	jumpAt  time.Duration
	limits  []int
}

// classResult counts the requests of a class by how they ended.
type classResult struct{ onTime, late, refused int }

// model simulates groups of engines, and one queue of all entries ordered by class.
type model struct {
	deployment
	// arrivals and jumps are random independently of what is decided.
	arrivals, jumps *rand.Rand
	groups          [modelGroups]*modelGroup
	queue           [modelClasses][]*modelRequest
	// fixed is the batch limit if it isn't adapted.
	fixed int
	// reserve is the part of the slots needed by more urgent classes that is kept free of a class.
	reserve float64
	// arrivalRates are the observed arrivals per second and running the requests with a slot, by
	// class, and slotTime is the observed time in seconds that a request holds its slot.
	arrivalRates, running [modelClasses]float64
	slotTime              float64
	// jumpSkew is the skew of all jumps, or zero if it is random.
	jumpSkew float64
	results  [modelClasses]classResult
	now      time.Duration
	seq      int
}

// modelStart is the time at which a model starts.
var modelStart = time.Unix(1_000_000, 0)

func newModel(d deployment, fixed int, seed uint64) *model {
	m := &model{deployment: d, arrivals: rand.New(rand.NewPCG(seed, 11)), jumps: rand.New(rand.NewPCG(seed, 13)), fixed: fixed}
	for i := range m.groups {
		m.groups[i] = &modelGroup{limit: New(NewBounds(d.engine, d.gap)), skew: evenSkew, jumpAt: m.nextJump()}
	}
	return m
}

func (m *model) nextJump() time.Duration {
	return m.now + jumpSpacing + time.Duration(m.jumps.Float64()*float64(time.Second))
}

// run simulates the given time with a multiple of the usual demand.
func (m *model) run(length time.Duration, demand float64) {
	const tick = time.Millisecond
	for end := m.now + length; m.now < end; m.now += tick {
		for c := range modelClasses {
			m.arrivalRates[c] *= 1 - tick.Seconds()/arrivalWindow.Seconds()
			if m.arrivals.Float64() < m.rates[c]*demand*tick.Seconds() {
				m.arrive(c)
			}
		}
		for _, g := range m.groups {
			if m.now >= g.passEnd {
				m.endPass(g)
			}
		}
		m.dispatch()
	}
}

func (m *model) arrive(class int) {
	m.seq++
	const medianPrompt, sigma, longestPrompt = 800, 0.5, 2900
	prompt := min(longestPrompt, int(medianPrompt*math.Exp(sigma*m.arrivals.NormFloat64())))
	passes := (m.engine.MeanOutput/3 + m.arrivals.IntN(m.engine.MeanOutput*4/3)) / m.engine.Stride
	m.arrivalRates[class] += 1 / arrivalWindow.Seconds()
	m.queue[class] = append(m.queue[class], &modelRequest{class: class, arrived: m.now, prompt: prompt, passes: passes, own: m.seq%ownStreams == 0})
}

// dispatch starts waiting requests, the most urgent class first, and refuses those that would be late.
func (m *model) dispatch() {
	for c := range m.queue {
		for len(m.queue[c]) > 0 {
			r := m.queue[c][0]
			if m.now > r.arrived+m.first[c]-firstPassTime {
				m.results[c].refused++
			} else if !m.start(r) {
				break
			}
			m.queue[c] = m.queue[c][1:]
		}
	}
}

// start gives a request the emptiest rank, and reports whether one has a free slot for its class.
func (m *model) start(r *modelRequest) bool {
	var rank *[]*modelRequest
	slots, needed, running := 0, 0.0, 0.0
	for _, g := range m.groups {
		limit := m.limitOf(g)
		slots += modelRanks * limit
		for i := range g.ranks {
			if len(g.ranks[i]) < limit && (rank == nil || len(g.ranks[i]) < len(*rank)) {
				rank = &g.ranks[i]
			}
		}
	}
	for c := range modelClasses {
		if c < r.class {
			needed += m.arrivalRates[c] * m.slotTime
		} else {
			running += m.running[c]
		}
	}
	if rank == nil || running >= float64(slots)-m.reserve*needed {
		return false
	}
	*rank = append(*rank, r)
	m.running[r.class]++
	r.started = m.now
	return true
}

func (m *model) limitOf(g *modelGroup) int {
	if m.fixed > 0 {
		return m.fixed
	}
	return g.limit.Requests()
}

// endPass gives the streams of a group an event and begins its next pass.
func (m *model) endPass(g *modelGroup) {
	at := modelStart.Add(m.now)
	decoding := g.decoding()
	for i := range g.ranks {
		kept := g.ranks[i][:0]
		for _, r := range g.ranks[i] {
			if m.event(g, r, decoding, at) {
				kept = append(kept, r)
			}
		}
		g.ranks[i] = kept
	}
	g.limit.Advance(at)
	g.limits = append(g.limits, m.limitOf(g))
	g.passEnd = m.now + m.passDuration(g)
}

func (g *modelGroup) decoding() float64 {
	n := 0
	for _, requests := range g.ranks {
		n += len(requests)
	}
	return float64(n) / modelRanks
}

// event gives a stream an event if the pass that ends has begun after it got its slot. It reports
// whether the stream goes on.
func (m *model) event(g *modelGroup, r *modelRequest, decoding float64, at time.Time) bool {
	if r.prompt > 0 {
		return true
	}
	if r.last == 0 {
		r.late = m.now-r.arrived > m.first[r.class]
	} else {
		pause := m.now - r.last
		r.late = r.late || pause > m.gap
		if r.own {
			g.limit.Observe(r.lastPause, pause, decoding, at)
		}
		r.lastPause = pause
	}
	r.last = m.now
	if r.passes--; r.passes > 0 {
		return true
	}
	m.running[r.class]--
	m.slotTime += 0.01 * ((m.now - r.started).Seconds() - m.slotTime)
	if r.late {
		m.results[r.class].late++
	} else {
		m.results[r.class].onTime++
	}
	return false
}

// passDuration returns how long the next pass of a group takes: its steps, the work for decoding
// requests on the busiest rank, and the reading of the prompts of the rank with most of them. Those
// prompts are read then.
func (m *model) passDuration(g *modelGroup) time.Duration {
	if m.now >= g.jumpAt+jumpLength {
		g.skew, g.jumpAt = evenSkew, m.nextJump()
	} else if m.now >= g.jumpAt && g.skew == evenSkew {
		if g.skew = m.jumpSkew; g.skew == 0 {
			g.skew = leastJump + (greatestSkew-leastJump)*m.jumps.Float64()
		}
	}
	decoding, prompts, longest := 0, 0, 0
	for _, requests := range g.ranks {
		own := 0
		for _, r := range requests {
			if r.prompt == 0 {
				decoding++
			}
			own += r.prompt
			r.prompt = 0
		}
		prompts, longest = prompts+own, max(longest, own)
	}
	e := m.engine
	share, mean := e.Experts.Share, float64(readingTime(e, prompts))/modelRanks
	work := float64(decoding) / modelRanks * float64(e.PerSequence) * float64(e.Stride) * (1 - share + share*g.skew)
	reading := share*g.skew*mean + (1-share)*float64(readingTime(e, longest))
	return time.Duration(e.Stride)*e.Step + time.Duration(work+reading)
}

// value returns the value earned per second.
func (m *model) value() float64 {
	sum := 0.0
	for c, r := range m.results {
		sum += float64(r.onTime)*m.values[c][0] + float64(r.late)*m.values[c][1]
	}
	return sum / m.now.Seconds()
}
