package placement

import (
	"testing"
	"time"
)

// runWithSlowEndpoint places a request every 20 ms for d; requests on endpoint
// 2 take factor times as long as on the others. It returns how many requests
// each endpoint got.
func runWithSlowEndpoint(t testing.TB, b *Balancer, start time.Time, d time.Duration, factor int) map[string]int {
	t.Helper()
	type completion struct {
		at time.Time
		a  *Attempt
	}
	var completions []completion
	got := make(map[string]int)
	for now := start; now.Before(start.Add(d)); now = now.Add(20 * time.Millisecond) {
		var pending []completion
		for _, e := range completions {
			if e.at.After(now) {
				pending = append(pending, e)
				continue
			}
			b.Progress(e.a, now)
			b.End(e.a, now)
		}
		completions = pending
		for i := range 6 {
			b.Update(idleReport(i, now), now)
		}
		c, ok, _ := b.Choose(query, now)
		if !ok {
			continue
		}
		run := 100 * time.Millisecond
		if c.Endpoint == name(2) {
			run *= time.Duration(factor)
		}
		got[c.Endpoint]++
		completions = append(completions, completion{now.Add(run), b.Start(c, query, now)})
	}
	for _, e := range completions {
		b.Progress(e.a, e.at)
		b.End(e.a, e.at)
	}
	return got
}

// A slow endpoint completes few requests, so its reported load is low. It must
// get fewer requests, and its normal share again after it has recovered.
func TestSlowEndpointGetsLessUntilProbed(t *testing.T) {
	b := newBalancer(6, epoch)
	got := runWithSlowEndpoint(t, b, epoch, 10*time.Second, 1)
	assertShare(t, got, name(2), 0.08, 0.3)
	got = runWithSlowEndpoint(t, b, epoch.Add(10*time.Second), 20*time.Second, 5)
	assertShare(t, got, name(2), 0.005, 0.03)
	runWithSlowEndpoint(t, b, epoch.Add(30*time.Second), 20*time.Second, 1)
	got = runWithSlowEndpoint(t, b, epoch.Add(50*time.Second), 10*time.Second, 1)
	assertShare(t, got, name(2), 0.08, 0.3)
}

func assertShare(t testing.TB, got map[string]int, endpoint string, least, most float64) {
	t.Helper()
	all := 0
	for _, n := range got {
		all += n
	}
	if share := float64(got[endpoint]) / float64(all); share < least || share > most {
		t.Errorf("%s got a share of %.3f of %d requests, want %v to %v", endpoint, share, all, least, most)
	}
}

// An endpoint accepts requests, but its streams have stalled. It must get no
// more requests.
func TestSilentEndpointGetsLess(t *testing.T) {
	b := newBalancer(6, epoch)
	runWithSlowEndpoint(t, b, epoch.Add(-time.Minute), 10*time.Second, 1)
	for i := range 6 {
		b.Update(idleReport(i, epoch), epoch)
		for range 4 {
			a := b.Start(Choice{Endpoint: name(i)}, query, epoch)
			b.Progress(a, epoch.Add(100*time.Millisecond))
			if i != 2 {
				b.Progress(a, epoch.Add(3*time.Second))
			}
		}
	}
	got := startRequests(t, b, query, 12, epoch.Add(3*time.Second))
	if got[name(2)] != 0 {
		t.Errorf("%d of 12 requests went to an endpoint that has been silent for 2.9 s", got[name(2)])
	}
}

// The only endpoint of a service responds within 1 ms and then sends an event
// every 50 ms. The silence between two events is many times its latency. If it
// counted as slow, a single stream would make it full, and the next request
// would be refused although the endpoint has free capacity.
func TestPauseBetweenEventsIsNotSlow(t *testing.T) {
	b := newBalancer(1, epoch)
	a := b.Start(mustChoose(t, b, query, epoch), query, epoch)
	now := epoch.Add(time.Millisecond)
	for range 40 {
		b.Progress(a, now)
		now = now.Add(50 * time.Millisecond)
		b.Update(idleReport(0, now), now)
		mustChoose(t, b, query, now)
	}
}

// Of two endpoints, one responds in 1 ms and the other in 20 ms because its VM
// is busy. Callers don't notice the difference, so it must not affect the
// distribution much.
func TestFewMillisecondsAreNotSlow(t *testing.T) {
	b := newBalancer(2, epoch)
	for i, took := range []time.Duration{time.Millisecond, 20 * time.Millisecond} {
		for range 10 {
			a := b.Start(Choice{Endpoint: name(i)}, query, epoch)
			b.Progress(a, epoch.Add(took))
			b.End(a, epoch.Add(took))
		}
	}
	now := epoch.Add(time.Second)
	for i := range 2 {
		b.Update(idleReport(i, now), now)
	}
	got := startRequests(t, b, query, 8, now)
	if got[name(1)] < 3 {
		t.Errorf("%d of 8 requests went to an endpoint that was slower by 19 ms, want at least 3", got[name(1)])
	}
}

// An endpoint that fails each request immediately has no load, so that by load
// alone it would receive a large part of all requests. Among the
// first 1000 requests, all that go to endpoint 2 fail; the last 500 show whether it
// gets its share again.
func TestFailingEndpointIsEjected(t *testing.T) {
	b := newBalancer(6, epoch)
	got := make(map[string]int)
	now := epoch
	for i := range 2500 {
		now = now.Add(20 * time.Millisecond)
		for k := range 6 {
			b.Update(idleReport(k, now), now)
		}
		c := mustChoose(t, b, query, now)
		a := b.Start(c, query, now)
		if c.Endpoint == name(2) && i < 1000 {
			got["failed"]++
			b.Fail(a, now)
			continue
		}
		if i >= 2000 {
			got[c.Endpoint]++
		}
		b.Progress(a, now.Add(100*time.Millisecond))
		b.End(a, now.Add(100*time.Millisecond))
	}
	if got["failed"] == 0 || got["failed"] > 10 {
		t.Errorf("%d of 1000 requests failed, want 1 to 10", got["failed"])
	}
	assertShare(t, map[string]int{name(2): got[name(2)], "others": 500 - got[name(2)]}, name(2), 0.03, 0.3)
}

// An engine restarts and all its streams break at once. If each of the eight
// failures counted, the endpoint would be ejected for 16 s although the engine
// is back immediately, and where it is the only one, requests would miss their
// deadlines.
func TestSimultaneousFailuresCountOnce(t *testing.T) {
	b := newBalancer(1, epoch)
	b.Update(idleReport(0, epoch), epoch)
	var broken []*Attempt
	for range 8 {
		broken = append(broken, b.Start(mustChoose(t, b, query, epoch), query, epoch))
	}
	now := epoch.Add(time.Second)
	for _, a := range broken {
		b.Fail(a, now)
		now = now.Add(time.Millisecond)
	}
	now = now.Add(minEjection)
	b.Update(idleReport(0, now), now)
	mustChoose(t, b, query, now)
}

// A request that must not run twice must not be used to probe a slow endpoint.
func TestRunOnceIsNoProbe(t *testing.T) {
	b := newBalancer(6, epoch)
	runWithSlowEndpoint(t, b, epoch, 10*time.Second, 20)
	assertProbes(t, b, true, 0)
	assertProbes(t, b, false, 1)
}

// assertProbes makes 100 choices and checks that at least want of them are
// probes or, if want is 0, that none is.
func assertProbes(t *testing.T, b *Balancer, runOnce bool, want int) {
	t.Helper()
	q := query
	q.RunOnce = runOnce
	probes := 0
	for i := range 100 {
		now := epoch.Add(time.Minute + time.Duration(i)*100*time.Millisecond)
		for k := range 6 {
			b.Update(idleReport(k, now), now)
		}
		if c := mustChoose(t, b, q, now); c.Probe {
			probes++
		}
	}
	if probes < want || (want == 0 && probes > 0) {
		t.Errorf("runOnce %v: got %d probes, want at least %d, or none if that is 0", runOnce, probes, want)
	}
}
