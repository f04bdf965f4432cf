package fanout

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssoprelay/hyssoprelay/internal/fleet"
)

const (
	// MaxDirectEntries is the largest number of entries in a fleet in which loads, and
	// the entries' reports of their work, are sent to each entry directly.
	MaxDirectEntries = 10
	// MaxSubgroupEntries is the largest size of a subgroup of entries in a larger
	// fleet. One entry of each subgroup, whose entries are in one data centre, forwards
	// these messages to the others.
	MaxSubgroupEntries = 64
)

// Subgroup is a set of processes of one data centre that are reached through one of
// them.
type Subgroup []fleet.Member

// Tree splits processes into subgroups and records which of them failed as delegates.
// Set the exported fields before the first call. It is safe for concurrent use.
type Tree struct {
	// MaxDirect is the largest number of processes that are each reached directly.
	MaxDirect int
	// MaxSize is the largest size of a subgroup.
	MaxSize int
	// Spread, if set, names what is sent. Trees with different names choose different
	// delegates, so that one process doesn't forward the messages of all.
	Spread string

	mu       sync.Mutex // guards failedAt
	failedAt map[string]time.Time
}

// Subgroups splits processes into subgroups. Each is within one data centre, and the
// sizes of those of one data centre differ by at most one. If there are at most
// MaxDirect processes, each becomes a subgroup of its own. The result doesn't depend on
// the order of the processes.
func (t *Tree) Subgroups(processes []fleet.Member) []Subgroup {
	sorted := slices.SortedFunc(slices.Values(processes), func(a, b fleet.Member) int {
		return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Name, b.Name))
	})
	if len(sorted) <= t.MaxDirect {
		return split(sorted, 1)
	}
	var out []Subgroup
	for len(sorted) > 0 {
		n := 1
		for n < len(sorted) && sorted[n].DataCentre == sorted[0].DataCentre {
			n++
		}
		out = append(out, split(sorted[:n], t.MaxSize)...)
		sorted = sorted[n:]
	}
	return out
}

// split returns subgroups of at most maxSize members, whose sizes differ by at most
// one.
func split(processes []fleet.Member, maxSize int) []Subgroup {
	subgroups := (len(processes) + maxSize - 1) / maxSize
	out := make([]Subgroup, 0, subgroups)
	for i := range subgroups {
		out = append(out, processes[i*len(processes)/subgroups:(i+1)*len(processes)/subgroups])
	}
	return out
}

// SubgroupOf returns the subgroup of Subgroups that contains a process, or nil if there
// is none.
func (t *Tree) SubgroupOf(processes []fleet.Member, name string) Subgroup {
	for _, s := range t.Subgroups(processes) {
		if s.Contains(name) {
			return s
		}
	}
	return nil
}

// Contains reports whether a process is a member of the subgroup.
func (s Subgroup) Contains(name string) bool {
	return slices.ContainsFunc(s, func(m fleet.Member) bool { return m.Name == name })
}

// Delegate returns the member through which a subgroup is reached: the first that
// never failed or, if all have failed, the one whose last failure is the longest ago.
// The subgroup must not be empty. The first is that of the subgroup's order or, with
// Spread, that of the order of a hash.
//
// A delegate that froze or was unreachable for some seconds is used again only after
// all others have failed. If it were retried after a fixed time, its whole subgroup
// would be unreachable during each retry that fails.
func (t *Tree) Delegate(s Subgroup) fleet.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.MinFunc(s, func(a, b fleet.Member) int {
		return cmp.Or(t.failedAt[a.Name].Compare(t.failedAt[b.Name]), cmp.Compare(t.place(a.Name), t.place(b.Name)))
	})
}

// place returns a number by which processes that never failed are ordered.
func (t *Tree) place(name string) uint64 {
	if t.Spread == "" {
		return 0
	}
	return xxhash.Sum64String(t.Spread + "/" + name)
}

// NoteFailure records that a process failed as a delegate, or is expected to.
func (t *Tree) NoteFailure(name string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.failedAt == nil {
		t.failedAt = map[string]time.Time{}
	}
	t.failedAt[name] = now
}
