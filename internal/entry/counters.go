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
	lost     metrics.Counter
	// names holds the metric of each result code, which is counted for every
	// request.
	names map[result.Code]string
}

func newCounters(r metrics.Registry) counters {
	names := map[result.Code]string{}
	for _, code := range result.Codes() {
		names[code] = nameOf(code)
	}
	return counters{
		names:    names,
		registry: r,
		retries:  metrics.GetOrRegisterCounter("entry.retries", r),
		strays:   metrics.GetOrRegisterCounter("entry.strayReplies", r),
		fetches:  metrics.GetOrRegisterCounter("entry.fetches", r),
		pushes:   metrics.GetOrRegisterCounter("entry.pushes", r),
		lost:     metrics.GetOrRegisterCounter("entry.callersLost", r),
	}
}

// result counts a final answer by its code.
func (c counters) result(code result.Code) {
	name, ok := c.names[code]
	if !ok {
		name = nameOf(code)
	}
	metrics.GetOrRegisterCounter(name, c.registry).Inc(1)
}

func nameOf(code result.Code) string { return fmt.Sprintf("entry.results.%d.%s", code, code) }
