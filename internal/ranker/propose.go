package ranker

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/batch"
)

// plan updates the popularity estimate and proposes the next map if it is worth a
// change.
func (t *term) plan(byRank []rankReport, now time.Time) {
	reports := make([]engineReport, 0, len(byRank))
	for _, report := range byRank {
		reports = append(reports, report.engineReport)
	}
	t.jumped = t.popularity.observe(reports, t.drainSums(), now) || t.jumped
	inForce := t.leader.InForce()
	if inForce == nil || !t.popularity.known() {
		return
	}
	p, err := t.planner.plan(inForce.Sets, t.popularity.shares(), slowdowns(byRank), maxRunning(byRank))
	if err != nil {
		t.ranker.Log.WithField("cause", err.Error()).Error("cannot plan expert map")
		return
	}
	if p == nil {
		return
	}
	version, ok := t.leader.Propose(p.sets)
	if !ok {
		return
	}
	t.ranker.counters.changes.Inc(1)
	t.ranker.counters.copies.Inc(int64(p.copies))
	t.ranker.Log.WithFields(logrus.Fields{
		"group": t.group, "map": version, "copies": p.copies, "skew": p.skewBefore, "skewPlanned": p.skewAfter, "jump": t.jumped,
	}).Info("expert map proposed")
	t.jumped = false
}

// logSlowdowns logs each rank that has become slower than usual or returned to its
// usual speed. All other ranks wait for a slow one, and no other log line identifies
// it.
func (t *term) logSlowdowns(current []float64) {
	for i, slowdown := range current {
		previous := 1.0
		if i < len(t.slowdowns) {
			previous = t.slowdowns[i]
		}
		if (slowdown > 1) != (previous > 1) {
			t.ranker.Log.WithFields(logrus.Fields{"group": t.group, "rank": i, "pace": slowdown, "before": previous}).Warn("rank changes its pace")
		}
	}
	t.slowdowns = current
}

// slowdowns returns each rank's slowdown factor, which is 1 unless the rank counts as
// slow.
func slowdowns(byRank []rankReport) []float64 {
	out := make([]float64, len(byRank))
	for i, report := range byRank {
		out[i] = 1
		if report.state.Slowdown >= batch.SlowdownThreshold {
			out[i] = report.state.Slowdown
		}
	}
	return out
}

// maxRunning returns the largest number of requests that a rank runs.
func maxRunning(byRank []rankReport) int {
	n := 0
	for _, report := range byRank {
		n = max(n, report.state.Running)
	}
	return n
}
