package frontend

import (
	"maps"
	"slices"
	"sync"

	"github.com/hyssoprelay/hyssoprelay/internal/fleet"
)

// memberSet holds the entries that are listed in the store, by name.
type memberSet struct {
	mu     sync.Mutex
	byName map[string]fleet.Member
}

func (s *memberSet) put(m fleet.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byName == nil {
		s.byName = map[string]fleet.Member{}
	}
	s.byName[m.Name] = m
}

// remove removes an entry and returns its address.
func (s *memberSet) remove(name string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	addr := s.byName[name].Address
	delete(s.byName, name)
	return addr
}

// count returns the number of entries.
func (s *memberSet) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.byName)
}

// all returns a copy of the entries by name, which is never nil.
func (s *memberSet) all() map[string]fleet.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]fleet.Member, len(s.byName)+1)
	maps.Copy(out, s.byName)
	return out
}

// hasOther reports whether an entry of a data centre besides self is known.
func (s *memberSet) hasOther(dataCentre, self string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, m := range s.byName {
		if name != self && m.DataCentre == dataCentre {
			return true
		}
	}
	return false
}

// inDataCentre returns the entries of one data centre by name.
func (s *memberSet) inDataCentre(dataCentre string) map[string]fleet.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]fleet.Member{}
	for name, m := range s.byName {
		if m.DataCentre == dataCentre {
			out[name] = m
		}
	}
	return out
}

// names returns the names of members in no particular order.
func names(members map[string]fleet.Member) []string {
	return slices.Collect(maps.Keys(members))
}
