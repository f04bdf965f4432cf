package naming

// Tick takes what the engine says of itself and returns the orders that bring
// it to what the member wants. It compares anew on each call, so orders whose
// answer was lost are sent again.
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
	return m.allowOrders()
}

// observe notes the engine's state. The first one tells which bound an agent
// before this one has handed out.
func (m *Member) observe(e EngineState) {
	if m.engine.Incarnation != 0 && m.engine.Incarnation != e.Incarnation {
		m.reset(m.Incarnation + 1)
	}
	m.engine = e
	m.granted = max(m.granted, e.Allowed)
}

// stageOrders gives the engine the maps in use, the pending name's and the one
// that came last. Others it may have dropped, and would load their weights for
// nothing.
func (m *Member) stageOrders() []EngineOrder {
	var orders []EngineOrder
	for i, e := range m.maps {
		r := RefOf(e)
		if (i == len(m.maps)-1 || m.uses(r)) && !m.engineStaged(r) {
			orders = append(orders, EngineStage{Map: e})
		}
	}
	return orders
}

func (m *Member) uses(r Ref) bool {
	for _, e := range m.inUse() {
		if e.Map == r {
			return true
		}
	}
	return m.pending.Map == r
}

// inUse returns the entries of the schedule that the ranks' next step or a later
// one uses.
func (m *Member) inUse() []Entry {
	for i := len(m.schedule) - 1; i > 0; i-- {
		if m.schedule[i].From <= m.engine.Begun+1 {
			return m.schedule[i:]
		}
	}
	return m.schedule
}

func (m *Member) engineStaged(r Ref) bool {
	for _, o := range m.engine.Staged {
		if o == r {
			return true
		}
	}
	return false
}

// activateOrders gives the engine the entries in use that it lacks, one after the
// other and the newest first.
//
// Failure: ranks that restarted are given an old entry and a bound that was set
// before, and begin a step of the newer entry with the old map. It shows as two
// maps in this step. With the newest entry first, steps before it have no map,
// and the ranks wait there until the older entry comes.
//
// The ranks restart at the oldest entry when it leaves out their next step: that
// is so only after all members have lost their maps together.
func (m *Member) activateOrders() []EngineOrder {
	entries := m.inUse()
	for i := len(entries) - 1; i >= 0; i-- {
		e := entries[i]
		if !scheduled(m.engine.Schedule, e) {
			restart := i == 0 && e.From > m.engine.Begun+1
			return []EngineOrder{EngineActivate{Entry: e, Restart: restart}}
		}
	}
	return nil
}

// allowOrders extends the engine's bound once the engine has all maps of the
// schedule, up to Lookahead steps beyond the last begun and never to the step
// of a pending name. See hold for the failure that this guards against.
//
// Load: ranks that begin a step each ten or twenty milliseconds. Harm
// prevented: a bound too near stops the group between two ticks; one too far
// delays a new map by as many steps. The bound is extended when half of it is
// used, so that an order is sent every Lookahead/2 steps and not each tick.
func (m *Member) allowOrders() []EngineOrder {
	to := m.engine.Begun + m.Lookahead
	if m.pending != (Name{}) {
		to = min(to, m.pending.Step-1)
	}
	if to <= m.engine.Allowed {
		return nil
	}
	if m.engine.Allowed > m.engine.Begun+m.Lookahead/2 {
		return nil
	}
	m.granted = max(m.granted, to)
	return []EngineOrder{EngineAllow{Step: to}}
}
