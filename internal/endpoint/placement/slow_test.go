package placement

import (
	"testing"
	"time"
)

// runSlow sends a request each 20 ms for d; endpoint 2 takes factor times as
// long for each piece. It returns how many each endpoint got.
func runSlow(t testing.TB, p *Picture, start time.Time, d time.Duration, factor int) map[string]int {
	t.Helper()
	type end struct {
		at time.Time
		a  *Attempt
	}
	var ends []end
	got := make(map[string]int)
	for now := start; now.Before(start.Add(d)); now = now.Add(20 * time.Millisecond) {
		var rest []end
		for _, e := range ends {
			if e.at.After(now) {
				rest = append(rest, e)
				continue
			}
			p.Piece(e.a, now)
			p.Ended(e.a, now)
		}
		ends = rest
		for i := range 6 {
			p.Update(warm(i, now), now)
		}
		c, ok, _ := p.Choose(query, now)
		if !ok {
			continue
		}
		run := 100 * time.Millisecond
		if c.Endpoint == name(2) {
			run *= time.Duration(factor)
		}
		got[c.Endpoint]++
		ends = append(ends, end{now.Add(run), p.Started(c, query, now)})
	}
	for _, e := range ends {
		p.Piece(e.a, e.at)
		p.Ended(e.a, e.at)
	}
	return got
}

// Callers would wait at an endpoint that has slowed down: it completes little,
// so it looks free. When it has recovered it must get its part again.
func TestSlowEndpointGetsLessAndIsProbedBack(t *testing.T) {
	p := newPicture(6, epoch)
	got := runSlow(t, p, epoch, 10*time.Second, 1)
	assertPart(t, got, name(2), 0.08, 0.3)
	got = runSlow(t, p, epoch.Add(10*time.Second), 20*time.Second, 5)
	assertPart(t, got, name(2), 0.005, 0.03)
	runSlow(t, p, epoch.Add(30*time.Second), 20*time.Second, 1)
	got = runSlow(t, p, epoch.Add(50*time.Second), 10*time.Second, 1)
	assertPart(t, got, name(2), 0.08, 0.3)
}

func assertPart(t testing.TB, got map[string]int, endpoint string, least, most float64) {
	t.Helper()
	all := 0
	for _, n := range got {
		all += n
	}
	if part := float64(got[endpoint]) / float64(all); part < least || part > most {
		t.Errorf("%s got %.3f of %d, want %v to %v", endpoint, part, all, least, most)
	}
}

// More callers would join a stream that has stopped: the endpoint takes
// requests, and its running ones get no further pieces.
func TestSilentEndpointGetsLess(t *testing.T) {
	p := newPicture(6, epoch)
	runSlow(t, p, epoch.Add(-time.Minute), 10*time.Second, 1)
	for i := range 6 {
		p.Update(warm(i, epoch), epoch)
		for range 4 {
			a := p.Started(Choice{Endpoint: name(i)}, query, epoch)
			p.Piece(a, epoch.Add(100*time.Millisecond))
			if i != 2 {
				p.Piece(a, epoch.Add(3*time.Second))
			}
		}
	}
	got := spreadOf(t, p, query, 12, epoch.Add(3*time.Second))
	if got[name(2)] != 0 {
		t.Errorf("%d of 12 went to an endpoint that has been silent for 2.9 s", got[name(2)])
	}
}

// The only endpoint of a service answers within a millisecond and then writes an
// event each 50 ms. Between two events it has been silent for many times as long
// as it took to the first; counted as slow it would be full with one stream, and
// a caller who asks next would be refused by an idle endpoint.
func TestPauseBetweenEventsIsNotSlow(t *testing.T) {
	p := newPicture(1, epoch)
	a := p.Started(mustChoose(t, p, query, epoch), query, epoch)
	now := epoch.Add(time.Millisecond)
	for range 40 {
		p.Piece(a, now)
		now = now.Add(50 * time.Millisecond)
		p.Update(warm(0, now), now)
		mustChoose(t, p, query, now)
	}
}

// Two endpoints answer in a millisecond, and one of them once in 20 because its
// VM was busy. Callers would not notice that, so it stays as free as it is.
func TestFewMillisecondsAreNotSlow(t *testing.T) {
	p := newPicture(2, epoch)
	for i, took := range []time.Duration{time.Millisecond, 20 * time.Millisecond} {
		for range 10 {
			a := p.Started(Choice{Endpoint: name(i)}, query, epoch)
			p.Piece(a, epoch.Add(took))
			p.Ended(a, epoch.Add(took))
		}
	}
	now := epoch.Add(time.Second)
	for i := range 2 {
		p.Update(warm(i, now), now)
	}
	got := spreadOf(t, p, query, 8, now)
	if got[name(1)] < 3 {
		t.Errorf("%d of 8 went to an endpoint that was slower by 19 ms", got[name(1)])
	}
}

// A fleet would lose a large part of its requests to one endpoint that fails
// each of them within moments, because it never has work and looks free.
func TestFailingEndpointIsLeftAlone(t *testing.T) {
	p := newPicture(6, epoch)
	got := make(map[string]int)
	now := epoch
	for i := range 2500 {
		now = now.Add(20 * time.Millisecond)
		for k := range 6 {
			p.Update(warm(k, now), now)
		}
		c := mustChoose(t, p, query, now)
		a := p.Started(c, query, now)
		if c.Endpoint == name(2) && i < 1000 {
			got["failed"]++
			p.Failed(a, now)
			continue
		}
		if i >= 2000 {
			got[c.Endpoint]++
		}
		p.Piece(a, now.Add(100*time.Millisecond))
		p.Ended(a, now.Add(100*time.Millisecond))
	}
	if got["failed"] == 0 || got["failed"] > 10 {
		t.Errorf("%d of 1000 requests failed, want 1 to 10", got["failed"])
	}
	assertPart(t, map[string]int{name(2): got[name(2)], "others": 500 - got[name(2)]}, name(2), 0.03, 0.3)
}

// An engine restarts and all its streams break at once. Counted one by one, the
// eight failures would keep callers waiting for 16 s in front of an engine that
// was back at once, and where it is the only one they would miss their
// deadlines.
func TestStreamsThatBreakTogetherAreOneFailure(t *testing.T) {
	p := newPicture(1, epoch)
	p.Update(warm(0, epoch), epoch)
	var broken []*Attempt
	for range 8 {
		broken = append(broken, p.Started(mustChoose(t, p, query, epoch), query, epoch))
	}
	now := epoch.Add(time.Second)
	for _, a := range broken {
		p.Failed(a, now)
		now = now.Add(time.Millisecond)
	}
	now = now.Add(leastFailPause)
	p.Update(warm(0, now), now)
	mustChoose(t, p, query, now)
}

// A request that may not be repeated would be used to find out whether a slow
// endpoint still is.
func TestRunOnceIsNoProbe(t *testing.T) {
	p := newPicture(6, epoch)
	runSlow(t, p, epoch, 10*time.Second, 20)
	assertProbes(t, p, true, 0)
	assertProbes(t, p, false, 1)
}

// assertProbes chooses for a while and checks that at least, or without any
// wanted exactly, so many choices were probes.
func assertProbes(t *testing.T, p *Picture, runOnce bool, want int) {
	t.Helper()
	q := query
	q.RunOnce = runOnce
	probes := 0
	for i := range 100 {
		now := epoch.Add(time.Minute + time.Duration(i)*100*time.Millisecond)
		for k := range 6 {
			p.Update(warm(k, now), now)
		}
		if c := mustChoose(t, p, q, now); c.Probe {
			probes++
		}
	}
	if probes < want || (want == 0 && probes > 0) {
		t.Errorf("runOnce %v: %d probes, want %d", runOnce, probes, want)
	}
}
