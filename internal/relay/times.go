package relay

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// timesWindow is for how long a time that was seen counts, in timesParts that
	// are forgotten one by one: long enough for some dozens of answers at each
	// entry, short enough to follow a service that turns slow.
	timesWindow = 10 * time.Second
	timesParts  = 5
	// timesLeast is how many answers tell what is usual.
	timesLeast = 10
	// timesMost is the longest time that is told apart, and timesDigits to how
	// many digits.
	timesMost   = time.Minute
	timesDigits = 2
	// quickFirst, usualFirst and usualWhole are the parts of answers, in percent,
	// that come within the quick and the usual time to their first part and the
	// usual time to their end. A request that is on time if it is answered quickly
	// is worth trying; a late start that most answers leave time for is the last
	// one that is worth a place.
	quickFirst = 25
	usualFirst = 75
	usualWhole = 75
	// firstOfTarget is the part of the target that the first part of an answer
	// takes as long as none was seen.
	firstOfTarget = 0.4
)

// answerTimes follows how long the endpoints of services take, from the moment in
// which a request is given a place.
//
// Load: services whose answers take 30 ms or two seconds, with targets of 150 to
// 500 ms. Harm prevented: with one constant for all, a request of the fast service
// counts as late from the start, and one of the slow service as on time although
// its answer can't be.
type answerTimes struct {
	services map[string]*serviceTimes
}

type serviceTimes struct {
	first, whole *hdrhistogram.WindowedHistogram
	turned       time.Time
}

// of returns the times of a service, with what is too old forgotten.
func (a *answerTimes) of(service string, now time.Time) *serviceTimes {
	if a.services == nil {
		a.services = map[string]*serviceTimes{}
	}
	s := a.services[service]
	if s == nil {
		s = &serviceTimes{first: newTimes(), whole: newTimes(), turned: now}
		a.services[service] = s
	}
	s.turn(now)
	return s
}

func newTimes() *hdrhistogram.WindowedHistogram {
	return hdrhistogram.NewWindowed(timesParts, 1, timesMost.Milliseconds(), timesDigits)
}

func (s *serviceTimes) turn(now time.Time) {
	for range timesParts {
		if now.Sub(s.turned) < timesWindow/timesParts {
			return
		}
		s.first.Rotate()
		s.whole.Rotate()
		s.turned = s.turned.Add(timesWindow / timesParts)
	}
	s.turned = now // all is forgotten
}

// noteFirst and noteWhole take in how long an answer took to its first part and to
// its end.
func (a *answerTimes) noteFirst(service string, d time.Duration, now time.Time) {
	record(a.of(service, now).first, d)
}

func (a *answerTimes) noteWhole(service string, d time.Duration, now time.Time) {
	record(a.of(service, now).whole, d)
}

func record(h *hdrhistogram.WindowedHistogram, d time.Duration) {
	// Times within the histogram's bounds are never refused.
	_ = h.Current.RecordValue(min(max(d, time.Millisecond), timesMost).Milliseconds())
}

// quick returns how long a service takes to the first part of an answer at best.
//
// Guard: a service has turned slow for some seconds. Were what is usual then counted
// on, all its requests would be late from the start, and nothing would show that it
// is as fast as before again.
func (a *answerTimes) quick(service string, target time.Duration, now time.Time) time.Duration {
	return a.of(service, now).firstPart(quickFirst, target)
}

// usual returns how long a service usually takes to the first part of an answer
// whose target is given, and to its end.
func (a *answerTimes) usual(service string, target time.Duration, now time.Time) (first, whole time.Duration) {
	s := a.of(service, now)
	first = s.firstPart(usualFirst, target)
	return first, max(first, quantile(s.whole, usualWhole, first))
}

// firstPart returns within which time so many answers in a hundred have their first
// part, or a part of the target before enough were seen.
func (s *serviceTimes) firstPart(percent float64, target time.Duration) time.Duration {
	return quantile(s.first, percent, time.Duration(firstOfTarget*float64(target)))
}

func quantile(h *hdrhistogram.WindowedHistogram, percent float64, unknown time.Duration) time.Duration {
	m := h.Merge()
	if m.TotalCount() < timesLeast {
		return unknown
	}
	return time.Duration(m.ValueAtQuantile(percent)) * time.Millisecond
}
