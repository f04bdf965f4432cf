package capacity

import (
	"fmt"
	"runtime"
	"syscall"
	"time"

	"gonum.org/v1/gonum/stat"

	"github.com/hyssoprelay/hyssoprelay/internal/measure"
)

// series is one quantity over sizes.
type series struct {
	what   string
	unit   string
	values []float64
}

// fit returns the line through the values by least squares.
func fit(sizes, values []float64) (at0, slope float64) {
	return stat.LinearRegression(sizes, values, nil, false)
}

// table returns a table with a row for each series.
func table(title, of string, notes []string, sizes []float64, all ...series) measure.Table {
	t := measure.Table{Title: title, Notes: notes, Columns: []string{of}}
	for _, n := range sizes {
		t.Columns = append(t.Columns, fmt.Sprintf("%.0f", n))
	}
	t.Columns = append(t.Columns, "at 0", "slope")
	for _, s := range all {
		row := []string{s.what + ", " + s.unit}
		for _, v := range s.values {
			row = append(row, fmt.Sprintf("%.4g", v))
		}
		at0, slope := fit(sizes, s.values)
		t.Rows = append(t.Rows, append(row, fmt.Sprintf("%.4g", at0), fmt.Sprintf("%.4g", slope)))
	}
	return t
}

// processorTime returns what this process has used so far.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// collections is how often to collect: pools and finalizers keep what they hold
// through some.
const collections = 5

// heap returns the bytes that are in use after a collection.
func heap() float64 {
	for range collections {
		runtime.GC()
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// timeOf returns the mean processor microseconds of n calls.
func timeOf(n int, f func()) float64 {
	f()
	start := time.Now()
	for range n {
		f()
	}
	return float64(time.Since(start).Microseconds()) / float64(n)
}
