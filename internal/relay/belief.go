package relay

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/caller/admission"
	"github.com/hyssoprelay/hyssoprelay/internal/directory"
	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/placement"
	"github.com/hyssoprelay/hyssoprelay/internal/routing"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

const (
	// lapseHold is how long, after the store comes back, endpoints whose entries vanished while it
	// was away are kept. Running endpoints write their entries again within about two seconds.
	lapseHold = 2 * time.Second
	// startupHold is how long after its start the process holds requests that arrive before it
	// knows a configuration.
	startupHold = time.Second
	// defaultSlots is the number of slots of an endpoint that reports none.
	defaultSlots = 4
	// reportInterval is how often the selector gets a new report of endpoints without load reports.
	// It is well below the age at which the selector treats a load as unknown.
	reportInterval = time.Second
	// maxLoadAge is the age from which a load report is no better than this entry's own count: half
	// of the requests that ran then have ended.
	maxLoadAge = 1500 * time.Millisecond
	// maxWorkAge is the age from which another entry's report of its work is ignored. Entries
	// report at least once a second.
	maxWorkAge = 2500 * time.Millisecond
	// failureThreshold is the number of reported failures in a row after which an endpoint gets no
	// requests for a while.
	failureThreshold = 2
	// extraQueue is how many requests beyond its slots an endpoint of a service without engines may
	// be sent. A request there takes a fifth of the latency target, so a short queue ends in time
	// and keeps the endpoint busy.
	extraQueue = 4
)

// Budget is the retry budget of the whole fleet.
type Budget struct {
	// Share is the fraction of requests that may be retried. Slack is the number of further retries
	// allowed in each Window.
	Share, Slack float64
	Window       time.Duration
}

// Load is one endpoint's load as reported by a process beside it.
type Load struct {
	// Address is the endpoint's IP:port.
	Address         string
	Running, Queued int
	// Pace is the slowdown factor of the endpoint relative to its usual speed; zero means unknown.
	Pace float64
	// Closed means that the endpoint's group accepts no requests, and Forming that the group is
	// about to accept them.
	Closed, Forming bool
	// At is when the load was measured, by this process's clock.
	At time.Time
}

// Work is what another entry reports of its requests at endpoints.
type Work struct {
	// Entry is the entry's name. Born and Number order its messages.
	Entry        string
	Born, Number uint64
	// Running holds the number of running requests by endpoint ID.
	Running map[string]int
	// Waiting lists the services with waiting requests.
	Waiting []string
	// At is when the message arrived.
	At time.Time
}

// Belief is an entry's view of the configuration, the endpoints and their load, and its queue of
// waiting requests. Set the exported fields, then call Begin before any other method. It is safe
// for concurrent use.
type Belief struct {
	DataCentre string
	// Name is the entry's own name.
	Name string
	Seed uint64
	// Fresh tracks how old the known configuration and keys are.
	Fresh *Freshness
	// Changed, if set, is called when this entry's own work or a limit reported to it changes, with
	// an internal lock held. It must not block and must not call methods of the Belief.
	Changed func()

	mu           sync.Mutex // guards the fields below
	retry        Budget
	table        *routing.Table
	dir          directory.Directory
	selector     placement.Picture
	coldShares   Shares
	limitShares  Shares
	retryBudgets map[string]*admission.RetryBudget
	entries      map[string]time.Time // when the entry was delisted; zero while listed
	endpoints    map[string]directory.Endpoint
	addresses    map[string]directory.Endpoint
	loads        map[string]Load
	works        map[string]Work
	// othersRunning is the sum of the running requests in works, by endpoint.
	othersRunning   map[string]int
	queue           admission.Controller
	waiters         map[string]*waiter
	maxPauses       map[string]time.Duration
	longestTimeLeft map[string]time.Duration
	recentStarts    startHistory
	// failures counts the consecutive failures that each endpoint reported.
	failures  map[string]int
	limits    limits
	outages   outages
	latencies answerLatencies
	// lastProbe is when a request was last sent to probe whether a service's group is open.
	lastProbe map[string]time.Time
	// arrivals measures the rate of new requests by service. lateRunning counts the running
	// requests that were late when they were assigned.
	arrivals    map[string]*arrivalRate
	lateRunning map[string]int
	// movable holds the running attempts that may be moved, by endpoint. attemptSeq is the number
	// of the last one.
	movable         map[string]map[*movableAttempt]bool
	attemptSeq      uint64
	ownRunning      map[string]int
	refreshedAt     time.Time
	dirty           bool
	endpointsListed bool
	// ready is closed when a configuration and the endpoints are known.
	ready     chan struct{}
	startedAt time.Time
}

// Begin initialises b. The time now counts as the start of the process.
func (b *Belief) Begin(now time.Time) {
	b.dir.RetentionAfterOutage = lapseHold
	b.dir.ColdStart = b.coldStart
	b.selector = placement.Picture{DataCentre: b.DataCentre, Seed: b.Seed, Entries: 1}
	b.retryBudgets = map[string]*admission.RetryBudget{}
	b.entries = map[string]time.Time{}
	b.endpoints = map[string]directory.Endpoint{}
	b.loads = map[string]Load{}
	b.works = map[string]Work{}
	b.othersRunning = map[string]int{}
	b.waiters = map[string]*waiter{}
	b.longestTimeLeft = map[string]time.Duration{}
	b.queue.MaxWaiting = maxWaiting
	b.ownRunning = map[string]int{}
	b.failures = map[string]int{}
	b.lastProbe = map[string]time.Time{}
	b.arrivals = map[string]*arrivalRate{}
	b.lateRunning = map[string]int{}
	b.ready = make(chan struct{})
	b.coldShares.Name, b.limitShares.Name = b.Name, b.Name
	b.startedAt = now
}

// SetRetry sets the fleet's retry budget, of which this entry uses its share.
func (b *Belief) SetRetry(r Budget) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.retry = r
}

// coldStart returns how long a starting endpoint of a service is cold. The directory calls it with
// mu held.
func (b *Belief) coldStart(service string) time.Duration {
	if b.table == nil {
		return 0
	}
	s := b.table.Service(service)
	if s == nil || s.ColdRate <= 0 {
		return 0
	}
	return s.ColdStart
}

// Table returns the current configuration, or nil if there is none yet.
func (b *Belief) Table() *routing.Table {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.table
}

// SetTable replaces the configuration and reports whether t is newer than the current one. It
// ignores any other table: a repeated or delayed answer of the store must not bring back routes and
// keys that operators have removed. Versions only increase.
func (b *Belief) SetTable(t *routing.Table, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.table != nil && t.Version() <= b.table.Version() {
		return false
	}
	b.table = t
	b.signalReady()
	b.dirty = true
	b.maxPauses = t.Gaps()
	if err := b.queue.Configure(accountLimits(t), now); err != nil {
		// Only the account names are configured, and they are distinct.
		panic(err)
	}
	return true
}

// accountLimits returns the accounts and the one for requests without an account. None of them has
// limits.
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

// Change calls f with the directory. f must not call methods of b.
func (b *Belief) Change(f func(*directory.Directory)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f(&b.dir)
	b.dirty = true
}

// Listed records that all endpoints have been read once.
func (b *Belief) Listed() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.endpointsListed = true
	b.signalReady()
}

// signalReady closes ready once the configuration and the endpoints are known. mu must be held.
func (b *Belief) signalReady() {
	if b.table != nil && b.endpointsListed && !b.Known() {
		close(b.ready)
	}
}

// AwaitKnown waits until a configuration and the endpoints are known, or ctx ends, or startupHold
// has passed since the start of the process.
//
// When a whole fleet restarts, callers arrive a few tenths of a second before the store has
// delivered the configuration. If they were refused, most of them would have used up their last
// attempt. After startupHold requests are refused at once, as the store may be away for long.
func (b *Belief) AwaitKnown(ctx context.Context, now time.Time) {
	left := startupHold - now.Sub(b.startedAt)
	if left <= 0 {
		return
	}
	t := time.NewTimer(left)
	defer t.Stop()
	select {
	case <-b.ready:
	case <-t.C:
	case <-ctx.Done():
	}
}

// Known reports whether a configuration and the endpoints are known.
func (b *Belief) Known() bool {
	select {
	case <-b.ready:
		return true
	default:
		return false
	}
}

// LongestLeft records the time that a caller of the route has left and returns the largest value
// recorded for the route.
func (b *Belief) LongestLeft(route string, left time.Duration) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.longestTimeLeft[route] = max(b.longestTimeLeft[route], left)
	return b.longestTimeLeft[route]
}

// Waiting returns the services with waiting requests that can meet their target. Late requests
// claim no share of the slots.
func (b *Belief) Waiting() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []string
	if b.queue.Waiting() == 0 {
		return out
	}
	for _, w := range b.waiters {
		if w.queued && !w.late && !slices.Contains(out, w.ask.Service.Name) {
			out = append(out, w.ask.Service.Name)
		}
	}
	return out
}

// Own returns the number of this entry's running requests by endpoint ID.
func (b *Belief) Own() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.ownRunning)
}

// Turned records how long an endpoint reports that it will stay cold.
func (b *Belief) Turned(id string, cold time.Duration, now time.Time) {
	b.Change(func(d *directory.Directory) { d.ExtendColdStart(id, cold, now) })
}

// Misdirected records that another endpoint answered at the address of a place.
func (b *Belief) Misdirected(p Place) {
	b.Change(func(d *directory.Directory) { d.MarkMisdirected(p.Endpoint.ID, p.Endpoint.StartMillis) })
}

// Endpoints returns the number of endpoints that may be sent new requests.
func (b *Belief) Endpoints(now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.dir.Endpoints(now))
}

// LoadAge returns the age of the most recent load report, or zero if there is none.
func (b *Belief) LoadAge(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	var newest time.Time
	for _, l := range b.loads {
		if l.At.After(newest) {
			newest = l.At
		}
	}
	if newest.IsZero() {
		return 0
	}
	return now.Sub(newest)
}

// Refusal returns the refusal of a request for a service, with a retry time.
func (b *Belief) Refusal(service string, code result.Code, now time.Time) *result.Error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.refusal(service, code, now)
}

// refusal is Refusal with mu held.
func (b *Belief) refusal(service string, code result.Code, now time.Time) *result.Error {
	return result.New(code, "").WithRetryAfter(b.outages.retryAfter(service, retryAfterFor(code), now))
}
