package measure

import (
	"fmt"
	"time"
)

var shapes = []shape{
	{name: "steady, 0.8 of capacity", load: 0.8},
	{name: "steady, 1.0 of capacity", load: 1},
	{name: "saturated, 1.5 times capacity", load: 1.5},
	{name: "saturated, 3 times capacity", load: 3},
	{name: "bursts of 3 times, mean 0.8", load: 0.8, burst: 3},
	{name: "one account sends 80 in 100, 1.5", load: 1.5, skew: 0.8, sameWorth: true},
	{name: "one slow endpoint, 0.8", load: 0.8, slowEndpoint: 10},
	{name: "one endpoint fails at once, 0.8", load: 0.8, failing: true},
	{name: "long and short mixed, 0.8", load: 0.8, long: 0.1},
	{name: "long and short mixed, 1.5", load: 1.5, long: 0.1},
	{name: "data centre leaves and returns, 0.8", load: 0.8, leave: true},
	{name: "data centre leaves and returns, 1.2", load: 1.2, leave: true},
}

// Service compares admission and placement with the naive way.
func Service() Section {
	return tables("service", serviceTables)
}

// runsPerRow is how many seeds each row is the mean of.
const runsPerRow = 2

func play(s shape, l lag, seed uint64, policy func(w *world, i int) entry) result {
	w := newWorld(s, l, seed, policy)
	w.run()
	return w.result()
}

// playAll sums up the runs of several seeds.
func playAll(s shape, l lag, seed uint64, policy func(w *world, i int) entry) result {
	var sum result
	for i := range uint64(runsPerRow) {
		sum = sum.plus(play(s, l, seed+i, policy))
	}
	return sum
}

func serviceTables(seed uint64) []Table {
	worth := Table{
		Title: "Service by worth",
		Notes: []string{
			"Whole and on time, in 100 of the worth asked; the bound is what capacity allows. The naive ways queue",
			"without a bound and place by the least reported load or in turn.",
			"12 endpoints in 3 data centres, 9 entries, 10 accounts, 120 s of arrivals, reports 0.1 to 0.3 s old.",
			"",
		},
		Columns: []string{"load", "naive, least load", "naive, in turn", "ours", "bound", "ours of bound"},
	}
	care := Table{
		Title: "Fairness and refusals",
		Notes: []string{
			"Least share: the least, over the accounts, of the work served in 100 of what the account asked for",
			"or of an equal share of the capacity, whichever is less. Told after: until callers who were not",
			"served at once first knew it, median and 99th percentile. Cold overloads: requests given to a cold",
			"endpoint beyond what it bears.",
			"",
		},
		Columns: []string{
			"load", "least share naive in turn", "ours", "refused ours", "late naive in turn", "late ours",
			"told after naive in turn", "ours", "ours 99", "cold overloads naive in turn", "ours", "agent refusals ours",
		},
	}
	for _, s := range shapes {
		n := playAll(s, usualLag, seed, newNaive)
		m := playAll(s, usualLag, seed, newInTurn)
		o := playAll(s, usualLag, seed, newOurs(bothLoads))
		worth.Rows = append(worth.Rows, []string{
			s.name, percent(n.service / n.asked), percent(m.service / m.asked), percent(o.service / o.asked),
			percent(o.bound / o.asked), percent(o.ofBound()),
		})
		care.Rows = append(care.Rows, []string{
			s.name, percent(m.leastShare), percent(o.leastShare), percent(o.of(o.refused)),
			percent(m.of(m.late)), percent(o.of(o.late)), inSeconds(m.told50), inSeconds(o.told50), inSeconds(o.told99),
			fmt.Sprint(m.coldOverloads), fmt.Sprint(o.coldOverloads), percent(o.of(o.agentRefusals)),
		})
	}
	return []Table{worth, care}
}

func inSeconds(d time.Duration) string { return fmt.Sprintf("%.2f s", d.Seconds()) }

var lags = []time.Duration{
	100 * time.Millisecond, 300 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second,
}

// Placing compares what load a placement goes by.
func Placing() Section {
	return tables("placing", placingTables)
}

func placingTables(seed uint64) []Table {
	t := Table{
		Title: "Placing under lagging reports",
		Notes: []string{
			"Service by worth in 100 of the bound, and in brackets agent refusals in 100 requests, by what a",
			"choice goes by. The age of a report is at the most the lag.",
			"",
		},
		Columns: []string{"load, lag", "reports only", "committed only", "both"},
	}
	for _, load := range []float64{0.8, 1.5} {
		for _, d := range lags {
			l := lag{every: d / 2, delay: d / 2}
			row := []string{fmt.Sprintf("%.1f, %v", load, d)}
			for _, p := range []placing{reportOnly, committedOnly, bothLoads} {
				r := play(shape{load: load}, l, seed, newOurs(p))
				row = append(row, fmt.Sprintf("%s (%s)", percent(r.ofBound()), percent(r.of(r.agentRefusals))))
			}
			t.Rows = append(t.Rows, row)
		}
	}
	return []Table{t}
}
