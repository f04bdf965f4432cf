package endpoint

import (
	"github.com/rcrowley/go-metrics"

	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// counters are the client's counters.
type counters struct {
	calls          metrics.Counter
	whole          metrics.Counter
	byCode         map[result.Code]metrics.Counter
	cancelsDropped metrics.Counter
	cancelsFailed  metrics.Counter
	// strayAnswers counts the answers that name another request than the one that was sent last, and
	// those without a name on a connection that has carried other requests. strayBytes counts how often
	// bytes came while no answer was due.
	strayAnswers, strayBytes metrics.Counter
	// malformed counts the answers whose head was malformed.
	malformed metrics.Counter
}

func newCounters(r metrics.Registry) counters {
	c := counters{
		calls:          metrics.GetOrRegisterCounter("endpoint.calls", r),
		whole:          metrics.GetOrRegisterCounter("endpoint.whole", r),
		byCode:         map[result.Code]metrics.Counter{},
		cancelsDropped: metrics.GetOrRegisterCounter("endpoint.cancelsDropped", r),
		cancelsFailed:  metrics.GetOrRegisterCounter("endpoint.cancelsFailed", r),
		strayAnswers:   metrics.GetOrRegisterCounter("endpoint.stray.answers", r),
		strayBytes:     metrics.GetOrRegisterCounter("endpoint.stray.bytes", r),
		malformed:      metrics.GetOrRegisterCounter("endpoint.answers.malformed", r),
	}
	for _, code := range result.Codes() {
		if info, _ := result.Lookup(code); info.Effect() != result.NotApplicable && code != result.OK {
			c.byCode[code] = metrics.GetOrRegisterCounter("endpoint.failed."+code.String(), r)
		}
	}
	return c
}

// count counts the end of one call.
func (c counters) count(err error) {
	c.calls.Inc(1)
	if err == nil {
		c.whole.Inc(1)
		return
	}
	if n, ok := c.byCode[result.CodeOf(err)]; ok {
		n.Inc(1)
	}
}
