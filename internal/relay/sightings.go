package relay

import "time"

// sightings holds when the leaders of groups last saw their engines, according to their load reports. A
// report lists the engines that its leader has just seen. State.mu guards it.
type sightings struct {
	// group holds the group of each endpoint, which is kept while the endpoint is missing in reports.
	// members holds the endpoints of each group.
	group   map[string]uint64
	members map[uint64]map[string]bool
	// endpoint and whole hold when an endpoint, and any of a group, was last seen.
	endpoint map[string]time.Time
	whole    map[uint64]time.Time
	// missing holds the endpoints that the last report of their group lacks.
	missing map[string]bool
	// groups is the number of the last group; they are numbered from 1.
	groups uint64
}

// record records that a report lists these endpoints, which were seen at the time at.
func (s *sightings) record(ids []string, at time.Time) {
	if len(ids) == 0 {
		return
	}
	if s.group == nil {
		s.group, s.members = map[string]uint64{}, map[uint64]map[string]bool{}
		s.endpoint, s.whole, s.missing = map[string]time.Time{}, map[uint64]time.Time{}, map[string]bool{}
	}
	g := s.groupOf(ids)
	for _, id := range ids {
		s.join(id, g)
		s.endpoint[id] = at
		delete(s.missing, id)
	}
	s.whole[g] = at
	if len(s.members[g]) == len(ids) {
		return
	}
	for id := range s.members[g] {
		if s.endpoint[id].Before(at) {
			s.missing[id] = true
		}
	}
}

// groupOf returns the group to which most of the endpoints belong, or a new one.
func (s *sightings) groupOf(ids []string) uint64 {
	count, largest := map[uint64]int{}, uint64(0)
	for _, id := range ids {
		g, known := s.group[id]
		if !known {
			continue
		}
		if count[g]++; count[g] > count[largest] {
			largest = g
		}
	}
	if largest == 0 {
		s.groups++
		largest = s.groups
	}
	return largest
}

// join makes an endpoint a member of the group g alone.
func (s *sightings) join(id string, g uint64) {
	if old, known := s.group[id]; known {
		if old == g {
			return
		}
		s.leave(id)
	}
	if s.members[g] == nil {
		s.members[g] = map[string]bool{}
	}
	s.group[id], s.members[g][id] = g, true
}

// leave takes an endpoint out of its group.
func (s *sightings) leave(id string) {
	g := s.group[id]
	delete(s.group, id)
	delete(s.members[g], id)
	if len(s.members[g]) == 0 {
		delete(s.members, g)
		delete(s.whole, g)
	}
}

// lag returns by how much longer ago than the others of its group an endpoint was seen, and whether its
// group is reported at present.
func (s *sightings) lag(id string, now time.Time) (lag time.Duration, reported bool) {
	g, ok := s.group[id]
	if !ok || now.Sub(s.whole[g]) >= maxLeaderReportAge {
		return 0, false
	}
	return s.whole[g].Sub(s.endpoint[id]), true
}

// forget discards what is known of an endpoint that has gone.
func (s *sightings) forget(id string) {
	s.leave(id)
	delete(s.endpoint, id)
	delete(s.missing, id)
}
