package relay

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/placement"
	"github.com/hyssoprelay/hyssoprelay/internal/routing"
)

// benchSizes are numbers of engines of a service, as in existing deployments and beyond.
var benchSizes = []int{12, 64, 129, 512}

// benchState returns the state of an entry in a fleet of 36 with n engines.
func benchState(n int) (*State, *routing.Service) {
	e := testEngine()
	e.Experts.Sets = 12
	st := newState("entry0", &routing.Service{Name: "quotes", Engine: e})
	listEndpoints(st, n, "quotes")
	for i := range 36 {
		st.SetEntry(fmt.Sprint("entry", i), true, start)
	}
	return st, st.Table().Service("quotes")
}

// newLoads returns the leaders' load reports for n engines.
func newLoads(n int, now time.Time) []EndpointLoad {
	loads := make([]EndpointLoad, 0, n)
	for i := range n {
		loads = append(loads, EndpointLoad{Address: fmt.Sprintf("10.0.0.%d:1", i), Running: i % 5, Slowdown: 1, At: now})
	}
	return loads
}

// BenchmarkAdmit measures all decisions for one request: its admission, the first part of its
// answer and its end.
func BenchmarkAdmit(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint("engines=", n), func(b *testing.B) {
			st, s := benchState(n)
			now := start
			clock := func() time.Time { return now }
			st.SetLoads(newLoads(n, now), now)
			b.ReportAllocs()
			for i := range b.N {
				now = now.Add(time.Millisecond)
				assigned, e := st.Admit(context.Background(), AdmitRequest{
					Service: s, ID: fmt.Sprint(i), Account: anonymousAccount, FirstPartDeadline: now.Add(400 * time.Millisecond),
					Deadline: now.Add(8 * time.Second), TargetLatency: 400 * time.Millisecond,
				}, clock)
				if e != nil {
					b.Fatal(e)
				}
				st.PartReceived(assigned, now)
				st.Release(assigned, Delivered{}, now)
			}
		})
	}
}

// BenchmarkSetLoads measures a leader's load report for all engines, which arrives ten times per
// second.
func BenchmarkSetLoads(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint("engines=", n), func(b *testing.B) {
			st, _ := benchState(n)
			now := start
			b.ReportAllocs()
			for range b.N {
				now = now.Add(time.Millisecond)
				b.StopTimer()
				loads := newLoads(n, now)
				b.StartTimer()
				st.SetLoads(loads, now)
			}
		})
	}
}

// BenchmarkChooseWarm measures the choice among endpoints that may become cold, none of which is, by
// the number of entries.
func BenchmarkChooseWarm(b *testing.B) {
	for _, entries := range []int{36, 670} {
		b.Run(fmt.Sprint("entries=", entries), func(b *testing.B) {
			s := &routing.Service{Name: "quotes", Engine: testEngine(), ColdRate: 12}
			st := newState("entry0", s)
			listEndpoints(st, 12, s.Name)
			for i := range entries {
				st.SetEntry(fmt.Sprint("entry", i), true, start)
			}
			now := start
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				assigned, e := st.Choose(s, placement.Query{}, now)
				if e != nil {
					b.Fatal(e)
				}
				st.Release(assigned, Delivered{}, now)
			}
		})
	}
}
