package naming

// Tick processes the engine's state and returns the orders that bring it to the
// state that the member requires. It compares the two on each call, so orders
// whose answer was lost are sent again.
func (m *Member) Tick(e EngineState) []EngineOrder {
	m.init()
	m.observe(e)
	m.join()
	if orders := m.stageOrders(); len(orders) > 0 {
		return orders
	}
	if !m.joined {
		return nil
	}
	if orders := m.activateOrders(); len(orders) > 0 {
		return orders
	}
	return m.stepLimitOrders()
}

// observe records the engine's state. The first state shows the step limit that
// a previous agent set.
func (m *Member) observe(e EngineState) {
	if m.engine.Incarnation != 0 && m.engine.Incarnation != e.Incarnation {
		m.reset(m.Incarnation + 1)
	}
	m.engine = e
	m.stepLimit = max(m.stepLimit, e.StepLimit)
}

// stageOrders gives the engine the maps in use, that of the pending activation
// and the most recent one. It leaves out the others: the engine may have dropped
// them and would needlessly load their weights again.
func (m *Member) stageOrders() []EngineOrder {
	var orders []EngineOrder
	for i, em := range m.maps {
		r := RefOf(em)
		if (i == len(m.maps)-1 || m.usesMap(r)) && !m.engineStaged(r) {
			orders = append(orders, EngineStage{Map: em})
		}
	}
	return orders
}

func (m *Member) usesMap(r Ref) bool {
	for _, e := range m.entriesInUse() {
		if e.Map == r {
			return true
		}
	}
	return m.pending.Map == r
}

// entriesInUse returns the entries of the schedule that apply to the ranks'
// next step or a later one.
func (m *Member) entriesInUse() []ScheduleEntry {
	for i := len(m.schedule) - 1; i > 0; i-- {
		if m.schedule[i].FirstStep <= m.engine.LastStep+1 {
			return m.schedule[i:]
		}
	}
	return m.schedule
}

func (m *Member) engineStaged(r Ref) bool {
	for _, staged := range m.engine.Staged {
		if staged == r {
			return true
		}
	}
	return false
}

// activateOrders gives the engine the entries in use that it lacks, one at a
// time and the newest first.
//
// If the older entry came first, restarted ranks that also receive a step limit
// set before could begin a step of the newer entry with the old map. With the
// newest entry first, earlier steps have no map, and the ranks wait until they
// receive the older entry.
//
// The ranks restart at the oldest entry if it begins after their next step.
// This happens only if all members have lost their maps at the same time.
func (m *Member) activateOrders() []EngineOrder {
	entries := m.entriesInUse()
	for i := len(entries) - 1; i >= 0; i-- {
		e := entries[i]
		if !containsEntry(m.engine.Schedule, e) {
			restart := i == 0 && e.FirstStep > m.engine.LastStep+1
			return []EngineOrder{EngineActivate{Entry: e, Restart: restart}}
		}
	}
	return nil
}

// stepLimitOrders raises the engine's step limit once the engine has all maps
// of the schedule, to at most Lookahead steps beyond the last one begun and
// never to the step of a pending activation (see hold).
//
// Ranks begin a step every 10 to 20 ms. If the limit is too close, the group
// stops between two ticks; if it is too far, a new map is delayed by as many
// steps. The limit is raised once it is at most Lookahead/2 steps ahead, so that
// an order is sent every Lookahead/2 steps and not on each tick.
func (m *Member) stepLimitOrders() []EngineOrder {
	limit := m.engine.LastStep + m.Lookahead
	if m.pending != (Activation{}) {
		limit = min(limit, m.pending.Step-1)
	}
	if limit <= m.engine.StepLimit {
		return nil
	}
	if m.engine.StepLimit > m.engine.LastStep+m.Lookahead/2 {
		return nil
	}
	m.stepLimit = max(m.stepLimit, limit)
	return []EngineOrder{EngineSetStepLimit{Step: limit}}
}
