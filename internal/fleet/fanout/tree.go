package fanout

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/fleet"
)

const (
	// FewEntries is up to how many entries are each told directly of loads and of
	// each other's work.
	FewEntries = 10
	// BunchEntries is to how many of its data centre one entry passes these on in a
	// larger fleet.
	BunchEntries = 64
)

// Bunch is processes that are reached through one of them.
type Bunch []fleet.Member

// Tree splits processes into bunches and remembers which of them failed as
// delegates. Set the exported fields before the first call. It is safe for
// concurrent use.
type Tree struct {
	// Direct is up to how many processes are each reached directly.
	Direct int
	// Most is the size of the largest bunch.
	Most int

	mu     sync.Mutex // guards failed
	failed map[string]time.Time
}

// Bunches splits processes into bunches of about equal sizes, each within one data
// centre. The order of the processes doesn't matter.
func (t *Tree) Bunches(processes []fleet.Member) []Bunch {
	sorted := slices.SortedFunc(slices.Values(processes), func(a, b fleet.Member) int {
		return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Name, b.Name))
	})
	if len(sorted) <= t.Direct {
		return split(sorted, 1)
	}
	var out []Bunch
	for len(sorted) > 0 {
		n := 1
		for n < len(sorted) && sorted[n].DataCentre == sorted[0].DataCentre {
			n++
		}
		out = append(out, split(sorted[:n], t.Most)...)
		sorted = sorted[n:]
	}
	return out
}

// split returns bunches of at most the given size, none of them much smaller than
// another.
func split(processes []fleet.Member, most int) []Bunch {
	bunches := (len(processes) + most - 1) / most
	out := make([]Bunch, 0, bunches)
	for i := range bunches {
		out = append(out, processes[i*len(processes)/bunches:(i+1)*len(processes)/bunches])
	}
	return out
}

// Delegate returns the member through which a bunch is reached: the first that
// never failed, or else the one whose failure is the longest ago.
//
// Guard: a delegate freezes, or is cut off, for some seconds. Were it asked again
// after a while, its whole bunch would not be seen each time; so it comes last
// until all others have failed.
func (t *Tree) Delegate(b Bunch) fleet.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.MinFunc(b, func(a, b fleet.Member) int { return t.failed[a.Name].Compare(t.failed[b.Name]) })
}

// Failed notes that a delegate did not answer.
func (t *Tree) Failed(name string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.failed == nil {
		t.failed = map[string]time.Time{}
	}
	t.failed[name] = now
}
