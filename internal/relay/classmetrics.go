package relay

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/hyssoprelay/hyssoprelay/internal/routing"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

const (
	// maxAccountMetrics bounds the accounts with metrics of their own. There may be thousands of
	// accounts, and an overload is mostly due to a few.
	maxAccountMetrics = 10
	// metricsInterval is how often metrics that need a look at the whole state are updated. Collectors
	// read metrics at most about once a second.
	metricsInterval = time.Second
)

// serviceClass is one priority class of the requests for a service.
type serviceClass struct {
	service string
	class   routing.Class
}

// classCounters counts requests of one class. There are at most ten classes of each service.
type classCounters struct {
	// started counts requests that were assigned to an endpoint, refused those that ended as not
	// run, and displaced those of them that lost their place in the queue. late counts answers whose
	// first part missed its target or that paused for longer than the route allows.
	started, refused, displaced, late metrics.Counter
}

// classMetrics holds the counters of all classes that have had requests.
type classMetrics struct {
	mu      sync.Mutex // guards byClass
	byClass map[serviceClass]*classCounters
	// waiting returns the number of waiting requests of a class.
	waiting func(serviceClass) int64
}

// classOf returns the counters of a class.
func (m *Metrics) classOf(c serviceClass) *classCounters {
	m.classes.mu.Lock()
	defer m.classes.mu.Unlock()
	if counters := m.classes.byClass[c]; counters != nil {
		return counters
	}
	prefix := "relay.class." + c.service + "." + strconv.Itoa(int(c.class)) + "."
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(prefix+name, m.registry) }
	counters := &classCounters{started: counter("started"), refused: counter("refused"), displaced: counter("displaced"), late: counter("late")}
	if waiting := m.classes.waiting; waiting != nil {
		metrics.NewRegisteredFunctionalGauge(prefix+"waiting", m.registry, func() int64 { return waiting(c) })
	}
	if m.classes.byClass == nil {
		m.classes.byClass = map[serviceClass]*classCounters{}
	}
	m.classes.byClass[c] = counters
	return counters
}

// registerClassGauges registers the gauges about waiting requests and other entries' reports.
func (m *Metrics) registerClassGauges(st *State, now func() time.Time) {
	m.classes.waiting = st.waitingOfClass
	accounts := func() int64 { return int64(len(st.mostWaiting(maxWaiting))) }
	metrics.NewRegisteredFunctionalGauge("relay.accounts.waiting", m.registry, accounts)
	age := func(name string, of func(ages []time.Duration) int64) {
		metrics.NewRegisteredFunctionalGauge("relay.reports."+name, m.registry, func() int64 { return of(st.reportAges(now())) })
	}
	age("oldest", func(ages []time.Duration) int64 {
		if len(ages) == 0 {
			return 0
		}
		return ages[len(ages)-1].Milliseconds()
	})
	age("median", func(ages []time.Duration) int64 {
		if len(ages) == 0 {
			return 0
		}
		return ages[len(ages)/2].Milliseconds()
	})
	age("ignored", func(ages []time.Duration) int64 {
		first, _ := slices.BinarySearch(ages, maxEntryLoadAge)
		return int64(len(ages) - first)
	})
}

// waitingOfClass returns the number of waiting requests of a class, late ones included.
func (st *State) waitingOfClass(c serviceClass) int64 {
	st.mu.Lock()
	defer st.mu.Unlock()
	n := int64(0)
	for _, w := range st.waiters {
		if w.queued && w.req.Service.Name == c.service && w.req.Class == c.class {
			n++
		}
	}
	return n
}

// reportAges returns the ages of the other entries' newest reports, in ascending order.
func (st *State) reportAges(now time.Time) []time.Duration {
	st.mu.Lock()
	defer st.mu.Unlock()
	ages := make([]time.Duration, 0, len(st.entryLoads))
	for _, l := range st.entryLoads {
		ages = append(ages, now.Sub(l.At))
	}
	slices.Sort(ages)
	return ages
}

// accountWaiting is the number of waiting requests of an account.
type accountWaiting struct {
	account string
	waiting int64
}

// mostWaiting returns the accounts with the most waiting requests, n at most.
func (st *State) mostWaiting(n int) []accountWaiting {
	st.mu.Lock()
	byAccount := map[string]int64{}
	for _, w := range st.waiters {
		if w.queued {
			byAccount[w.req.Account]++
		}
	}
	st.mu.Unlock()
	out := make([]accountWaiting, 0, len(byAccount))
	for account, waiting := range byAccount {
		out = append(out, accountWaiting{account, waiting})
	}
	slices.SortFunc(out, func(a, b accountWaiting) int {
		return cmp.Or(cmp.Compare(b.waiting, a.waiting), cmp.Compare(a.account, b.account))
	})
	return out[:min(n, len(out))]
}

// UpdateMetrics keeps the metrics of the accounts with the most waiting requests, and those of batch
// limits, up to date until ctx is done.
func (r *Relay) UpdateMetrics(ctx context.Context) error {
	t := time.NewTicker(metricsInterval)
	defer t.Stop()
	var shown []accountWaiting
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			shown = r.Metrics.showAccounts(shown, r.State.mostWaiting(maxAccountMetrics))
			r.Metrics.updateBatchGauges(r.State.BatchStates(r.Now()))
		}
	}
}

// showAccounts replaces the metrics of the accounts shown before by those of others, and returns the
// latter.
func (m *Metrics) showAccounts(before, now []accountWaiting) []accountWaiting {
	name := func(a accountWaiting) string { return "relay.accounts.waiting." + a.account }
	for _, a := range before {
		if !slices.ContainsFunc(now, func(b accountWaiting) bool { return a.account == b.account }) {
			m.registry.Unregister(name(a))
		}
	}
	for _, a := range now {
		metrics.GetOrRegisterGauge(name(a), m.registry).Update(a.waiting)
	}
	return now
}

// serviceClass returns the class of the request. Its service must be known.
func (j *job) serviceClass() serviceClass { return serviceClass{j.service.Name, j.class()} }

// countStarted counts a request when it is assigned to its first endpoint.
func (j *job) countStarted() {
	if len(j.tried) == 1 {
		j.relay.Metrics.classOf(j.serviceClass()).started.Inc(1)
	}
}

// countEnd counts a request by its class when it ends.
func (j *job) countEnd(code result.Code) {
	c := j.relay.Metrics.classOf(j.serviceClass())
	if code.Effect() == result.NotRun {
		c.refused.Inc(1)
	}
	if code == result.Displaced {
		c.displaced.Inc(1)
	}
	if j.isLate() {
		c.late.Inc(1)
	}
}

// isLate reports whether the answer has missed the latency target of its first part, or has paused
// for longer than the route allows.
func (j *job) isLate() bool {
	if j.firstPartAt.IsZero() {
		return false
	}
	return j.firstPartAt.After(j.firstPartDeadline()) || j.route.MaxGap > 0 && j.longestPause > j.route.MaxGap
}
