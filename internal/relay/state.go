package relay

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/caller/admission"
	"github.com/hyssoprelay/hyssoprelay/internal/directory"
	"github.com/hyssoprelay/hyssoprelay/internal/drain"
	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/placement"
	"github.com/hyssoprelay/hyssoprelay/internal/holdback"
	"github.com/hyssoprelay/hyssoprelay/internal/quarantine"
	"github.com/hyssoprelay/hyssoprelay/internal/routing"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

const (
	// retentionAfterOutage is how long, after the store comes back, endpoints are kept whose store
	// entries vanished while it was unavailable. Running endpoints write their store entries again
	// within about two seconds.
	retentionAfterOutage = 2 * time.Second
	// defaultSlots is the number of slots of an endpoint that reports none.
	defaultSlots = 4
	// reportInterval is how often the balancer gets a new report of endpoints without load reports.
	// It is well below the age at which the balancer treats a load as unknown.
	reportInterval = time.Second
	// maxLoadAge is the age from which a load report is no better than this entry's own count: half
	// of the requests that ran then have ended.
	maxLoadAge = 1500 * time.Millisecond
	// maxEntryLoadAge is the age from which another entry's report of its work is ignored. Entries
	// report at least once a second.
	maxEntryLoadAge = 2500 * time.Millisecond
	// failureThreshold is the number of reported failures in a row after which an endpoint gets no
	// requests for a while.
	failureThreshold = 2
	// extraQueue is how many requests an endpoint of a service without engines may be sent beyond
	// its slots. A request there takes a fifth of the latency target, so a short queue ends in time
	// and keeps the endpoint busy.
	extraQueue = 4
)

// RetryBudget is the retry budget of the whole fleet.
type RetryBudget struct {
	// Share is the fraction of requests that may be retried. Slack is the number of further retries
	// allowed in each Window.
	Share, Slack float64
	Window       time.Duration
}

// EndpointLoad is one endpoint's load as reported by a process beside it.
type EndpointLoad struct {
	// Address is the endpoint's IP:port.
	Address         string
	Running, Queued int
	// Slowdown is the slowdown factor of the endpoint relative to its usual speed; zero means
	// unknown.
	Slowdown float64
	// Closed means that the endpoint's group accepts no requests, and Forming that the group is
	// about to accept them.
	Closed, Forming bool
	// Stood is for how long the endpoint's group has stood still; zero means that it goes on.
	Stood time.Duration
	// Group identifies the group of engines that work in lockstep; zero means unknown.
	Group uint64
	// At is when the load was measured, by this process's clock.
	At time.Time
}

// EntryLoad is what another entry reports of its requests at endpoints.
type EntryLoad struct {
	// Entry is the entry's name. Incarnation and Sequence order its messages. Incarnation is the time of
	// the process's start by the VM's clock, in nanoseconds, and Sequence the number of microseconds from
	// then to the reading of the sender's fleetClock.
	Entry                 string
	Incarnation, Sequence uint64
	// Running holds the number of running requests by endpoint ID.
	Running map[string]int
	// WaitingByClass holds the number of waiting requests that can meet their target, by service and
	// then by class.
	WaitingByClass map[string][]int
	// Demand holds the requests per second by service, for services whose endpoints accept a limited
	// rate.
	Demand map[string]float64
	// At is when the message arrived.
	At time.Time
}

// State is an entry's view of the configuration, the endpoints and their load, and its queue of
// waiting requests. Set the exported fields, then call Init before any other method. It is safe
// for concurrent use.
type State struct {
	DataCentre string
	// Name is the entry's own name.
	Name string
	Seed uint64
	// Freshness tracks how old the known configuration and keys are.
	Freshness *Freshness
	// OnChange, if set, is called when this entry's own work or a limit reported to it changes,
	// with an internal lock held. It must not block and must not call methods of the State.
	OnChange func()
	// OnPartChange, if set, is called when what is held against a part of prompts changes, with the
	// entry that reported it, or "" if this entry observed it. The same restrictions apply.
	OnPartChange func(c quarantine.Change, from string, now time.Time)
	// OnRequestChange is OnPartChange for what is held against whole requests.
	OnRequestChange func(c quarantine.Change, from string, now time.Time)

	mu           sync.Mutex // guards the fields below
	retry        RetryBudget
	table        *routing.Table
	dir          directory.Directory
	balancer     placement.Balancer
	coldShares   RateShares
	limitShares  RateShares
	retryBudgets map[string]*admission.RetryBudget
	entries      map[string]time.Time // when the entry was delisted; zero while listed
	endpoints    map[string]directory.Endpoint
	addresses    map[string]directory.Endpoint
	loads        map[string]EndpointLoad
	entryLoads   map[string]EntryLoad
	// othersRunning is the sum of the running requests in entryLoads, by endpoint.
	othersRunning map[string]int
	queue         admission.Controller
	waiters       map[string]*waiter
	// dispatchedAt is when waiting requests were last dispatched, and nextShareAt when one that found
	// no share of an endpoint's rate then may find one, or zero.
	dispatchedAt, nextShareAt time.Time
	// maxGaps is the smallest MaxGap of the routes to a service, by service.
	maxGaps map[string]time.Duration
	// longestTimeLeft is the most time that a caller has had left, by route.
	longestTimeLeft map[string]time.Duration
	quotas          quotas
	clock           fleetClock
	// failures counts the consecutive failures that each endpoint reported.
	failures map[string]int
	limits   limits
	rests    rests
	refusing refusalStreaks
	outages  outages
	// parts holds what is known against parts of prompts, and requests what is known against requests
	// by their fingerprint.
	parts, requests quarantine.Table
	latencies       answerLatencies
	batchLimits     batchLimits
	// holds holds the operators' orders that hold requests back. holdsInForce is what follows from
	// them; it is read without mu.
	holds        holdback.Table
	holdsInForce atomic.Pointer[holdback.InForce]
	// lastProbe is when a request was last sent to probe whether a service's group is open, and
	// lastStandProbe when one was to probe whether it goes on.
	lastProbe, lastStandProbe probeTimes
	// arrivals measures the rate of new requests by service. lateRunning counts the running
	// requests that were late when they were assigned.
	arrivals    map[string]*arrivalRate
	demands     demands
	lateRunning map[string]int
	// closedRefusals counts the requests refused because groups are closed, by service.
	closedRefusals map[string]*closedRefusals
	// movable holds the running attempts that may be moved, by endpoint. attemptSeq is the number
	// of the last one.
	movable         map[string]map[*movableAttempt]bool
	attemptSeq      uint64
	silences        silences
	stands          stands
	ownRunning      map[string]int
	refreshedAt     time.Time
	dirty           bool
	endpointsListed bool
	// ready is closed when a configuration and the endpoints are known.
	ready     chan struct{}
	startedAt time.Time
	// stop is the schedule of the process's stop, or nil while it runs.
	stop *drain.Schedule
}

// Init initialises st. The time now counts as the start of the process.
func (st *State) Init(now time.Time) {
	st.dir.RetentionAfterOutage = retentionAfterOutage
	st.dir.ColdStart = st.coldStart
	st.balancer = placement.Balancer{DataCentre: st.DataCentre, Seed: st.Seed, Entries: 1}
	st.retryBudgets = map[string]*admission.RetryBudget{}
	st.entries = map[string]time.Time{}
	st.endpoints = map[string]directory.Endpoint{}
	st.loads = map[string]EndpointLoad{}
	st.entryLoads = map[string]EntryLoad{}
	st.othersRunning = map[string]int{}
	st.waiters = map[string]*waiter{}
	st.longestTimeLeft = map[string]time.Duration{}
	st.queue.MaxWaiting = maxWaiting
	st.ownRunning = map[string]int{}
	st.failures = map[string]int{}
	st.lastProbe, st.lastStandProbe = probeTimes{}, probeTimes{}
	st.arrivals = map[string]*arrivalRate{}
	st.lateRunning = map[string]int{}
	st.closedRefusals = map[string]*closedRefusals{}
	st.ready = make(chan struct{})
	st.coldShares.Name, st.limitShares.Name = st.Name, st.Name
	st.requests.Rules = quarantine.RequestRules{}
	st.startedAt = now
}

// SetRetry sets the fleet's retry budget, of which this entry uses its share.
func (st *State) SetRetry(r RetryBudget) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.retry = r
}

// coldStart returns how long a starting endpoint of a service is cold. The directory calls it with
// mu held.
func (st *State) coldStart(service string) time.Duration {
	if st.table == nil {
		return 0
	}
	s := st.table.Service(service)
	if s == nil || s.ColdRate <= 0 {
		return 0
	}
	return s.ColdStart
}

// Table returns the current configuration, or nil if there is none yet.
func (st *State) Table() *routing.Table {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.table
}

// SetTable replaces the configuration and reports whether t is newer than the current one. It
// ignores any other table: a repeated or delayed answer of the store must not bring back routes and
// keys that operators have removed. Versions only increase.
func (st *State) SetTable(t *routing.Table, now time.Time) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.table != nil && t.Version() <= st.table.Version() {
		return false
	}
	st.table = t
	st.signalReady()
	st.dirty = true
	st.maxGaps = t.MaxGaps()
	st.configureBatchLimits()
	if err := st.queue.Configure(accountLimits(t), now); err != nil {
		// Only the account names are configured, and they are distinct.
		panic(err)
	}
	st.queue.ConfigureRoutes(queueRoutes(t))
	return true
}

// accountLimits returns limits that name all accounts, and the one of requests without an account,
// but bound none of them.
func accountLimits(t *routing.Table) []admission.Limits {
	limits := []admission.Limits{{Account: anonymousAccount}}
	for _, name := range t.Accounts() {
		limits = append(limits, admission.Limits{Account: name})
	}
	return limits
}

// anonymousAccount is the account of requests without one. Account names contain no space, so it
// can't clash.
const anonymousAccount = "no account"

// UpdateDirectory calls f with the directory. f must not call methods of st.
func (st *State) UpdateDirectory(f func(*directory.Directory)) {
	st.mu.Lock()
	defer st.mu.Unlock()
	f(&st.dir)
	st.dirty = true
}

// MaxTimeLeft records the time that a caller of the route has left and returns the largest value
// recorded for the route.
func (st *State) MaxTimeLeft(route string, left time.Duration) time.Duration {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.longestTimeLeft[route] = max(st.longestTimeLeft[route], left)
	return st.longestTimeLeft[route]
}

// WaitingServices returns the services with waiting requests that can meet their target, in
// unspecified order.
func (st *State) WaitingServices() []string {
	st.mu.Lock()
	defer st.mu.Unlock()
	return slices.Collect(maps.Keys(st.waitingOnTime()))
}

// OwnRunning returns the number of this entry's running requests by endpoint ID.
func (st *State) OwnRunning() map[string]int {
	st.mu.Lock()
	defer st.mu.Unlock()
	return maps.Clone(st.ownRunning)
}

// SetCold records how long an endpoint reports that it will stay cold.
func (st *State) SetCold(id string, cold time.Duration, now time.Time) {
	st.UpdateDirectory(func(d *directory.Directory) { d.ExtendColdStart(id, cold, now) })
}

// RecordLeaving records that an endpoint said in its answer to an attempt that it is leaving.
func (st *State) RecordLeaving(assigned Assignment, now time.Time) {
	ep := assigned.Endpoint
	st.UpdateDirectory(func(d *directory.Directory) { d.MarkLeaving(ep.ID, ep.StartMillis, now) })
}

// Misdirected records that another endpoint answered at the address of an assigned one.
func (st *State) Misdirected(assigned Assignment) {
	st.UpdateDirectory(func(d *directory.Directory) { d.MarkMisdirected(assigned.Endpoint.ID, assigned.Endpoint.StartMillis) })
}

// Endpoints returns the number of endpoints that may be sent new requests.
func (st *State) Endpoints(now time.Time) int {
	st.mu.Lock()
	defer st.mu.Unlock()
	return len(st.dir.Endpoints(now))
}

// LoadAge returns the age of the most recent load report, or zero if there is none.
func (st *State) LoadAge(now time.Time) time.Duration {
	st.mu.Lock()
	defer st.mu.Unlock()
	var newest time.Time
	for _, l := range st.loads {
		if l.At.After(newest) {
			newest = l.At
		}
	}
	if newest.IsZero() {
		return 0
	}
	return now.Sub(newest)
}

// Refusal returns the refusal of a request for a service, with a Retry-After time. The code gives
// the reason, unless all endpoints of the service rest.
func (st *State) Refusal(service *routing.Service, code result.Code, now time.Time) *result.Error {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.refresh(now)
	if left := st.restLeft(service, now); left > 0 {
		return restRefusal(left)
	}
	return st.refusal(service.Name, code, now)
}

// refusal returns a refusal with a Retry-After time. mu must be held.
func (st *State) refusal(service string, code result.Code, now time.Time) *result.Error {
	return result.New(code, "").WithRetryAfter(st.outages.retryAfter(service, retryAfterFor(code), now))
}
