package naming

import "github.com/hyssoprelay/hyssoprelay/internal/rank/expertmap"

// Ref names the content of an expert map. The digest keeps maps apart that two
// leaders have made under one version.
type Ref struct {
	Version uint64
	Digest  uint64
}

// RefOf returns the reference to m.
func RefOf(m *expertmap.Map) Ref {
	return Ref{Version: m.Version(), Digest: m.Digest()}
}

// Name says from which step a map holds. The zero Name names nothing.
type Name struct {
	// Token is the fencing token of the leader that chose the name.
	Token uint64
	// Step is the first step that uses the map.
	Step uint64
	Map  Ref
}

// Record is what a group keeps in the platform's key-value service.
type Record struct {
	// Token is the fencing token of the leader that wrote last.
	Token uint64
	// Name is the name that was committed last.
	Name Name
}

// Entry says that a map holds from a step on.
type Entry struct {
	From uint64
	Map  Ref
}

// keptEntries is how many entries of the schedule are kept. Members are at most
// a step apart and a name needs all of them beyond the last one's step, so no
// rank needs more than the entry in force and the one before.
const keptEntries = 2

// MapAt returns the map for a step, and false when there is none. Entries may
// come in any order.
func MapAt(schedule []Entry, step uint64) (Ref, bool) {
	best, found := Entry{}, false
	for _, e := range schedule {
		if e.From <= step && (!found || e.From > best.From) {
			best, found = e, true
		}
	}
	return best.Map, found
}

// After returns the entries of a schedule that hold from a later step than the
// given one.
func After(schedule []Entry, step uint64) []Entry {
	var out []Entry
	for _, e := range schedule {
		if e.From > step {
			out = append(out, e)
		}
	}
	return out
}

// latest returns the newest entry of a schedule, or the zero Entry.
func latest(schedule []Entry) Entry {
	if len(schedule) == 0 {
		return Entry{}
	}
	return schedule[len(schedule)-1]
}

func scheduled(schedule []Entry, e Entry) bool {
	for _, o := range schedule {
		if o == e {
			return true
		}
	}
	return false
}
