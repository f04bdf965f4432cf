package measure

import (
	"fmt"
	"math"
	"sort"
	"time"
)

// result sums up one run for the callers.
type result struct {
	asked, service float64
	// bound is the worth that no way of serving can exceed.
	bound float64
	// leastAccount is the least part of an account's requests that was served.
	leastAccount float64
	// refusedPart is the part of requests that ended in a refusal, and
	// refusedAfter99 the time until the caller knew, 99th percentile, over all
	// that were not served.
	refusedPart    float64
	refusedAfter99 time.Duration
	latePart       float64
	coldOverloads  int
	agentRefusals  int
	requests       int
}

func (w *world) result() result {
	r := result{requests: len(w.jobs), agentRefusals: w.agentRefusals}
	var asked, got [accountCount]float64
	var told []float64
	for _, j := range w.jobs {
		r.asked += j.worth
		asked[j.account]++
		switch j.outcome {
		case served:
			r.service += j.worth
			got[j.account]++
			continue
		case refused:
			r.refusedPart++
		default:
			r.latePart++
		}
		told = append(told, (j.ended - j.arrival).Seconds())
	}
	r.refusedPart /= float64(len(w.jobs))
	r.latePart /= float64(len(w.jobs))
	r.leastAccount = 1
	for i := range asked {
		r.leastAccount = math.Min(r.leastAccount, got[i]/math.Max(1, asked[i]))
	}
	r.refusedAfter99 = toDuration(percentile(told, 0.99))
	for _, s := range w.servers {
		r.coldOverloads += s.overloads
	}
	r.bound = w.bound()
	return r
}

func percentile(xs []float64, p float64) float64 {
	if len(xs) == 0 {
		return 0
	}
	sort.Float64s(xs)
	return xs[int(p*float64(len(xs)-1))]
}

func percent(x float64) string { return fmt.Sprintf("%.1f", 100*x) }

// ofBound returns the service as a part of what capacity allows.
func (r result) ofBound() float64 { return r.service / math.Min(r.bound, r.asked) }
