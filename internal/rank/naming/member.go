package naming

import (
	"github.com/hyssoprelay/hyssoprelay/internal/rank/expertmap"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// Member is the state machine of one agent of a group. Set the exported fields
// before the first call; it is not safe for concurrent use.
type Member struct {
	// Index is the member's place in the group, Members how many there are.
	Index, Members int
	// Incarnation grows with each start of the agent. The member raises it
	// when its ranks restart.
	Incarnation uint64
	// Lookahead is how many steps the ranks may run without asking. It must
	// cover the time between two calls of Tick, or the ranks stop; a name
	// takes force no earlier than so many steps ahead.
	Lookahead uint64

	number   uint64
	fence    uint64
	joined   bool
	schedule []Entry
	pending  Name
	// granted is no less than any bound that the engine was given.
	granted uint64
	maps    []*expertmap.Map
	// view holds the highest incarnation known of each member.
	view   []uint64
	heard  map[int]Joining
	engine EngineState
}

// Handle obeys an order of the leader, or does not, and returns the member's
// state after it. The error says why an order was refused.
func (m *Member) Handle(o Order) (State, error) {
	m.init()
	err := m.obey(o)
	return m.State(), err
}

func (m *Member) init() {
	if m.view != nil {
		return
	}
	m.view = make([]uint64, m.Members)
	m.view[m.Index] = m.Incarnation
	m.heard = map[int]Joining{}
}

// obey checks the fencing token and the incarnation of an order and runs it.
//
// Failure: a leader is paused, its lease lapses, another leader names a map,
// and the first wakes and sends what it had in hand. It shows as two maps in
// one step at an engine that ignores fencing numbers. The member keeps the
// highest token seen and refuses lower ones, and a leader acts only after all
// members have seen its token, so orders of an older one no longer count. The
// incarnation does the same for orders that a restart has overtaken.
func (m *Member) obey(o Order) error {
	h := o.head()
	if h.Token < m.fence {
		return result.Newf(result.StaleFencing, "token %d, seen %d", h.Token, m.fence)
	}
	m.fence = h.Token
	if _, ok := o.(Query); ok {
		return nil
	}
	if h.Incarnation != m.Incarnation {
		return result.Newf(result.StaleFencing, "order for incarnation %d, this is %d", h.Incarnation, m.Incarnation)
	}
	switch o := o.(type) {
	case Stage:
		m.keep(o.Map)
		return nil
	case Hold:
		return m.hold(o)
	case Release:
		return m.release(o)
	case Abandon:
		m.abandon(o.Name)
		return nil
	default:
		return result.Newf(result.MalformedMsg, "order %T", o)
	}
}

// hold promises not to let the ranks begin the name's step.
//
// Failure: one member's ranks have begun a step when another member hears
// that a new map holds from it. It shows as two maps in this step. The promise
// is given only for a step beyond each bound handed to the engine, bounds are
// not extended over it while it is pending, and no member is released before
// all have promised.
func (m *Member) hold(o Hold) error {
	switch {
	case m.pending != Name{} && m.pending != o.Name:
		return result.Newf(result.Conflict, "holding for step %d", m.pending.Step)
	case !m.joined && !m.orphan():
		return result.New(result.MapMissing, "the member is joining its group")
	case !m.sees(o.View):
		return result.New(result.StaleFencing, "a member has restarted since")
	case m.pending == o.Name || m.inForce(o.Name):
		return nil
	case m.granted >= o.Name.Step || m.engine.Begun >= o.Name.Step:
		return result.Newf(result.Conflict, "the ranks may run up to step %d", m.granted)
	case m.engineBeyond(o.Name):
		return result.New(result.Conflict, "the ranks have a later name ahead of them")
	case !m.engineStaged(o.Name.Map):
		return result.Newf(result.MapMissing, "version %d", o.Name.Map.Version)
	}
	m.pending = o.Name
	return nil
}

// release puts the name in force that the member holds for.
func (m *Member) release(o Release) error {
	if m.inForce(o.Name) {
		return nil
	}
	if m.pending != o.Name {
		return result.Newf(result.Conflict, "not holding for step %d", o.Name.Step)
	}
	if !m.sees(o.View) {
		return result.New(result.StaleFencing, "a member has restarted since")
	}
	m.pending = Name{}
	m.joined = true
	m.append(Entry{From: o.Name.Step, Map: o.Name.Map})
	return nil
}

func (m *Member) abandon(n Name) {
	if m.pending == n {
		m.pending = Name{}
	}
}

func (m *Member) append(e Entry) {
	m.schedule = append(m.schedule, e)
	if len(m.schedule) > keptEntries {
		m.schedule = m.schedule[len(m.schedule)-keptEntries:]
	}
	m.forget()
}

// sees reports whether the view names the incarnations that the member knows.
func (m *Member) sees(view []uint64) bool {
	if len(view) != len(m.view) {
		return false
	}
	for i, v := range view {
		if v != m.view[i] {
			return false
		}
	}
	return true
}

// engineBeyond reports whether the ranks have another entry for the name's step
// or a later one, as ranks may whose agent has lost its memory.
func (m *Member) engineBeyond(n Name) bool {
	own := Entry{From: n.Step, Map: n.Map}
	for _, e := range m.engine.Schedule {
		if e.From >= n.Step && e != own {
			return true
		}
	}
	return false
}

func (m *Member) inForce(n Name) bool {
	return scheduled(m.schedule, Entry{From: n.Step, Map: n.Map})
}

// Map returns the map that the reference names if the member has it.
func (m *Member) Map(r Ref) (*expertmap.Map, bool) {
	for _, e := range m.maps {
		if RefOf(e) == r {
			return e, true
		}
	}
	return nil, false
}

// keptMaps bounds the maps in memory: those of the schedule, of a pending name
// and one that is being staged, and one more for a leader that changed its mind.
const keptMaps = keptEntries + 3

// keep makes e the map that came last.
func (m *Member) keep(e *expertmap.Map) {
	kept := m.maps[:0]
	for _, o := range m.maps {
		if RefOf(o) != RefOf(e) {
			kept = append(kept, o)
		}
	}
	m.maps = append(kept, e)
	m.forget()
}

// forget drops the maps kept longest that are neither scheduled nor pending.
func (m *Member) forget() {
	for i := 0; i < len(m.maps) && len(m.maps) > keptMaps; {
		if m.needs(RefOf(m.maps[i])) {
			i++
			continue
		}
		m.maps = append(m.maps[:i], m.maps[i+1:]...)
	}
}

func (m *Member) needs(r Ref) bool {
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

// State returns what the member says of itself.
func (m *Member) State() State {
	m.init()
	m.number++
	s := State{
		Member:      m.Index,
		Incarnation: m.Incarnation,
		Number:      m.number,
		Fence:       m.fence,
		Joined:      m.joined,
		Orphan:      !m.joined && m.orphan(),
		Begun:       m.engine.Begun,
		Granted:     m.granted,
		Schedule:    append([]Entry(nil), m.schedule...),
		Pending:     m.pending,
	}
	for _, r := range m.engine.Staged {
		if _, ok := m.Map(r); ok {
			s.Staged = append(s.Staged, r)
		}
	}
	return s
}

// Needed returns the maps of the schedule and of the pending name, which a
// leader may have to stage again.
func (m *Member) Needed() []*expertmap.Map {
	var out []*expertmap.Map
	for _, e := range m.maps {
		if m.needs(RefOf(e)) {
			out = append(out, e)
		}
	}
	return out
}
