package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Subset returns the size endpoints that the given entry uses, by rendezvous
// hashing. The result depends only on the names, not on the order of endpoints,
// and when an endpoint leaves, only that endpoint is replaced. If size is zero
// or less, or at least the number of endpoints, Subset returns all of them.
func Subset(entry string, endpoints []string, size int) []string {
	if size <= 0 || size >= len(endpoints) {
		return slices.Clone(endpoints)
	}
	ranked := make([]scored, len(endpoints))
	seed := xxhash.Sum64String(entry)
	for i, name := range endpoints {
		ranked[i] = scored{mix64(seed ^ xxhash.Sum64String(name)), name}
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

// scored is an endpoint with its rendezvous hash.
type scored struct {
	score uint64
	name  string
}
