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
	stepTime        = 20 * time.Millisecond
	intervals       = 150
	stepsMeasured   = 4
	knownEvery      = 20
	tokensPerRank   = 256
	expertsPerToken = 8
)

// Limits returns the limits that a case plans with: experts of 45 MB, a weight
// store that gives the group 100 MB/s, steps that last a fifth longer while
// weights load, replicas that are of use for an hour.
func (c Case) Limits() expertmap.Limits {
	return expertmap.Limits{
		ExpertBytes: 45_000_000,
		StoreRate:   100_000_000,
		StageTime:   c.Interval,
		Life:        time.Hour,
		Slowdown:    0.2,
		MinGain:     0.001,
		Goal:        0.01,
		Tokens:      true,
	}
}

// Case is one size and speed of drift.
type Case struct {
	// Shape holds the sizes of the layer.
	Shape expertmap.Shape
	// Correlation is the time in which popularity forgets where it was.
	Correlation time.Duration
	// Interval is the time between two plans.
	Interval time.Duration
	// Intervals is how many intervals are measured.
	Intervals int
	// Seed makes the run repeatable.
	Seed int64
}

// The intervals of the table. The longer one is affordable for hundreds of
// groups, whose names all go through the platform's service; the shorter one for
// a few dozen.
const (
	usual = 10 * time.Second
	short = 2 * time.Second
)

// Cases returns the sizes and speeds of the table, and each size once more with
// a short interval.
func Cases() []Case {
	shapes := []expertmap.Shape{
		{Ranks: 8, Slots: 5, Experts: 32},
		{Ranks: 32, Slots: 3, Experts: 64},
		{Ranks: 128, Slots: 2, Experts: 128},
	}
	speeds := []time.Duration{4 * time.Hour, time.Hour, 10 * time.Minute}
	var cases []Case
	for _, s := range shapes {
		for _, v := range speeds {
			cases = append(cases, Case{Shape: s, Correlation: v, Interval: usual})
		}
	}
	for _, s := range shapes {
		cases = append(cases, Case{Shape: s, Correlation: time.Hour, Interval: short})
	}
	for i := range cases {
		cases[i].Seed = int64(i + 1)
		cases[i].Intervals = intervals
	}
	return cases
}

// Skews sums up the step-time skew of one way of keeping a map.
type Skews struct {
	mean, p99 float64
	moves     int
}

// Mean returns the mean skew of the measured steps.
func (s Skews) Mean() float64 { return s.mean }

// P99 returns the skew that one step in 100 exceeds.
func (s Skews) P99() float64 { return s.p99 }

// Moves returns the number of replicas that ranks had to load.
func (s Skews) Moves() int { return s.moves }

// Row is the measurement of one case.
type Row struct {
	of                                  Case
	static, full, planned, known, bound Skews
}

// Case returns what was measured.
func (r Row) Case() Case { return r.of }

// Static returns the skew under a contiguous map that never changes.
func (r Row) Static() Skews { return r.static }

// Full returns the skew under a full new solution each interval.
func (r Row) Full() Skews { return r.full }

// Planned returns the skew under the plan of package expertmap.
func (r Row) Planned() Skews { return r.planned }

// Floor returns the skew under a solution that knows the popularity exactly.
func (r Row) Floor() Skews { return r.known }

// Bound returns the lower bound on the skew.
func (r Row) Bound() Skews { return r.bound }

// Measure runs all cases.
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

// Write prints the rows as a table.
func Write(w io.Writer, rows []Row) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "ranks x experts\tdrift\tinterval\tbound\tknown\tstatic\tp99\tfull\tp99\tmoves\tplanned\tp99\tmoves\tover bound\tof full's moves\t")
	for _, r := range rows {
		_, _ = fmt.Fprintf(t, "%d x %d\t%v\t%v\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%d\t%.3f\t%.3f\t%d\t%.1f%%\t%.1f%%\t\n",
			r.of.Shape.Ranks, r.of.Shape.Experts, r.of.Correlation, r.of.Interval, r.bound.mean, r.known.mean,
			r.static.mean, r.static.p99, r.full.mean, r.full.p99, r.full.moves,
			r.planned.mean, r.planned.p99, r.planned.moves,
			100*(r.planned.mean/r.bound.mean-1), 100*float64(r.planned.moves)/float64(max(1, r.full.moves)))
	}
	return t.Flush()
}

func summary(skews []float64, moves int) Skews {
	sort.Float64s(skews)
	sum := 0.0
	for _, v := range skews {
		sum += v
	}
	n := len(skews)
	return Skews{mean: sum / float64(n), p99: skews[min(n-1, n*99/100)], moves: moves}
}
