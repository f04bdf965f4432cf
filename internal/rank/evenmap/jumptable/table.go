// Package jumptable measures how level a group of ranks stays whose popularity of
// experts jumps, by ways of keeping its map. All draws are seeded: the figures
// are the same on each run. The time that a plan takes is measured by the
// benchmark of package evenmap.
package jumptable

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/hyssoprelay/hyssoprelay/internal/rank/evenmap"
)

// Case is a size of a group and the jumps that it goes through.
type Case struct {
	// Shape holds the sizes of the set.
	Shape evenmap.Shape
	// Limits bounds what one plan copies.
	Limits evenmap.Limits
	// Jumps is how often popularity changes, and Looks how many looks there
	// are between two changes.
	Jumps, Looks int
	// Seed makes the run repeatable.
	Seed uint64
}

// Sizes of the table: a change is in force a quarter second after the counts
// that it goes by, and popularity jumps every 3.5 s.
const (
	jumps = 12
	looks = 14
)

// Cases returns the sizes of the table: the present deployments, the next ones
// and the target in two years.
func Cases() []Case {
	shapes := []evenmap.Shape{
		{Ranks: 12, Slots: 8, Experts: 72},
		{Ranks: 63, Slots: 5, Experts: 252},
		{Ranks: 128, Slots: 2, Experts: 128},
	}
	cases := make([]Case, 0, len(shapes))
	for i, s := range shapes {
		// One copy a rank and change, as leaders plan.
		l := evenmap.Limits{PerRank: 1, PerSet: 1, MinGain: 0.02}
		cases = append(cases, Case{Shape: s, Limits: l, Jumps: jumps, Looks: looks, Seed: uint64(i + 1)})
	}
	return cases
}

// Result is what one way of keeping a map led to.
type Result struct{ skew, copies float64 }

// Skew returns the mean load of the most loaded rank over the mean load.
func (r Result) Skew() float64 { return r.skew }

// Copies returns how many experts were copied a jump.
func (r Result) Copies() float64 { return r.copies }

// Row is the measurement of one case.
type Row struct {
	of                                    Case
	none, naive, afresh, planned, knowing Result
}

// None returns the result without maps.
func (r Row) None() Result { return r.none }

// Naive returns the result of exchanging one expert a rank.
func (r Row) Naive() Result { return r.naive }

// Afresh returns the result of a full new solution at each look.
func (r Row) Afresh() Result { return r.afresh }

// Planned returns the result of package evenmap within its limits.
func (r Row) Planned() Result { return r.planned }

// Bound returns the skew of placements that know the popularity and cost nothing.
func (r Row) Bound() Result { return r.knowing }

// Run measures one case.
func Run(c Case) (Row, error) {
	row := Row{of: c}
	for _, way := range []struct {
		l  leader
		to *Result
	}{
		{none{}, &row.none},
		{naive{}, &row.naive},
		{afresh{}, &row.afresh},
		{planned{}, &row.planned},
		{knowing{}, &row.knowing},
	} {
		r, err := run(c, way.l)
		if err != nil {
			return row, err
		}
		*way.to = r
	}
	return row, nil
}

// Measure runs all cases.
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

// Write prints the rows as a table.
func Write(w io.Writer, rows []Row) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "ranks x experts\tno maps\tnaive\tcopies\tafresh\tcopies\tplanned\tcopies\tbound\t")
	for _, r := range rows {
		_, _ = fmt.Fprintf(t, "%d x %d\t%.2f\t%.2f\t%.0f\t%.2f\t%.0f\t%.2f\t%.0f\t%.2f\t\n",
			r.of.Shape.Ranks, r.of.Shape.Experts, r.none.skew, r.naive.skew, r.naive.copies,
			r.afresh.skew, r.afresh.copies, r.planned.skew, r.planned.copies, r.knowing.skew)
	}
	return t.Flush()
}
