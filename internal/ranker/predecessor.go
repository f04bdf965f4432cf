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

// noteLeader remembers who leads a group, with mu held.
func (r *Ranker) noteLeader(group string, lease kv.KeyValue) {
	name, own, _ := strings.Cut(rank.LeaseHolder(lease.Value()), rankMark)
	n, err := strconv.Atoi(own)
	if err != nil {
		delete(r.leaders, group)
		r.Log.WithField("cause", err.Error()).Warn("the lease does not tell its holder's rank")
		return
	}
	r.leaders[group] = predecessor{name: name, Predecessor: lockstep.Predecessor{Token: uint64(lease.Revision()), Rank: n}}
}

// lastLeader returns who led the group last, and whether that is known.
func (r *Ranker) lastLeader(group string) (predecessor, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p, ok := r.leaders[group]
	return p, ok
}
