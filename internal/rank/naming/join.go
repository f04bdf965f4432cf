package naming

// reset discards the state agreed with the group, as after a restart of the
// ranks.
//
// Restarted ranks that continued with their initial map would run steps for
// which the rest of the group has another map. A member that starts, or whose
// ranks restart, therefore has no schedule and extends no step limit until it
// has joined, so its ranks wait.
func (m *Member) reset(incarnation uint64) {
	m.Incarnation = incarnation
	m.incarnations[m.Index] = incarnation
	m.joined = false
	m.schedule = nil
	m.pending = Activation{}
	m.joinReplies = map[int]JoinReply{}
}

// JoinRequest returns the message to send to all peers. It returns false once
// the member has joined.
func (m *Member) JoinRequest() (Join, bool) {
	m.init()
	return Join{Member: m.Index, Incarnation: m.Incarnation}, !m.joined
}

// HandleJoin answers a peer that has started and records its incarnation, so
// that orders that rely on an older one are refused.
func (m *Member) HandleJoin(j Join) JoinReply {
	m.init()
	if j.Member >= 0 && j.Member < len(m.incarnations) && j.Member != m.Index {
		m.incarnations[j.Member] = max(m.incarnations[j.Member], j.Incarnation)
	}
	reply := JoinReply{SenderIncarnation: j.Incarnation, State: m.State()}
	if j.Member >= 0 && j.Member < len(m.incarnations) {
		reply.KnownIncarnation = m.incarnations[j.Member]
	}
	reply.Maps = m.RequiredMaps()
	return reply
}

// HandleJoinReply processes a peer's reply. The member joins once all peers
// have replied and one of them knows the group's schedule. If the peer knows a
// higher incarnation of the member, the member continues as the next one after
// it and asks all peers again, because peers refuse orders that rely on the
// lower one.
func (m *Member) HandleJoinReply(reply JoinReply) {
	m.init()
	from := reply.State.Member
	if m.joined || reply.SenderIncarnation != m.Incarnation || from < 0 || from >= m.Members || from == m.Index {
		return
	}
	if reply.KnownIncarnation > m.Incarnation {
		m.reset(reply.KnownIncarnation + 1)
		return
	}
	if old, ok := m.joinReplies[from]; ok && !reply.State.newer(old.State) {
		return
	}
	m.incarnations[from] = max(m.incarnations[from], reply.State.Incarnation)
	m.joinReplies[from] = reply
	for _, em := range reply.Maps {
		m.storeMap(em)
	}
	m.join()
}

// allReplied reports whether the engine and all peers have reported their
// state.
func (m *Member) allReplied() bool {
	return m.engine.Incarnation != 0 && len(m.joinReplies) == m.Members-1
}

// noPeerJoined reports whether all peers have replied and none knows the
// group's schedule: the whole group has restarted.
func (m *Member) noPeerJoined() bool {
	if !m.allReplied() {
		return false
	}
	for _, reply := range m.joinReplies {
		if reply.State.Joined {
			return false
		}
	}
	return true
}

// join takes over what the peers know: the newest schedule, the highest fencing
// token and an activation that one of them holds. Peers that have not joined
// themselves contribute only their tokens and pending activations.
func (m *Member) join() {
	if m.joined || !m.allReplied() {
		return
	}
	var schedule []ScheduleEntry
	pending, found := m.pending, false
	for i := range m.Members {
		reply, ok := m.joinReplies[i]
		if !ok {
			continue
		}
		m.maxToken = max(m.maxToken, reply.State.MaxToken)
		if reply.State.Pending != (Activation{}) {
			pending = reply.State.Pending
		}
		if reply.State.Joined && latestEntry(reply.State.Schedule).FirstStep >= latestEntry(schedule).FirstStep {
			found = true
			schedule = reply.State.Schedule
		}
	}
	if !found {
		return
	}
	m.joined = true
	m.schedule = append([]ScheduleEntry(nil), schedule...)
	m.pending = Activation{}
	if !m.hasScheduled(pending) && !m.engineMissed(pending) {
		m.pending = pending
	}
	m.joinReplies = map[int]JoinReply{}
}

// engineMissed reports whether the engine, which kept running while the agent
// restarted, may run the activation's step without the activation. In that case
// the previous agent did not hold it, so the member must not report a hold.
func (m *Member) engineMissed(a Activation) bool {
	return m.engine.StepLimit >= a.Step && !containsEntry(m.engine.Schedule, ScheduleEntry{FirstStep: a.Step, Map: a.Map})
}
