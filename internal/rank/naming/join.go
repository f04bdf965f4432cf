package naming

// reset forgets what the group agreed on, as after a restart of the ranks.
//
// Failure: a rank restarts and goes on with the map that it was first given,
// while the group has moved on. It shows as two maps in one step. A member that
// starts, or whose ranks did, has no schedule and extends no bound until it has
// joined, so its ranks wait.
func (m *Member) reset(incarnation uint64) {
	m.Incarnation = incarnation
	m.view[m.Index] = incarnation
	m.joined = false
	m.schedule = nil
	m.pending = Name{}
	m.heard = map[int]Joining{}
}

// Joins returns the question for all peers while the member has to ask them.
func (m *Member) Joins() (Join, bool) {
	m.init()
	return Join{Member: m.Index, Incarnation: m.Incarnation}, !m.joined
}

// HandleJoin answers the question of a peer that has started and notes its
// incarnation, so that orders that count on an older one are refused.
func (m *Member) HandleJoin(j Join) Joining {
	m.init()
	if j.Member >= 0 && j.Member < len(m.view) && j.Member != m.Index {
		m.view[j.Member] = max(m.view[j.Member], j.Incarnation)
	}
	out := Joining{To: j.Incarnation, State: m.State()}
	if j.Member >= 0 && j.Member < len(m.view) {
		out.Noted = m.view[j.Member]
	}
	out.Maps = m.Needed()
	return out
}

// HandleJoining takes a peer's answer. Once all peers have answered and one of
// them knows the group's maps, the member joins.
func (m *Member) HandleJoining(j Joining) {
	m.init()
	from := j.State.Member
	if m.joined || j.To != m.Incarnation || from < 0 || from >= m.Members || from == m.Index {
		return
	}
	if j.Noted > m.Incarnation {
		m.reset(j.Noted + 1)
		return
	}
	if old, ok := m.heard[from]; ok && !j.State.newer(old.State) {
		return
	}
	m.view[from] = max(m.view[from], j.State.Incarnation)
	m.heard[from] = j
	for _, e := range j.Maps {
		m.keep(e)
	}
	m.join()
}

// heardAll reports whether the engine and all peers have said where they are.
func (m *Member) heardAll() bool {
	return m.engine.Incarnation != 0 && len(m.heard) == m.Members-1
}

// orphan reports whether all peers have answered and none knows the group's
// maps: the whole group has restarted.
func (m *Member) orphan() bool {
	if !m.heardAll() {
		return false
	}
	for _, j := range m.heard {
		if j.State.Joined {
			return false
		}
	}
	return true
}

// join takes over what the peers know: the newest schedule, the highest
// fencing token and a name for which one of them holds. Peers that have not
// joined themselves add nothing but their tokens and pending names.
func (m *Member) join() {
	if m.joined || !m.heardAll() {
		return
	}
	var schedule []Entry
	pending, found := m.pending, false
	for i := range m.Members {
		j, ok := m.heard[i]
		if !ok {
			continue
		}
		m.fence = max(m.fence, j.State.Fence)
		if j.State.Pending != (Name{}) {
			pending = j.State.Pending
		}
		if j.State.Joined && latest(j.State.Schedule).From >= latest(schedule).From {
			found = true
			schedule = j.State.Schedule
		}
	}
	if !found {
		return
	}
	m.joined = true
	m.schedule = append([]Entry(nil), schedule...)
	m.pending = Name{}
	if !m.inForce(pending) && !m.enginePassed(pending) {
		m.pending = pending
	}
	m.heard = map[int]Joining{}
}

// enginePassed reports whether the engine, which went on while the agent
// restarted, may run the name's step without the name. That shows that the
// agent before did not hold, so the member must not say that it does.
func (m *Member) enginePassed(n Name) bool {
	return m.engine.Allowed >= n.Step && !scheduled(m.engine.Schedule, Entry{From: n.Step, Map: n.Map})
}
