package readers

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxDirectFollowers is the largest number of processes of a data centre which all
	// follow the first reader. They get updates one transit sooner than through a tree.
	maxDirectFollowers = 16
	// fanOut is how many times more processes a level of the tree has than the level
	// above it, and so the mean number of followers of a process in a full tree.
	fanOut = 8
	// maxParents is the number of processes of the level above that a process may
	// follow. If all of them fail, it follows a process of a higher level.
	maxParents = 3
)

// parents returns the processes from which the one at an index of order may get its
// updates, best first. The index must not be among the first maxReaders.
//
// If all processes followed one, its link would have to carry every update once for each
// process of the data centre: at a hundred processes that start together, none of them
// got the complete state in time, all gave the reader up at the same moment and began
// anew with the next. The order is therefore divided into levels, of which the first
// consists of the readers, and each process follows one of the level above. Which one
// depends on a hash of both names, so that a process that comes or goes changes the
// sources of few others, and the followers of a process that fails spread over the rest
// of its level.
//
// All parents precede the process in order. Two processes can't follow each other,
// directly or through others, whatever each knows of the fleet.
func parents(order []string, index int) []string {
	if len(order) <= maxDirectFollowers {
		return order[:min(index, 2*maxReaders)]
	}
	self := order[index]
	var out []string
	for begin, end := levelAbove(index); ; begin, end = levelAbove(begin) {
		nearest := byDistance(order[begin:end], self)
		if begin == 0 {
			return append(out, nearest...)
		}
		out = append(out, nearest[:min(len(nearest), maxParents)]...)
	}
}

// levelAbove returns the range of indices of the level above that of an index which is
// not in the first level.
func levelAbove(index int) (begin, end int) {
	begin, end = 0, maxReaders
	for size := maxReaders * fanOut; end+size <= index; size *= fanOut {
		begin, end = end, end+size
	}
	return begin, end
}

// byDistance returns processes sorted by a hash of their names and that of a follower.
func byDistance(processes []string, follower string) []string {
	return sortedBy(processes, func(name string) uint64 { return xxhash.Sum64String(name + "/" + follower) })
}

// sortedBy returns names sorted by a hash of each, and those of equal hash by name.
func sortedBy(names []string, hash func(name string) uint64) []string {
	hashes := make(map[string]uint64, len(names))
	for _, name := range names {
		hashes[name] = hash(name)
	}
	return slices.SortedFunc(slices.Values(names), func(a, b string) int {
		return cmp.Or(cmp.Compare(hashes[a], hashes[b]), cmp.Compare(a, b))
	})
}
