package measure

import "fmt"

var fairParts = []float64{0.001, 0.1, 0.25, 0.5, 1}

// Fairness shows what fair share costs.
func Fairness() Section {
	return tables("fairness", fairnessTables)
}

func fairnessTables(seed uint64) []Table {
	t := Table{
		Title: "What fair share costs",
		Notes: []string{
			"Service by worth in 100 of the bound, and in brackets the least share, by the part of the running",
			"time that goes by fair share alone.",
			"",
		},
		Columns: []string{"load"},
	}
	for _, part := range fairParts {
		t.Columns = append(t.Columns, fmt.Sprint(part))
	}
	for _, s := range []shape{shapes[2], shapes[3], shapes[5]} {
		row := []string{s.name}
		for _, part := range fairParts {
			r := play(s, usualLag, seed, withFairPart(part))
			row = append(row, fmt.Sprintf("%s (%s)", percent(r.ofBound()), percent(r.leastShare)))
		}
		t.Rows = append(t.Rows, row)
	}
	return []Table{t}
}

// withFairPart is our policy with another part for fair share.
func withFairPart(part float64) func(w *world, i int) entry {
	return func(w *world, i int) entry {
		o := makeOurs(bothLoads, w, i)
		o.ctl.FairFraction = part
		return o
	}
}
