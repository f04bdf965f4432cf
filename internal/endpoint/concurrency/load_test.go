package concurrency

import (
	"slices"
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/batch"
)

// meanPass returns the mean duration of a pass with n requests for each engine.
func (d deployment) meanPass(n, skew float64) time.Duration {
	e := d.engine
	work := n*float64(e.Stride)*float64(e.PerSequence) + n/d.passes()*float64(readingTime(e, e.MeanPrompt))
	return time.Duration(e.Stride)*e.Step + time.Duration(work*(1+e.Experts.Share*(skew-1)))
}

// passes returns the mean number of passes of a request.
func (d deployment) passes() float64 {
	return float64(d.engine.MeanOutput)/float64(d.engine.Stride) + 1
}

// capacity returns the multiple of the usual demand which the groups serve with the largest batches
// with which passes stay within the tolerated pause at the greatest skew.
func (d deployment) capacity() float64 {
	demand, n := 0.0, 1.0
	for _, r := range d.rates {
		demand += r
	}
	for n < float64(d.engine.Slots) && d.meanPass(n+1, greatestSkew) <= d.gap {
		n++
	}
	return modelGroups * modelRanks * n / (d.passes() * d.meanPass(n, evenSkew).Seconds()) / demand
}

// Guards against conclusions from a model whose passes differ from those measured on deployment H.
func TestPassesAgreeWithMeasurements(t *testing.T) {
	const tolerance = 0.12
	for _, c := range []struct{ requests, skew, least, most float64 }{
		{3.1, 1.57, 47, 47}, {4.4, 1.55, 54, 54}, {9.5, 1.25, 65, 72}, {9.5, 3.2, 127, 148},
	} {
		ms := float64(deploymentH().meanPass(c.requests, c.skew).Microseconds()) / 1000
		t.Logf("%.1f requests, skew %.2f: %.0f ms, measured %.0f to %.0f", c.requests, c.skew, ms, c.least, c.most)
		if ms < c.least*(1-tolerance) || ms > c.most*(1+tolerance) {
			t.Errorf("%.1f requests, skew %.2f: %.0f ms, measured %.0f to %.0f", c.requests, c.skew, ms, c.least, c.most)
		}
	}
}

const (
	// unlimited as the batch of a model fills all slots, and adaptive follows the limit.
	unlimited = -1
	adaptive  = 0
)

// play runs a model and returns the value that its requests earn, in all and on time.
func play(t *testing.T, d deployment, name string, fixed int, demand float64) (value, onTime float64) {
	t.Helper()
	const length = 30 * time.Second
	if fixed == unlimited {
		fixed = d.engine.Slots
	}
	seeds := uint64(3)
	for seed := range seeds {
		m := newModel(d, fixed, seed)
		m.run(length, demand*d.capacity())
		for c, r := range m.results {
			onTime += float64(r.onTime) * m.values[c][0] / length.Seconds() / float64(seeds)
			value += (float64(r.onTime)*m.values[c][0] + float64(r.late)*m.values[c][1]) / length.Seconds() / float64(seeds)
		}
		if seed == 0 {
			t.Logf("%.1f %s: %v", demand, name, m.results)
		}
	}
	t.Logf("%.1f %s: value %.0f, on time %.0f", demand, name, value, onTime)
	return value, onTime
}

// Plays the engines of two deployments at 0.8 to 2.5 times their capacity. Guards against streams
// that are late because batches are too large, and against less value under more demand.
func TestMoreStreamsAreOnTime(t *testing.T) {
	for name, d := range map[string]deployment{"H": deploymentH(), "C": deploymentC()} {
		t.Run(name, func(t *testing.T) {
			full := 0.0
			for _, demand := range []float64{0.8, 1, 1.3, 1.7, 2.5} {
				none, _ := play(t, d, "no limit", unlimited, demand)
				fixed, _ := play(t, d, "fixed limit", batch.MaxBatch(d.engine, d.gap), demand)
				adapted, onTime := play(t, d, "adaptive limit", adaptive, demand)
				if demand == 1 {
					full = onTime
				}
				least := 0.97
				if demand > 1.5 {
					least = 1.02
				}
				if adapted < least*max(none, fixed) {
					t.Errorf("%.1f: value %.0f with the limit, %.0f with a fixed one, %.0f with none", demand, adapted, fixed, none)
				}
				if onTime < full {
					t.Errorf("%.1f: value on time %.0f, %.0f at capacity", demand, onTime, full)
				}
			}
		})
	}
}

// The most urgent kind doubles its demand every other five seconds. Slots kept free for more urgent
// classes, in proportion to their observed arrivals and the time for which a request holds a slot,
// are expected to earn no more than the queue's order alone. Guards against relying on that when it
// no longer holds.
func TestReserveEarnsNothing(t *testing.T) {
	for _, demand := range []float64{1, 1.7, 2.5} {
		var values []float64
		for _, reserve := range []float64{0, 0.5, 1} {
			value := 0.0
			for seed := range uint64(3) {
				m := newModel(deploymentH(), adaptive, seed)
				m.reserve = reserve
				for range 3 {
					m.run(5*time.Second, demand*m.capacity())
					m.rates[0] *= 2
					m.run(5*time.Second, demand*m.capacity())
					m.rates[0] /= 2
				}
				value += m.value() / 3
				t.Logf("%.1f reserve %.1f: %v", demand, reserve, m.results)
			}
			t.Logf("%.1f reserve %.1f: value %.0f", demand, reserve, value)
			values = append(values, value)
		}
		if most := slices.Max(values); most > 1.02*values[0] {
			t.Errorf("%.1f: value %.0f with a reserve, %.0f without", demand, most, values[0])
		}
	}
}

// Guards against a limit that rises and falls with each jump of popularity.
func TestLimitDoesNotOscillate(t *testing.T) {
	for name, d := range map[string]deployment{"H": deploymentH(), "C": deploymentC()} {
		for seed := range uint64(4) {
			m := newModel(d, adaptive, seed)
			m.jumpSkew = 3
			m.run(15*time.Second, 1.5*d.capacity())
			for _, g := range m.groups {
				g.limits = nil
			}
			m.run(45*time.Second, 1.5*d.capacity())
			for _, g := range m.groups {
				if least, most := slices.Min(g.limits), slices.Max(g.limits); most-least > 1 || most == m.engine.Slots {
					t.Errorf("%s, seed %d: limits from %d to %d", name, seed, least, most)
				}
			}
		}
	}
}

// A group stands still for a second, as when a rank restarts. Guards against a limit that takes this
// for large batches.
func TestStandstillDoesNotLowerLimit(t *testing.T) {
	m := newModel(deploymentH(), adaptive, 1)
	m.jumpSkew = evenSkew
	m.run(10*time.Second, 1.2)
	m.groups[0].passEnd += time.Second
	m.run(3*time.Second, 1.2)
	if n := m.groups[0].limit.Requests(); n != m.engine.Slots {
		t.Errorf("limit %d, want %d", n, m.engine.Slots)
	}
}
