package ranker

import (
	"fmt"
	"strconv"
	"strings"

	kv "github.com/hyssoprelay/hyssoprelay/internal/platform"
	"github.com/hyssoprelay/hyssoprelay/internal/rank"
	"github.com/hyssoprelay/hyssoprelay/internal/rank/lockstep"
)

// rankMark stands before the rank in the name of a lease's holder.
const rankMark = "@"

// holderName names a lease's holder so that others learn the rank beside it: a
// successor that can't see that rank has to know that it was the leader's.
func holderName(name string, rank int) string { return fmt.Sprintf("%s%s%d", name, rankMark, rank) }

// predecessor is who led a group last.
type predecessor struct {
	lockstep.Predecessor

	name string
}

// holderOf reads who holds a group's lease. It reports false for a lease that does
// not tell its holder's rank.
func holderOf(lease kv.KeyValue) (predecessor, bool) {
	name, own, _ := strings.Cut(rank.LeaseHolder(lease.Value()), rankMark)
	n, err := strconv.Atoi(own)
	if err != nil {
		return predecessor{}, false
	}
	return predecessor{name: name, Predecessor: lockstep.Predecessor{Token: uint64(lease.Revision()), Rank: n}}, true
}
