package relay

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// latencyWindow is how long an observation counts. Observations expire in latencyWindowParts
	// steps. The window is long enough for some dozens of answers at each entry, and short enough
	// to follow a service that becomes slow.
	latencyWindow      = 10 * time.Second
	latencyWindowParts = 5
	// minLatencySamples is the number of answers from which latencies are estimated.
	minLatencySamples = 10
	// maxLatency is the longest latency recorded; longer ones count as that. latencyDigits is the
	// number of significant digits.
	maxLatency    = time.Minute
	latencyDigits = 2
	// Percentiles of the observed latencies that count as the quick and the usual time to the first
	// part, as the usual time to the end of an answer, and as the usual pause between two parts. A
	// request is worth trying if it meets its target when it is answered quickly. A late request is
	// worth starting for as long as the usual latencies leave time for its answer.
	quickFirstPercentile = 25
	usualFirstPercentile = 75
	usualWholePercentile = 75
	usualPausePercentile = 90
	// longWholePercentile is the percentile of the time to the end of an answer that counts as a long one.
	longWholePercentile = 95
	// defaultFirstPartFraction is the assumed time to the first part of an answer, as a fraction of
	// the latency target, until enough answers have been observed.
	defaultFirstPartFraction = 0.4
)

// answerLatencies measures the latencies of services, from the assignment of a request to the parts
// of its answer.
//
// Some services answer in 30 ms and others in two seconds, with targets of 150 to 500 ms. With one
// constant for all, a request of a fast service would count as late from the start, and one of a
// slow service as on time although its answer can't be.
type answerLatencies struct {
	services map[string]*serviceLatencies
}

type serviceLatencies struct {
	first, whole, pause *hdrhistogram.WindowedHistogram
	rotatedAt           time.Time
}

// forService returns the latencies of a service, without expired ones.
func (a *answerLatencies) forService(service string, now time.Time) *serviceLatencies {
	if a.services == nil {
		a.services = map[string]*serviceLatencies{}
	}
	s := a.services[service]
	if s == nil {
		s = &serviceLatencies{first: newLatencyHistogram(), whole: newLatencyHistogram(), pause: newLatencyHistogram(), rotatedAt: now}
		a.services[service] = s
	}
	s.rotate(now)
	return s
}

func newLatencyHistogram() *hdrhistogram.WindowedHistogram {
	return hdrhistogram.NewWindowed(latencyWindowParts, 1, maxLatency.Milliseconds(), latencyDigits)
}

func (s *serviceLatencies) rotate(now time.Time) {
	for range latencyWindowParts {
		if now.Sub(s.rotatedAt) < latencyWindow/latencyWindowParts {
			return
		}
		s.first.Rotate()
		s.whole.Rotate()
		s.pause.Rotate()
		s.rotatedAt = s.rotatedAt.Add(latencyWindow / latencyWindowParts)
	}
	s.rotatedAt = now // all samples have expired
}

// recordFirst and recordWhole record the time that an answer took to its first part and to its end.
func (a *answerLatencies) recordFirst(service string, d time.Duration, now time.Time) {
	recordLatency(a.forService(service, now).first, d)
}

func (a *answerLatencies) recordWhole(service string, d time.Duration, now time.Time) {
	recordLatency(a.forService(service, now).whole, d)
}

// recordPause records the time between two parts of an answer.
func (a *answerLatencies) recordPause(service string, d time.Duration, now time.Time) {
	recordLatency(a.forService(service, now).pause, d)
}

// usualPause returns the usual time between two parts of an answer of a service, or zero before enough have
// been observed.
func (a *answerLatencies) usualPause(service string, now time.Time) time.Duration {
	return quantile(a.forService(service, now).pause, usualPausePercentile, 0)
}

func recordLatency(h *hdrhistogram.WindowedHistogram, d time.Duration) {
	// Values within the histogram's bounds are never rejected.
	_ = h.Current.RecordValue(min(max(d, time.Millisecond), maxLatency).Milliseconds())
}

// quick returns the time in which a service sends the first part of a quick answer.
//
// Whether a request can meet its target is estimated from this time and not from the usual one:
// otherwise, after a service was slow for some seconds, all its requests would be late from the
// start, and nothing would show that it is fast again.
func (a *answerLatencies) quick(service string, target time.Duration, now time.Time) time.Duration {
	return a.forService(service, now).firstPart(quickFirstPercentile, target)
}

// usual returns the usual times of a service to the first part of an answer, given its latency
// target, and to its end.
func (a *answerLatencies) usual(service string, target time.Duration, now time.Time) (first, whole time.Duration) {
	s := a.forService(service, now)
	first = s.firstPart(usualFirstPercentile, target)
	return first, max(first, quantile(s.whole, usualWholePercentile, first))
}

// longWhole returns the time of a service to the end of a long answer, or unknown if none has been observed.
func (a *answerLatencies) longWhole(service string, unknown time.Duration, now time.Time) time.Duration {
	m := a.forService(service, now).whole.Merge()
	if m.TotalCount() == 0 {
		return unknown
	}
	return time.Duration(m.ValueAtQuantile(longWholePercentile)) * time.Millisecond
}

// firstPart returns the given percentile of the time to the first part, or a fraction of the target
// before enough answers have been observed.
func (s *serviceLatencies) firstPart(percent float64, target time.Duration) time.Duration {
	return quantile(s.first, percent, time.Duration(defaultFirstPartFraction*float64(target)))
}

func quantile(h *hdrhistogram.WindowedHistogram, percent float64, fallback time.Duration) time.Duration {
	m := h.Merge()
	if m.TotalCount() < minLatencySamples {
		return fallback
	}
	return time.Duration(m.ValueAtQuantile(percent)) * time.Millisecond
}
