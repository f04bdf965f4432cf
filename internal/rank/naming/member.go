package naming

import (
	"github.com/hyssoprelay/hyssoprelay/internal/rank/expertmap"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// Member is the state machine of one agent of a group. Set the exported fields
// before the first call. A Member is not safe for concurrent use.
type Member struct {
	// Index is the member's position in the group, Members the group's size.
	Index, Members int
	// Incarnation increases with each start of the agent. The member raises it
	// when its ranks restart.
	Incarnation uint64
	// Lookahead is how many steps the ranks may run beyond the last step begun
	// without a new step limit. It must cover the time between two calls of
	// Tick, or the ranks stop. An activation takes effect no earlier than that
	// many steps ahead.
	Lookahead uint64

	// sequence numbers the states of this incarnation.
	sequence uint64
	// maxToken is the highest fencing token seen.
	maxToken uint64
	joined   bool
	schedule []ScheduleEntry
	pending  Activation
	// stepLimit is at least as high as any step limit sent to the engine.
	stepLimit uint64
	maps      []*expertmap.Map
	// incarnations holds the highest known incarnation of each member.
	incarnations []uint64
	// joinReplies holds the last reply of each peer while the member joins.
	joinReplies map[int]JoinReply
	engine      EngineState
}

// Handle applies an order of the leader and returns the member's state after
// it. The error says why an order was refused.
func (m *Member) Handle(o Order) (State, error) {
	m.init()
	err := m.apply(o)
	return m.State(), err
}

func (m *Member) init() {
	if m.incarnations != nil {
		return
	}
	m.incarnations = make([]uint64, m.Members)
	m.incarnations[m.Index] = m.Incarnation
	m.joinReplies = map[int]JoinReply{}
}

// apply checks the fencing token and the incarnation of an order and executes
// it.
//
// A paused leader can lose its lease, wake up after its successor has activated
// a map, and send outdated orders. Obeying them would give one step two maps at
// engines that ignore fencing tokens. The member therefore refuses tokens lower
// than the highest one seen, and a leader acts only after all members have seen
// its token. In the same way the incarnation rejects orders sent before a
// restart.
func (m *Member) apply(o Order) error {
	h := o.header()
	if h.Token < m.maxToken {
		return result.Newf(result.StaleFencing, "token %d, seen %d", h.Token, m.maxToken)
	}
	m.maxToken = h.Token
	if _, ok := o.(Query); ok {
		return nil
	}
	if h.Incarnation != m.Incarnation {
		return result.Newf(result.StaleFencing, "order for incarnation %d, this is %d", h.Incarnation, m.Incarnation)
	}
	switch o := o.(type) {
	case Stage:
		m.storeMap(o.Map)
		return nil
	case Hold:
		return m.hold(o)
	case Release:
		return m.release(o)
	case Abandon:
		m.abandon(o.Activation)
		return nil
	default:
		return result.Newf(result.MalformedMsg, "order %T", o)
	}
}

// hold promises that the ranks will not begin the activation's step until it is
// released or abandoned.
//
// Without this, one member's ranks could begin a step with the old map while
// another member receives a new map for this step. The promise is given only
// for a step beyond every step limit sent to the engine, limits do not reach
// the step while the activation is pending, and no member is released before
// all have promised.
func (m *Member) hold(o Hold) error {
	switch {
	case m.pending != Activation{} && m.pending != o.Activation:
		return result.Newf(result.Conflict, "holding for step %d", m.pending.Step)
	case !m.joined && !m.noPeerJoined():
		return result.New(result.MapMissing, "the member is joining its group")
	case !m.viewMatches(o.View):
		return result.New(result.StaleFencing, "a member has restarted since")
	case m.pending == o.Activation || m.hasScheduled(o.Activation):
		return nil
	case m.stepLimit >= o.Activation.Step || m.engine.LastStep >= o.Activation.Step:
		return result.Newf(result.Conflict, "the ranks may run up to step %d", m.stepLimit)
	case m.engineHasLaterEntry(o.Activation):
		return result.New(result.Conflict, "the ranks have a later name ahead of them")
	case !m.engineStaged(o.Activation.Map):
		return result.Newf(result.MapMissing, "version %d", o.Activation.Map.Version)
	}
	m.pending = o.Activation
	return nil
}

// release schedules the activation that the member holds.
func (m *Member) release(o Release) error {
	if m.hasScheduled(o.Activation) {
		return nil
	}
	if m.pending != o.Activation {
		return result.Newf(result.Conflict, "not holding for step %d", o.Activation.Step)
	}
	if !m.viewMatches(o.View) {
		return result.New(result.StaleFencing, "a member has restarted since")
	}
	m.pending = Activation{}
	m.joined = true
	m.addEntry(ScheduleEntry{FirstStep: o.Activation.Step, Map: o.Activation.Map})
	return nil
}

func (m *Member) abandon(a Activation) {
	if m.pending == a {
		m.pending = Activation{}
	}
}

func (m *Member) addEntry(e ScheduleEntry) {
	m.schedule = append(m.schedule, e)
	if len(m.schedule) > maxEntries {
		m.schedule = m.schedule[len(m.schedule)-maxEntries:]
	}
	m.evictMaps()
}

// viewMatches reports whether a leader's view has exactly the incarnations that
// this member knows.
func (m *Member) viewMatches(view []uint64) bool {
	if len(view) != len(m.incarnations) {
		return false
	}
	for i, v := range view {
		if v != m.incarnations[i] {
			return false
		}
	}
	return true
}

// engineHasLaterEntry reports whether the ranks have another entry for the
// activation's step or a later one. This happens if the agent has restarted and
// forgotten what it told its ranks.
func (m *Member) engineHasLaterEntry(a Activation) bool {
	entry := ScheduleEntry{FirstStep: a.Step, Map: a.Map}
	for _, e := range m.engine.Schedule {
		if e.FirstStep >= a.Step && e != entry {
			return true
		}
	}
	return false
}

// hasScheduled reports whether the member's schedule has the activation.
func (m *Member) hasScheduled(a Activation) bool {
	return containsEntry(m.schedule, ScheduleEntry{FirstStep: a.Step, Map: a.Map})
}

// Map returns the map with the given reference, and false if the member does
// not have it.
func (m *Member) Map(r Ref) (*expertmap.Map, bool) {
	for _, em := range m.maps {
		if RefOf(em) == r {
			return em, true
		}
	}
	return nil, false
}

// maxMaps is the number of maps kept in memory: those of the schedule, of the
// pending activation and of one being staged, and one more for a leader that
// replaces its proposed map.
const maxMaps = maxEntries + 3

// storeMap stores em as the most recent map.
func (m *Member) storeMap(em *expertmap.Map) {
	others := m.maps[:0]
	for _, other := range m.maps {
		if RefOf(other) != RefOf(em) {
			others = append(others, other)
		}
	}
	m.maps = append(others, em)
	m.evictMaps()
}

// evictMaps removes the oldest maps that are neither scheduled nor pending,
// down to maxMaps.
func (m *Member) evictMaps() {
	for i := 0; i < len(m.maps) && len(m.maps) > maxMaps; {
		if m.requires(RefOf(m.maps[i])) {
			i++
			continue
		}
		m.maps = append(m.maps[:i], m.maps[i+1:]...)
	}
}

func (m *Member) requires(r Ref) bool {
	if m.pending.Map == r {
		return true
	}
	for _, e := range m.schedule {
		if e.Map == r {
			return true
		}
	}
	return false
}

// State returns the member's present state under the next sequence number.
func (m *Member) State() State {
	m.init()
	m.sequence++
	s := State{
		Member:       m.Index,
		Incarnation:  m.Incarnation,
		Sequence:     m.sequence,
		MaxToken:     m.maxToken,
		Joined:       m.joined,
		NoPeerJoined: !m.joined && m.noPeerJoined(),
		LastStep:     m.engine.LastStep,
		StepLimit:    m.stepLimit,
		Schedule:     append([]ScheduleEntry(nil), m.schedule...),
		Pending:      m.pending,
	}
	for _, r := range m.engine.Staged {
		if _, ok := m.Map(r); ok {
			s.Staged = append(s.Staged, r)
		}
	}
	return s
}

// RequiredMaps returns the maps of the schedule and of the pending activation,
// which a leader may have to stage again.
func (m *Member) RequiredMaps() []*expertmap.Map {
	var out []*expertmap.Map
	for _, em := range m.maps {
		if m.requires(RefOf(em)) {
			out = append(out, em)
		}
	}
	return out
}
