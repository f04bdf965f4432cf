package demo

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// Count is what became of the requests of one shape.
type Count struct {
	sent, whole, late, refused, unknown, other int
}

// Change is an operator's order and how long it took to be in force everywhere.
type Change struct {
	Name string
	Took time.Duration
}

// Report is what a run of the demonstration showed.
type Report struct {
	counts  [shapes]Count
	codes   map[result.Code]int
	changes []Change
	twice   []string
	broken  []string
}

// NewReport counts outcomes and compares them with what the endpoints ran.
func NewReport(s *System, outcomes []Outcome, changes []Change) *Report {
	r := &Report{codes: map[result.Code]int{}, changes: changes}
	for _, o := range outcomes {
		r.count(o)
	}
	for key, n := range s.Runs() {
		if n > 1 {
			r.twice = append(r.twice, key)
			r.broken = append(r.broken, fmt.Sprintf("order %s ran %d times", key, n))
		}
	}
	ran := s.Ran()
	for _, o := range outcomes {
		r.check(o, ran)
	}
	for name, n := range s.Breaches() {
		r.broken = append(r.broken, fmt.Sprintf("%s was overrun %d times in cold start", name, n))
	}
	return r
}

func (r *Report) count(o Outcome) {
	c := &r.counts[o.shape]
	c.sent++
	switch {
	case o.whole && o.onTime:
		c.whole++
	case o.whole:
		c.late++
	case o.code == result.OK:
		c.other++
	case o.code.Effect() == result.NotRun:
		c.refused++
	default:
		c.unknown++
	}
	if o.code != result.OK {
		r.codes[o.code]++
	}
}

// check finds promises that an outcome breaks.
func (r *Report) check(o Outcome, ran map[string]int) {
	if o.code == result.OK && !o.whole {
		r.broken = append(r.broken, o.id+": "+o.detail)
	}
	if o.code != result.OK && o.code.Effect() == result.NotRun && ran[o.id] > 0 {
		r.broken = append(r.broken, fmt.Sprintf("%s: refused as not run (%d) and ran %d times", o.id, o.code, ran[o.id]))
	}
	if o.shape == RunOnce && o.whole && ran[o.id] == 0 {
		r.broken = append(r.broken, o.id+": answered and not run")
	}
}

// Broken returns the promises that were broken.
func (r *Report) Broken() []string { return r.broken }

// Print writes the report as a table.
func (r *Report) Print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	lines := []string{"\tsent\twhole and on time\twhole and late\trefused, not run\toutcome unknown\t"}
	var all Count
	for s := range shapes {
		c := r.counts[s]
		lines = append(lines, row(s.String(), c))
		all.add(c)
	}
	lines = append(lines, row("all", all))
	lines = append(lines, "", fmt.Sprintf("ran twice\t%d\t", len(r.twice)))
	for _, c := range r.changes {
		lines = append(lines, fmt.Sprintf("%s, in force everywhere after\t%d ms\t", c.Name, c.Took.Milliseconds()))
	}
	for _, code := range r.sortedCodes() {
		lines = append(lines, fmt.Sprintf("result %d %s\t%d\t", code, code, r.codes[code]))
	}
	if _, err := fmt.Fprintln(w, strings.Join(lines, "\n")); err != nil {
		return err
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, b := range r.broken {
		if _, err := fmt.Fprintln(out, "BROKEN PROMISE:", b); err != nil {
			return err
		}
	}
	return nil
}

func row(name string, c Count) string {
	return fmt.Sprintf("%s\t%d\t%d\t%d\t%d\t%d\t", name, c.sent, c.whole, c.late, c.refused, c.unknown+c.other)
}

func (c *Count) add(o Count) {
	c.sent += o.sent
	c.whole += o.whole
	c.late += o.late
	c.refused += o.refused
	c.unknown += o.unknown
	c.other += o.other
}

func (r *Report) sortedCodes() []result.Code {
	var cs []result.Code
	for c := range r.codes {
		cs = append(cs, c)
	}
	sort.Slice(cs, func(i, j int) bool { return cs[i] < cs[j] })
	return cs
}
