package measure

import (
	"fmt"
	"io"
	"strings"
)

// Table is one table of the report.
type Table struct {
	Title   string
	Notes   []string
	Columns []string
	Rows    [][]string
}

// Section writes the tables of one topic.
type Section struct {
	Name  string
	Write func(w io.Writer, seed uint64) error
}

// tables returns a section of the given tables.
func tables(name string, from func(seed uint64) []Table) Section {
	return Section{Name: name, Write: func(w io.Writer, seed uint64) error {
		for _, t := range from(seed) {
			if _, err := t.WriteTo(w); err != nil {
				return err
			}
		}
		return nil
	}}
}

// WriteTo writes the table as aligned text. It implements io.WriterTo.
func (t Table) WriteTo(w io.Writer) (int64, error) {
	var b strings.Builder
	fmt.Fprintf(&b, "## %s\n\n", t.Title)
	for _, n := range t.Notes {
		fmt.Fprintf(&b, "%s\n", n)
	}
	width := t.widths()
	writeRow(&b, t.Columns, width)
	rule := make([]string, len(width))
	for i := range rule {
		rule[i] = strings.Repeat("-", width[i])
	}
	writeRow(&b, rule, width)
	for _, r := range t.Rows {
		writeRow(&b, r, width)
	}
	b.WriteByte('\n')
	n, err := io.WriteString(w, b.String())
	return int64(n), err
}

func (t Table) widths() []int {
	width := make([]int, len(t.Columns))
	for _, r := range append([][]string{t.Columns}, t.Rows...) {
		for i, cell := range r {
			width[i] = max(width[i], len(cell))
		}
	}
	return width
}

func writeRow(b *strings.Builder, cells []string, width []int) {
	for i, cell := range cells {
		format := " %*s |"
		if i == 0 {
			b.WriteByte('|')
			format = " %-*s |"
		}
		fmt.Fprintf(b, format, width[i], cell)
	}
	b.WriteByte('\n')
}
