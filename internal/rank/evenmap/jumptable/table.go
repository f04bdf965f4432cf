// Package jumptable measures the load skew of a group of ranks whose expert
// popularity jumps, for several placement strategies. All draws are seeded, so
// the figures are the same on each run. The benchmark of package evenmap
// measures the time that a plan takes.
package jumptable

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/hyssoprelay/hyssoprelay/internal/rank/evenmap"
)

// Case is a group size and the popularity jumps simulated with it.
type Case struct {
	// Shape holds the dimensions of the placement.
	Shape evenmap.Shape
	// Limits restricts the changes of one plan.
	Limits evenmap.Limits
	// Jumps is how often the popularity changes, and PlansPerJump the number of
	// rounds after each change. A round samples counts and computes a
	// placement.
	Jumps, PlansPerJump int
	// Seed initializes the random number generator.
	Seed uint64
}

// A placement takes effect a quarter of a second after the counts that it is
// based on, and the popularity jumps every 3.5 s.
const (
	jumpsPerCase = 12
	plansPerJump = 14
)

// Cases returns the group sizes of the table: the present deployments, the next
// ones and the target in two years.
func Cases() []Case {
	shapes := []evenmap.Shape{
		{Ranks: 12, Slots: 8, Experts: 72},
		{Ranks: 63, Slots: 5, Experts: 252},
		{Ranks: 128, Slots: 2, Experts: 128},
	}
	cases := make([]Case, 0, len(shapes))
	for i, s := range shapes {
		// One copy per rank and plan, as leaders plan.
		l := evenmap.Limits{CopiesPerRank: 1, CopiesPerSet: 1, MinGain: 0.02}
		cases = append(cases, Case{Shape: s, Limits: l, Jumps: jumpsPerCase, PlansPerJump: plansPerJump, Seed: uint64(i + 1)})
	}
	return cases
}

// Result is the result of one strategy.
type Result struct{ skew, copies float64 }

// Skew returns the load of the most loaded rank over the mean load, averaged
// over all rounds.
func (r Result) Skew() float64 { return r.skew }

// Copies returns the number of experts copied per jump.
func (r Result) Copies() float64 { return r.copies }

// Row holds the results of one case.
type Row struct {
	config                                      Case
	static, naive, fromScratch, planned, oracle Result
}

// Static returns the result of keeping the initial placement.
func (r Row) Static() Result { return r.static }

// Naive returns the result of exchanging one expert per pair of ranks.
func (r Row) Naive() Result { return r.naive }

// FromScratch returns the result of a placement computed from scratch in each
// round.
func (r Row) FromScratch() Result { return r.fromScratch }

// Planned returns the result of plans of package evenmap within the limits.
func (r Row) Planned() Result { return r.planned }

// Oracle returns the result of placements that are based on the true popularity
// and whose copies are free.
func (r Row) Oracle() Result { return r.oracle }

// Run simulates one case with all strategies.
func Run(c Case) (Row, error) {
	row := Row{config: c}
	for _, s := range []struct {
		strategy strategy
		result   *Result
	}{
		{static{}, &row.static},
		{naive{}, &row.naive},
		{fromScratch{}, &row.fromScratch},
		{planned{}, &row.planned},
		{oracle{}, &row.oracle},
	} {
		r, err := simulate(c, s.strategy)
		if err != nil {
			return row, err
		}
		*s.result = r
	}
	return row, nil
}

// Measure runs all cases and returns one row for each.
func Measure() ([]Row, error) {
	var rows []Row
	for _, c := range Cases() {
		r, err := Run(c)
		if err != nil {
			return nil, err
		}
		rows = append(rows, r)
	}
	return rows, nil
}

// Write writes the rows as a text table.
func Write(w io.Writer, rows []Row) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "ranks x experts\tstatic\tnaive\tcopies\tfrom scratch\tcopies\tplanned\tcopies\toracle\t")
	for _, r := range rows {
		_, _ = fmt.Fprintf(t, "%d x %d\t%.2f\t%.2f\t%.0f\t%.2f\t%.0f\t%.2f\t%.0f\t%.2f\t\n",
			r.config.Shape.Ranks, r.config.Shape.Experts, r.static.skew, r.naive.skew, r.naive.copies,
			r.fromScratch.skew, r.fromScratch.copies, r.planned.skew, r.planned.copies, r.oracle.skew)
	}
	return t.Flush()
}
