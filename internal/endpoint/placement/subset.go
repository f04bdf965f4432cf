package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Subset returns the size endpoints that the entry listens to, by rendezvous
// hashing: the same for the same names, in no order that matters, and when an
// endpoint leaves, only its own place changes. A size of zero or less, or of
// at least all, returns all.
func Subset(entry string, endpoints []string, size int) []string {
	if size <= 0 || size >= len(endpoints) {
		return slices.Clone(endpoints)
	}
	ranked := make([]scored, len(endpoints))
	seed := xxhash.Sum64String(entry)
	for i, name := range endpoints {
		ranked[i] = scored{mix(seed ^ xxhash.Sum64String(name)), name}
	}
	slices.SortFunc(ranked, func(a, b scored) int {
		if c := cmp.Compare(b.score, a.score); c != 0 {
			return c
		}
		return cmp.Compare(a.name, b.name)
	})
	chosen := make([]string, size)
	for i := range chosen {
		chosen[i] = ranked[i].name
	}
	return chosen
}

type scored struct {
	score uint64
	name  string
}
