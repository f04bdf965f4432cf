package demo

import "slices"

// RestartAgent stops an agent gracefully and starts another in its place.
func (s *System) RestartAgent(a *Agent) error {
	if err := a.Stop(); err != nil {
		return err
	}
	s.mu.Lock()
	s.agents = slices.DeleteFunc(s.agents, func(x *Agent) bool { return x == a })
	s.mu.Unlock()
	_, err := s.StartAgent(a.DataCentre, a.Name, a.Endpoint, a.Process.Settings.Kind)
	return err
}

// KillAgent takes an agent's VM away without a word. What it had sent to its
// endpoint still takes effect there; nobody hears of it.
func (s *System) KillAgent(a *Agent) {
	a.host.Kill(a.Process.Address())
	a.cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.agents = slices.DeleteFunc(s.agents, func(x *Agent) bool { return x == a })
	s.killed = append(s.killed, a.Part)
}

// ReplaceAgent starts a new agent beside a killed one's endpoint.
func (s *System) ReplaceAgent(a *Agent) error {
	_, err := s.StartAgent(a.DataCentre, a.Name, a.Endpoint, a.Process.Settings.Kind)
	return err
}

// KillEntry takes an entry's VM away without a word. Its callers' connections
// break when they were opened through the system's Network.
func (s *System) KillEntry(e *Entry) {
	e.host.Kill(e.Process.PeerAddress(), e.Process.CallerAddress(), e.Process.AdminAddress())
	e.cancel()
	s.List.Remove(e.Name)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries = slices.DeleteFunc(s.entries, func(x *Entry) bool { return x == e })
	s.killed = append(s.killed, e.Part)
}
