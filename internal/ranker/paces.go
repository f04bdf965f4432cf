package ranker

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/batch"
)

// plan follows popularity and proposes the next map if it is worth it.
func (t *term) plan(byRank []found, now time.Time) {
	looks := make([]look, 0, len(byRank))
	for _, f := range byRank {
		looks = append(looks, f.look)
	}
	t.jumped = t.pop.observe(looks, t.takenSums(), now) || t.jumped
	current := t.leader.InForce()
	if current == nil || !t.pop.known() {
		return
	}
	p, err := t.planner.plan(current.Sets, t.pop.loads(), paces(byRank), mostRunning(byRank))
	if err != nil {
		t.ranker.Log.WithField("cause", err.Error()).Error("no map can be planned")
		return
	}
	if p == nil {
		return
	}
	version, ok := t.leader.Propose(p.sets)
	if !ok {
		return
	}
	t.ranker.counts.changes.Inc(1)
	t.ranker.counts.copies.Inc(int64(p.copies))
	t.ranker.Log.WithFields(logrus.Fields{
		"group": t.group, "map": version, "copies": p.copies, "skew": p.before, "skewPlanned": p.after, "jump": t.jumped,
	}).Info("expert map proposed")
	t.jumped = false
}

// notePaces tells of each rank that has begun to work slower than usual, or as
// usual again: all others wait for it, and nothing else names it.
func (t *term) notePaces(now []float64) {
	for i, pace := range now {
		was := 1.0
		if i < len(t.paces) {
			was = t.paces[i]
		}
		if (pace > 1) != (was > 1) {
			t.ranker.Log.WithFields(logrus.Fields{"group": t.group, "rank": i, "pace": pace, "before": was}).Warn("rank changes its pace")
		}
	}
	t.paces = now
}

// paces returns how many times slower than usual each rank is.
func paces(byRank []found) []float64 {
	out := make([]float64, len(byRank))
	for i, f := range byRank {
		out[i] = 1
		if f.state.Pace >= batch.SlowFrom {
			out[i] = f.state.Pace
		}
	}
	return out
}

// mostRunning returns the largest number of requests that a rank runs.
func mostRunning(byRank []found) int {
	n := 0
	for _, f := range byRank {
		n = max(n, f.state.Running)
	}
	return n
}
