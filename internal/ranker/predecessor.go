package ranker

import (
	"fmt"
	"strconv"
	"strings"

	kv "github.com/hyssoprelay/hyssoprelay/internal/platform"
	"github.com/hyssoprelay/hyssoprelay/internal/rank"
	"github.com/hyssoprelay/hyssoprelay/internal/rank/lockstep"
)

// rankSeparator separates the agent's name from its rank in the name of a lease
// holder.
const rankSeparator = "@"

// holderName returns the name under which an agent holds a group's lease. It contains
// the rank, because a successor that cannot poll that rank must know that it was the
// leader's.
func holderName(name string, rank int) string {
	return fmt.Sprintf("%s%s%d", name, rankSeparator, rank)
}

// leaderInfo identifies an agent that leads or led a group.
type leaderInfo struct {
	lockstep.Predecessor

	name string
}

// parseHolder decodes the holder of a group's lease. It reports false if the holder's
// name has no rank.
func parseHolder(lease kv.KeyValue) (leaderInfo, bool) {
	name, suffix, _ := strings.Cut(rank.LeaseHolder(lease.Value()), rankSeparator)
	n, err := strconv.Atoi(suffix)
	if err != nil {
		return leaderInfo{}, false
	}
	return leaderInfo{name: name, Predecessor: lockstep.Predecessor{Token: uint64(lease.Revision()), Rank: n}}, true
}
