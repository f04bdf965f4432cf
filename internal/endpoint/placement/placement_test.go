package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

var epoch = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

func name(i int) string { return fmt.Sprintf("endpoint%05d", i) }

// idleReport returns the report of an idle endpoint that isn't in cold start.
func idleReport(i int, at time.Time) Report {
	return Report{
		Endpoint: name(i), Incarnation: 1, DataCentre: fmt.Sprint("dc", i%3), Routes: []string{"model"},
		Allowance: 8, Capacity: 8, ValidAt: at,
	}
}

// newBalancer returns a Balancer of n idle endpoints whose slow start is over.
func newBalancer(n int, now time.Time) *Balancer {
	b := &Balancer{DataCentre: "dc0", RemotePenalty: 0.01}
	for i := range n {
		b.Update(idleReport(i, now.Add(-time.Hour)), now.Add(-time.Hour))
		b.Update(idleReport(i, now), now)
	}
	return b
}

func mustChoose(t testing.TB, b *Balancer, q Query, now time.Time) Choice {
	t.Helper()
	c, ok, why := b.Choose(q, now)
	if !ok {
		t.Fatalf("no endpoint was chosen: %v", why)
	}
	return c
}

// startRequests places n requests and returns how many each endpoint got.
func startRequests(t testing.TB, b *Balancer, q Query, n int, now time.Time) map[string]int {
	t.Helper()
	got := make(map[string]int)
	for range n {
		c := mustChoose(t, b, q, now)
		b.Start(c, q, now)
		got[c.Endpoint]++
	}
	return got
}

func assertNoChoice(t testing.TB, b *Balancer, q Query, now time.Time, want result.Code) {
	t.Helper()
	if c, ok, why := b.Choose(q, now); ok || why != want {
		t.Errorf("got %v, %v, %v; want no endpoint and %v", c, ok, why, want)
	}
}

var query = Query{Route: "model", Tokens: 500}

func TestReasons(t *testing.T) {
	now := epoch
	for _, tc := range []struct {
		name   string
		change func(r *Report)
		want   result.Code
	}{
		{"out", func(r *Report) { r.OutOfService = true }, result.OutOfService},
		{"leaving", func(r *Report) { r.Draining = true }, result.EndpointLeaving},
		{"cold and full", func(r *Report) { r.Cold, r.Allowance, r.Running = true, 1, 1 }, result.EndpointCold},
		{"busy", func(r *Report) { r.Running = 8 }, result.EndpointBusy},
		{"other route", func(r *Report) { r.Routes = []string{"other"} }, result.NoEndpoint},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := &Balancer{DataCentre: "dc0"}
			r := idleReport(0, now)
			tc.change(&r)
			b.Update(r, now)
			assertNoChoice(t, b, query, now, tc.want)
		})
	}
	b := newBalancer(2, now)
	assertNoChoice(t, b, Query{Route: "model", Excluded: []string{name(0), name(1)}}, now, result.NoEndpoint)
	b.SetOutOfService([]string{name(0)}, []string{"dc1"}, now)
	assertNoChoice(t, b, query, now, result.OutOfService)
	b.Update(idleReport(1, now.Add(time.Second)), now.Add(time.Second))
	assertNoChoice(t, b, query, now, result.OutOfService)
}

// loadReference is a simple model of the load history: it keeps all changes of
// the own load and searches them for the load at the time of a report.
type loadReference struct {
	at  []time.Time
	own []int
}

func (ref *loadReference) otherStreams(r Report) int {
	own := 0
	for i, at := range ref.at {
		if !at.After(r.ValidAt) {
			own = ref.own[i]
		}
	}
	return max(0, r.Running-own)
}

// If own attempts are counted twice, or not at all, while reports lag, an
// endpoint looks full or idle when it is not.
func TestOwnLoadIsCombinedWithLaggingReports(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	b := &Balancer{DataCentre: "dc0"}
	b.Update(idleReport(0, epoch), epoch)
	ref := &loadReference{}
	var open []*Attempt
	now, last := epoch, epoch
	for range 3000 {
		now = now.Add(time.Duration(1+rng.IntN(50)) * time.Millisecond)
		switch x := rng.IntN(10); {
		case x < 5 && len(open) < 20:
			open = append(open, b.Start(Choice{Endpoint: name(0)}, query, now))
		case x < 9 && len(open) > 0:
			i := rng.IntN(len(open))
			b.End(open[i], now)
			open = append(open[:i], open[i+1:]...)
		default:
			at := now.Add(-time.Duration(rng.IntN(500)) * time.Millisecond)
			if at.Before(last) {
				at = last
			}
			last = at
			r := idleReport(0, at)
			r.Running = 20 + rng.IntN(10)
			b.Update(r, now)
			want := float64(ref.otherStreams(r) + len(open))
			if got, _ := b.Load(name(0), now); got != want {
				t.Fatalf("load is %v, want %v", got, want)
			}
			continue
		}
		ref.at = append(ref.at, now)
		ref.own = append(ref.own, len(open))
	}
}

// An endpoint whose reports have stopped, or carry no time, must not be taken
// for idle and be flooded with requests.
func TestUnknownLoadIsNotZero(t *testing.T) {
	for _, at := range []time.Time{{}, epoch.Add(-time.Minute)} {
		b := newBalancer(12, epoch)
		r := idleReport(3, at)
		r.Incarnation = 2
		b.Update(r, epoch.Add(-time.Minute))
		got := startRequests(t, b, query, 60, epoch)
		if got[name(3)] > 1 {
			t.Errorf("%d of 60 requests went to an endpoint whose load is unknown", got[name(3)])
		}
	}
}

// Nine entries see the free slots of a cold endpoint in the same report. If each
// of them used all of the slots, the endpoint would get up to nine times what it
// can run, and a cold endpoint crashes under that.
func TestColdEndpointGetsItsAllowanceAtMost(t *testing.T) {
	for _, allowance := range []int{0, 1, 4, 30} {
		total := 0
		for entry := range 9 {
			b := newBalancer(3, epoch)
			b.Entries, b.Seed = 9, uint64(entry)
			r := idleReport(0, epoch)
			r.Cold, r.Allowance = true, allowance
			b.Update(r, epoch)
			for range 40 {
				if c, ok, _ := b.Choose(query, epoch); ok {
					b.Start(c, query, epoch)
				}
			}
			n, _ := b.Load(name(0), epoch)
			total += int(n)
			if int(n) > allowance {
				t.Errorf("one entry placed %v requests on a cold endpoint with an allowance of %d", n, allowance)
			}
		}
		// Each entry rounds its share up, so that the excess is less than one
		// request per entry. The agent refuses the excess.
		if total >= allowance+9 {
			t.Errorf("nine entries placed %d requests on a cold endpoint with an allowance of %d", total, allowance)
		}
	}
}

// The endpoints of a data centre that comes back look idle, so that without
// slow start all entries would send it all requests at once.
func TestSlowStartOfReturningDataCentre(t *testing.T) {
	b := newBalancer(12, epoch)
	b.SetOutOfService(nil, []string{"dc1"}, epoch)
	startRequests(t, b, query, 30, epoch)
	b.SetOutOfService(nil, nil, epoch)
	assertReturnedShare(t, b, 100*time.Millisecond, 0, 4)
	assertReturnedShare(t, b, 4*time.Second, 6, 20)
}

// assertReturnedShare places 24 requests and checks how many of them go to the
// data centre that has come back.
func assertReturnedShare(t *testing.T, b *Balancer, after time.Duration, least, most int) {
	t.Helper()
	now := epoch.Add(after)
	got := startRequests(t, b, query, 24, now)
	returned := 0
	for i := 1; i < 12; i += 3 {
		returned += got[name(i)]
	}
	if returned < least || returned > most {
		t.Errorf("%v after the return %d of 24 requests went to the data centre, want %d to %d", after, returned, least, most)
	}
}

func TestPrefixKeepsItsEndpointWithinBound(t *testing.T) {
	b := newBalancer(12, epoch)
	chosen := make(map[uint64]string)
	for prefix := uint64(1); prefix <= 20; prefix++ {
		c := mustChoose(t, b, Query{Route: "model", Prefix: prefix}, epoch)
		chosen[prefix] = c.Endpoint
	}
	for prefix, want := range chosen {
		if c := mustChoose(t, b, Query{Route: "model", Prefix: prefix}, epoch); c.Endpoint != want || !c.ByAffinity {
			t.Errorf("prefix %d went to %v, want %s", prefix, c, want)
		}
	}
	counts := startRequests(t, b, Query{Route: "model", Tokens: 500, Prefix: 1}, 24, epoch)
	if most := counts[chosen[1]]; most < 2 || most > 6 {
		t.Errorf("the endpoint of a popular prefix got %d of 24 requests, want 2 to 6", most)
	}
}

func TestLocalDataCentreIsPreferred(t *testing.T) {
	b := newBalancer(12, epoch)
	b.RemotePenalty = DefaultRemotePenalty
	got := startRequests(t, b, query, 30, epoch)
	local := got[name(0)] + got[name(3)] + got[name(6)] + got[name(9)]
	if local < 12 || local > 24 {
		t.Errorf("%d of 30 requests went to the local data centre, want 12 to 24", local)
	}
}

// Sampling must not distribute requests much less evenly than a full scan.
func TestSamplingIsCloseToFullScan(t *testing.T) {
	b := newBalancer(90, epoch)
	got := startRequests(t, b, query, 360, epoch)
	maxCount := 0
	for _, n := range got {
		maxCount = max(maxCount, n)
	}
	if maxCount > 6 {
		t.Errorf("the most loaded of 90 endpoints got %d of 360 requests, want at most 6; a full scan gives 4", maxCount)
	}
}

// Outdated reports show a free slot on a full endpoint. An entry must not try
// it again and again.
func TestRefusalPausesUntilNewerReport(t *testing.T) {
	b := newBalancer(1, epoch)
	b.Refuse(b.Start(mustChoose(t, b, query, epoch), query, epoch), 0, epoch)
	assertNoChoice(t, b, query, epoch, result.EndpointBusy)
	b.Update(idleReport(0, epoch), epoch.Add(5*time.Millisecond))
	assertNoChoice(t, b, query, epoch.Add(5*time.Millisecond), result.EndpointBusy)
	mustChoose(t, b, query, epoch.Add(minBackoff))
	later := epoch.Add(10 * time.Millisecond)
	b.Update(idleReport(0, later), later)
	mustChoose(t, b, query, later)
}

func TestOlderIncarnationIsIgnored(t *testing.T) {
	b := newBalancer(1, epoch)
	r := idleReport(0, epoch)
	r.Incarnation = 3
	b.Update(r, epoch)
	r.Incarnation, r.Draining, r.ValidAt = 2, true, epoch.Add(time.Hour)
	if b.Update(r, epoch) {
		t.Error("a report of an older incarnation was accepted")
	}
	mustChoose(t, b, query, epoch)
}

func TestSubset(t *testing.T) {
	var all []string
	for i := range 630 {
		all = append(all, name(i))
	}
	subsetsPerEndpoint := make(map[string]int)
	for entry := range 35 {
		entryName := fmt.Sprint("entry", entry)
		s := Subset(entryName, all, 90)
		for _, n := range s {
			subsetsPerEndpoint[n]++
		}
		afterRemoval := make(map[string]bool)
		for _, n := range Subset(entryName, all[1:], 90) {
			afterRemoval[n] = true
		}
		kept := 0
		for _, n := range s {
			if afterRemoval[n] {
				kept++
			}
		}
		if len(s) != 90 || kept < 89 {
			t.Fatalf("%s: got %d endpoints, %d of them kept when one leaves; want 90 and at least 89", entryName, len(s), kept)
		}
	}
	for _, n := range all {
		if subsetsPerEndpoint[n] > 14 {
			t.Errorf("%s is in the subsets of %d of 35 entries, want at most 14", n, subsetsPerEndpoint[n])
		}
	}
}

func ExampleBalancer() {
	now := epoch
	b := &Balancer{DataCentre: "dc0"}
	b.Update(Report{
		Endpoint: "endpoint1", Incarnation: 1, DataCentre: "dc0", Routes: []string{"model"},
		Allowance: 1, Capacity: 8, ValidAt: now,
	}, now)
	q := Query{Route: "model", Tokens: 300}
	c, ok, _ := b.Choose(q, now)
	fmt.Println(c.Endpoint, ok)
	a := b.Start(c, q, now)
	_, ok, why := b.Choose(q, now)
	fmt.Println(ok, why)
	b.End(a, now.Add(time.Second))
	// Output:
	// endpoint1 true
	// false endpointBusy
}

// referenceAllows reports whether an endpoint may be selected at all, judged
// only by its last report, the set of endpoints and data centres that are
// configured as out of service, and the endpoints that the query excludes.
func referenceAllows(r Report, out map[string]bool, q Query) bool {
	for _, excluded := range q.Excluded {
		if excluded == r.Endpoint {
			return false
		}
	}
	return !r.OutOfService && !r.Draining && !out[r.Endpoint] && !out[r.DataCentre]
}

// For any sequence of reports, changes of the configuration and attempts, no
// attempt may be placed on an endpoint that is draining, out of service or excluded.
func TestEachChoiceIsAllowed(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 1))
	b := &Balancer{DataCentre: "dc0"}
	last := make(map[string]Report)
	out := make(map[string]bool)
	var open []*Attempt
	now := epoch
	for range 20000 {
		now = now.Add(time.Duration(rng.IntN(40)) * time.Millisecond)
		switch x := rng.IntN(20); {
		case x < 6:
			r := idleReport(rng.IntN(12), now)
			r.Incarnation += uint64(rng.IntN(2))
			r.Cold, r.Draining, r.OutOfService = rng.IntN(4) == 0, rng.IntN(6) == 0, rng.IntN(6) == 0
			r.Running, r.Allowance = rng.IntN(9), rng.IntN(9)
			if b.Update(r, now) {
				last[r.Endpoint] = r
			}
		case x == 6:
			out = map[string]bool{name(rng.IntN(12)): true, fmt.Sprint("dc", rng.IntN(4)): true}
			var names []string
			for n := range out {
				names = append(names, n)
			}
			b.SetOutOfService(names, names, now)
		case x < 9 && len(open) > 0:
			i := rng.IntN(len(open))
			[]func(){
				func() { b.End(open[i], now) },
				func() { b.Fail(open[i], now) },
				func() { b.Refuse(open[i], 0, now) },
			}[rng.IntN(3)]()
			open = append(open[:i], open[i+1:]...)
		default:
			q := Query{Route: "model", Prefix: uint64(rng.IntN(3)), Excluded: []string{name(rng.IntN(12))}}
			c, ok, _ := b.Choose(q, now)
			if !ok {
				continue
			}
			if !referenceAllows(last[c.Endpoint], out, q) {
				t.Fatalf("chose %v, last report %+v, out %v, excluded %v", c, last[c.Endpoint], out, q.Excluded)
			}
			open = append(open, b.Start(c, q, now))
		}
	}
}

// All endpoints have just broken off a response, and one is down. Guards against refusing all requests
// while the others would answer them, and against trying the one that is down.
func TestEndpointsThatRespondAreUsedAlthoughAllAreEjected(t *testing.T) {
	b := &Balancer{Entries: 1}
	now := time.Unix(1000, 0)
	for _, name := range []string{"a", "b", "down"} {
		b.Update(Report{Endpoint: name, Incarnation: 1, Routes: []string{"r"}, Allowance: 4, Capacity: 4, ValidAt: now}, now)
	}
	for _, name := range []string{"a", "b", "down"} {
		others := slices.DeleteFunc([]string{"a", "b", "down"}, func(s string) bool { return s == name })
		c, ok, _ := b.Choose(Query{Route: "r", Excluded: others}, now)
		if !ok || c.Endpoint != name {
			t.Fatalf("%+v, %v", c, ok)
		}
		a := b.Start(c, Query{Route: "r"}, now)
		if name != "down" {
			b.Progress(a, now)
		}
		b.Fail(a, now)
	}
	for range 20 {
		if c, ok, why := b.Choose(Query{Route: "r"}, now); !ok || c.Endpoint == "down" {
			t.Fatalf("%+v, %v, %v", c, ok, why)
		}
	}
	if _, ok, _ := b.Choose(Query{Route: "r", Excluded: []string{"a", "b"}}, now); ok {
		t.Error("the endpoint that is down was selected")
	}
}
