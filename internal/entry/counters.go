package entry

import (
	"fmt"

	"github.com/rcrowley/go-metrics"

	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// counters are the entry's metrics. All count since the start of the process.
type counters struct {
	registry metrics.Registry
	retries  metrics.Counter
	strays   metrics.Counter
	fetches  metrics.Counter
	pushes   metrics.Counter
}

func newCounters(r metrics.Registry) counters {
	return counters{
		registry: r,
		retries:  metrics.GetOrRegisterCounter("entry.retries", r),
		strays:   metrics.GetOrRegisterCounter("entry.strayReplies", r),
		fetches:  metrics.GetOrRegisterCounter("entry.fetches", r),
		pushes:   metrics.GetOrRegisterCounter("entry.pushes", r),
	}
}

// result counts a final answer by its code.
func (c counters) result(code result.Code) {
	name := fmt.Sprintf("entry.results.%d.%s", code, code)
	metrics.GetOrRegisterCounter(name, c.registry).Inc(1)
}
