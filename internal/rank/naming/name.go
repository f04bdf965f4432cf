package naming

import "github.com/hyssoprelay/hyssoprelay/internal/rank/expertmap"

// Ref identifies an expert map by version and content. The digest tells apart
// maps that two leaders made under the same version.
type Ref struct {
	Version uint64
	Digest  uint64
}

// RefOf returns the reference to m.
func RefOf(m *expertmap.Map) Ref {
	return Ref{Version: m.Version(), Digest: m.Digest()}
}

// Activation is a map and the first step that uses it. The zero Activation
// means no activation.
type Activation struct {
	// Token is the fencing token of the leader that chose the step.
	Token uint64
	// Step is the first step that uses the map.
	Step uint64
	Map  Ref
}

// Record is the state of a group in the platform's key-value service.
type Record struct {
	// Token is the fencing token of the leader that wrote last.
	Token uint64
	// Activation is the last committed activation.
	Activation Activation
}

// ScheduleEntry is an entry of a schedule: a map and the first step that uses
// it.
type ScheduleEntry struct {
	FirstStep uint64
	Map       Ref
}

// maxEntries is the number of schedule entries kept. Members are at most one
// step apart, and an activation requires that all of them have begun the step
// of the one before, so a rank needs no more than the entry in use and its
// predecessor.
const maxEntries = 2

// MapAt returns the map that a schedule has for a step, and false if it has
// none. The entries may be in any order.
func MapAt(schedule []ScheduleEntry, step uint64) (Ref, bool) {
	best, found := ScheduleEntry{}, false
	for _, e := range schedule {
		if e.FirstStep <= step && (!found || e.FirstStep > best.FirstStep) {
			best, found = e, true
		}
	}
	return best.Map, found
}

// EntriesAfter returns the entries of a schedule that begin later than the
// given step.
func EntriesAfter(schedule []ScheduleEntry, step uint64) []ScheduleEntry {
	var out []ScheduleEntry
	for _, e := range schedule {
		if e.FirstStep > step {
			out = append(out, e)
		}
	}
	return out
}

// latestEntry returns the newest entry of a schedule, or the zero
// ScheduleEntry.
func latestEntry(schedule []ScheduleEntry) ScheduleEntry {
	if len(schedule) == 0 {
		return ScheduleEntry{}
	}
	return schedule[len(schedule)-1]
}

func containsEntry(schedule []ScheduleEntry, e ScheduleEntry) bool {
	for _, other := range schedule {
		if other == e {
			return true
		}
	}
	return false
}
