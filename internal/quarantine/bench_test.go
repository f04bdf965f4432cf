package quarantine

import (
	"fmt"
	"testing"
)

// tableWith returns a table with a number of cases.
func tableWith(cases int) *Table {
	table := &Table{}
	for i := range cases {
		table.Crashed([]string{fmt.Sprintf("%x", i)}, end(i, i))
	}
	return table
}

// forEachSize runs a benchmark over numbers of cases up to the bound.
func forEachSize(b *testing.B, run func(table *Table)) {
	for _, n := range []int{0, 4, 32, maxCases} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			table := tableWith(n)
			b.ReportAllocs()
			for b.Loop() {
				run(table)
			}
		})
	}
}

func BenchmarkAnswered(b *testing.B) {
	parts := []string{"f1", "f2", "f3"}
	forEachSize(b, func(table *Table) { table.Answered(parts, at(1000)) })
}

func BenchmarkCheck(b *testing.B) {
	parts := []string{"f1", "f2", "f3"}
	forEachSize(b, func(table *Table) { table.Check("a", parts, never, at(1000)) })
}

func BenchmarkRecent(b *testing.B) {
	forEachSize(b, func(table *Table) { table.Recent(at(1000)) })
}
