package skewtable

import (
	"fmt"
	"io"
	"sort"
	"text/tabwriter"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/rank/expertmap"
)

const (
	// stepTime is the duration of a step.
	stepTime = 20 * time.Millisecond
	// intervals is the number of simulated intervals of a case.
	intervals = 150
	// stepsMeasured is the number of measured steps in an interval.
	stepsMeasured = 4
	// knownPeriod is the number of intervals between two measurements of the
	// strategy known.
	knownPeriod = 20
	// tokensPerRank is the number of tokens that each rank contributes to a
	// step.
	tokensPerRank = 256
	// expertsPerToken is the number of experts that process each token.
	expertsPerToken = 8
)

// Limits returns the limits for the plans of a case: experts of 45 MB, a weight
// store that delivers 100 MB/s to the group, steps that take 20% longer while
// weights are loaded, and replicas that are used for an hour.
func (c Case) Limits() expertmap.Limits {
	return expertmap.Limits{
		ExpertBytes:     45_000_000,
		StoreBandwidth:  100_000_000,
		MaxStagingTime:  c.Interval,
		MapLifetime:     time.Hour,
		LoadingSlowdown: 0.2,
		MinGain:         0.001,
		SkewTolerance:   0.01,
		PoissonLoads:    true,
	}
}

// Case holds the parameters of one simulation.
type Case struct {
	// Shape holds the dimensions of the layer.
	Shape expertmap.Shape
	// CorrelationTime is the time in which the autocorrelation of an expert's
	// log popularity decays to 1/e.
	CorrelationTime time.Duration
	// Interval is the time between two plans.
	Interval time.Duration
	// Intervals is the number of simulated intervals.
	Intervals int
	// Seed is the seed of the random number generator.
	Seed int64
}

// The long planning interval is affordable for hundreds of groups, whose map
// changes all go through the platform's key-value service; the short one is
// affordable for a few dozen.
const (
	longInterval  = 10 * time.Second
	shortInterval = 2 * time.Second
)

// Cases returns the cases of the table: each shape with three correlation times
// and the long interval, and each shape with one correlation time and the short
// interval.
func Cases() []Case {
	shapes := []expertmap.Shape{
		{Ranks: 8, Slots: 5, Experts: 32},
		{Ranks: 32, Slots: 3, Experts: 64},
		{Ranks: 128, Slots: 2, Experts: 128},
	}
	correlationTimes := []time.Duration{4 * time.Hour, time.Hour, 10 * time.Minute}
	var cases []Case
	for _, s := range shapes {
		for _, v := range correlationTimes {
			cases = append(cases, Case{Shape: s, CorrelationTime: v, Interval: longInterval})
		}
	}
	for _, s := range shapes {
		cases = append(cases, Case{Shape: s, CorrelationTime: time.Hour, Interval: shortInterval})
	}
	for i := range cases {
		cases[i].Seed = int64(i + 1)
		cases[i].Intervals = intervals
	}
	return cases
}

// Skews summarizes the step-time skew of one strategy.
type Skews struct {
	mean, p99 float64
	moves     int
}

// Mean returns the mean skew over the measured steps.
func (s Skews) Mean() float64 { return s.mean }

// P99 returns the 99th percentile of the skew over the measured steps.
func (s Skews) P99() float64 { return s.p99 }

// Moves returns the number of replicas that ranks had to load, or zero if moves
// are not counted for the strategy.
func (s Skews) Moves() int { return s.moves }

// Row is the result of one case.
type Row struct {
	params                                     Case
	static, fromScratch, planned, known, bound Skews
}

// Case returns the parameters of the simulation.
func (r Row) Case() Case { return r.params }

// Static returns the skew with a contiguous map that never changes.
func (r Row) Static() Skews { return r.static }

// FromScratch returns the skew with a new solution from scratch in each interval.
func (r Row) FromScratch() Skews { return r.fromScratch }

// Planned returns the skew with plans of package expertmap.
func (r Row) Planned() Skews { return r.planned }

// Known returns the skew with a layer optimized for the exact popularity.
func (r Row) Known() Skews { return r.known }

// Bound returns the lower bound on the skew.
func (r Row) Bound() Skews { return r.bound }

// Measure runs all cases of Cases and returns their results in the same order.
func Measure() ([]Row, error) {
	rows := make([]Row, 0, len(Cases()))
	for _, c := range Cases() {
		r, err := Run(c)
		if err != nil {
			return nil, err
		}
		rows = append(rows, r)
	}
	return rows, nil
}

// Write writes the rows to w as a text table.
func Write(w io.Writer, rows []Row) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "ranks x experts\tdrift\tinterval\tbound\tknown\tstatic\tp99\tfull\tp99\tmoves\tplanned\tp99\tmoves\tover bound\tof full's moves\t")
	for _, r := range rows {
		_, _ = fmt.Fprintf(t, "%d x %d\t%v\t%v\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%d\t%.3f\t%.3f\t%d\t%.1f%%\t%.1f%%\t\n",
			r.params.Shape.Ranks, r.params.Shape.Experts, r.params.CorrelationTime, r.params.Interval, r.bound.mean, r.known.mean,
			r.static.mean, r.static.p99, r.fromScratch.mean, r.fromScratch.p99, r.fromScratch.moves,
			r.planned.mean, r.planned.p99, r.planned.moves,
			100*(r.planned.mean/r.bound.mean-1), 100*float64(r.planned.moves)/float64(max(1, r.fromScratch.moves)))
	}
	return t.Flush()
}

func summarize(skews []float64, moves int) Skews {
	sort.Float64s(skews)
	sum := 0.0
	for _, v := range skews {
		sum += v
	}
	n := len(skews)
	return Skews{mean: sum / float64(n), p99: skews[min(n-1, n*99/100)], moves: moves}
}
