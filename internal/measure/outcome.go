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
	// leastShare is the least, over the accounts, of the work served as a part
	// of what the account asked for or of an equal share of the capacity,
	// whichever is less.
	leastShare float64
	// refusedPart is the part of requests that ended in a refusal, and
	// refusedAfter99 the time until the caller knew, 99th percentile, over all
	// that were not served.
	refused int
	late    int
	// told50 and told99 are percentiles of the time until callers that were
	// not served at once, or not at all, first knew it.
	told50, told99 time.Duration
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
		asked[j.account] += j.work
		if j.told > 0 {
			told = append(told, (j.told - j.arrival).Seconds())
		}
		switch j.outcome {
		case served:
			r.service += j.worth
			got[j.account] += j.work
		case refused:
			r.refused++
		default:
			r.late++
		}
	}
	r.leastShare = 1
	equal := w.capacity() / accountCount
	for i := range asked {
		r.leastShare = math.Min(r.leastShare, got[i]/math.Min(asked[i], equal))
	}
	r.told50 = toDuration(percentile(told, 0.5))
	r.told99 = toDuration(percentile(told, 0.99))
	for _, s := range w.servers {
		r.coldOverloads += s.overloads
	}
	if !w.naive {
		r.bound = w.bound()
	}
	return r
}

// capacity returns the seconds of work that fit into the time of arrivals.
func (w *world) capacity() float64 {
	var sum float64
	for _, c := range w.capacityBySecond()[:int(runLength/time.Second)] {
		sum += c
	}
	return sum
}

// plus returns the sums and, for what is a least or a most, the worse of both.
func (r result) plus(x result) result {
	if r.requests == 0 {
		return x
	}
	r.asked += x.asked
	r.service += x.service
	r.bound += x.bound
	r.requests += x.requests
	r.refused += x.refused
	r.late += x.late
	r.coldOverloads += x.coldOverloads
	r.agentRefusals += x.agentRefusals
	r.leastShare = math.Min(r.leastShare, x.leastShare)
	r.told50 = max(r.told50, x.told50)
	r.told99 = max(r.told99, x.told99)
	return r
}

// of returns n as a part of the requests.
func (r result) of(n int) float64 { return float64(n) / float64(r.requests) }

func percentile(xs []float64, p float64) float64 {
	if len(xs) == 0 {
		return 0
	}
	sort.Float64s(xs)
	return xs[int(p*float64(len(xs)-1))]
}

func percent(x float64) string { return fmt.Sprintf("%.1f", 100*x) }

// ofBound returns the service as a part of what capacity allows.
func (r result) ofBound() float64 { return r.service / r.bound }
