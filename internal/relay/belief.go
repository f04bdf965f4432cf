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
	// lapseHold is how long entries of endpoints that vanished while the store
	// was away hold after its return: living endpoints write theirs again
	// within about two seconds.
	lapseHold = 2 * time.Second
	// startHold is how long after its start a process holds requests until it
	// knows a configuration.
	startHold = time.Second
	// plainSlots is what a plain service's endpoint bears if it doesn't say.
	plainSlots = 4
	// reportEvery is how often endpoints without load reports are told to the
	// picture anew, well within the age at which it takes a load for unknown.
	reportEvery = time.Second
	// loadStale is the age from which a load report is no better than this
	// entry's own count: by then half of what ran has ended.
	loadStale = 1500 * time.Millisecond
	// workStale is the age from which what another entry told of its work
	// counts no more. Entries tell of it at least once a second.
	workStale = 2500 * time.Millisecond
	// failuresInARow is from which reported failure on an endpoint is left
	// alone for a while.
	failuresInARow = 2
	// queueBeyond is how many requests beyond its slots a plain service's
	// endpoint is given. Its work takes a fifth of the target, so a short queue
	// there ends in time and keeps it busy.
	queueBeyond = 4
)

// Budget is the retry budget of the whole fleet.
type Budget struct {
	// Share of the requests may be sent once more, and Slack more in each
	// Window.
	Share, Slack float64
	Window       time.Duration
}

// Load is what is known of one endpoint's work, from a process beside it.
type Load struct {
	// Address is the endpoint's IP:port.
	Address         string
	Running, Queued int
	// Pace is how many times slower than usual the endpoint works; zero means
	// unknown.
	Pace float64
	// Closed says that the endpoint's group takes no requests, and Forming that
	// it is about to.
	Closed, Forming bool
	// At is when it was true, by this process's clock.
	At time.Time
}

// Work is what another entry has given to endpoints.
type Work struct {
	// Entry is the entry's name; Born and Number order its messages.
	Entry        string
	Born, Number uint64
	// Running holds the requests under way by endpoint id.
	Running map[string]int
	// Waiting names the services for which requests wait.
	Waiting []string
	// At is when the message came.
	At time.Time
}

// Belief is what an entry believes of configuration, endpoints and load. Set
// the exported fields before the first call. It is safe for concurrent use.
type Belief struct {
	DataCentre string
	// Name is the entry's own name.
	Name string
	Seed uint64
	// Fresh is the age of what the process knows.
	Fresh *Freshness
	// Changed, when set, is called when this entry's own work has changed. It
	// must not block.
	Changed func()

	mu        sync.Mutex // guards all below
	retry     Budget
	table     *routing.Table
	dir       directory.Directory
	picture   placement.Picture
	cold      Shares
	limited   Shares
	budgets   map[string]*admission.RetryBudget
	entries   map[string]time.Time // last seen; zero: listed now
	endpoints map[string]directory.Endpoint
	addresses map[string]directory.Endpoint
	loads     map[string]Load
	works     map[string]Work
	// given is what all of works together have given, by endpoint.
	given   map[string]int
	queue   admission.Controller
	waiters map[string]*waiter
	gaps    map[string]time.Duration
	longest map[string]time.Duration
	turns   turns
	// failures counts the failures in a row that an endpoint reported.
	failures map[string]int
	limits   limits
	outages  outages
	times    answerTimes
	// probed is when a request last found out whether the group of a service is
	// open.
	probed map[string]time.Time
	// arrivals measures the requests that come anew by service, and lateRunning
	// counts those under way that could not be on time any more.
	arrivals    map[string]*arrivals
	lateRunning map[string]int
	// movables holds the attempts that may be moved, by endpoint, and attempts
	// how many there were.
	movables map[string]map[*attemptRun]bool
	attempts uint64
	own      map[string]int
	fed      time.Time
	dirty    bool
	listed   bool
	// known is closed when a configuration and the endpoints are known.
	known chan struct{}
	began time.Time
}

// Begin prepares the belief.
func (b *Belief) Begin(now time.Time) {
	b.dir.LapseHold = lapseHold
	b.dir.ColdStart = b.coldStart
	b.picture = placement.Picture{DataCentre: b.DataCentre, Seed: b.Seed, Entries: 1}
	b.budgets = map[string]*admission.RetryBudget{}
	b.entries = map[string]time.Time{}
	b.endpoints = map[string]directory.Endpoint{}
	b.loads = map[string]Load{}
	b.works = map[string]Work{}
	b.given = map[string]int{}
	b.waiters = map[string]*waiter{}
	b.longest = map[string]time.Duration{}
	b.queue.MaxWaiting = mostWaiting
	b.own = map[string]int{}
	b.failures = map[string]int{}
	b.probed = map[string]time.Time{}
	b.arrivals = map[string]*arrivals{}
	b.lateRunning = map[string]int{}
	b.known = make(chan struct{})
	b.cold.Name, b.limited.Name = b.Name, b.Name
	b.began = now
}

// SetRetry sets the fleet's retry budget; this entry takes its share.
func (b *Belief) SetRetry(r Budget) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.retry = r
}

// coldStart runs with mu held, from the directory.
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

// Table returns the configuration in force, or nil before there is one.
func (b *Belief) Table() *routing.Table {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.table
}

// SetTable takes in a configuration. It returns false for one that is not
// newer.
//
// Guard: a repeated or overtaken answer of the store would put an older
// configuration back into force, with routes and keys that operators have taken
// away. Versions only grow, so the newer one stays.
func (b *Belief) SetTable(t *routing.Table, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.table != nil && t.Version() <= b.table.Version() {
		return false
	}
	b.table = t
	b.noteKnown()
	b.dirty = true
	b.gaps = t.Gaps()
	if err := b.queue.Configure(limitsOf(t), now); err != nil {
		// The names of accounts are all that is configured, and they differ.
		panic(err)
	}
	return true
}

// limitsOf lists the accounts, which have no limits of their own, and the one of
// requests without an account.
func limitsOf(t *routing.Table) []admission.Limits {
	limits := []admission.Limits{{Account: anonymous}}
	for _, name := range t.Accounts() {
		limits = append(limits, admission.Limits{Account: name})
	}
	return limits
}

// anonymous names the account of requests that have none. No account's name has
// a space in it.
const anonymous = "no account"

// Change changes the directory.
func (b *Belief) Change(f func(*directory.Directory)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f(&b.dir)
	b.dirty = true
}

// Listed notes that all endpoints have been read once.
func (b *Belief) Listed() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.listed = true
	b.noteKnown()
}

// noteKnown closes known once there is all that a request needs, with mu held.
func (b *Belief) noteKnown() {
	if b.table != nil && b.listed && !b.Known() {
		close(b.known)
	}
}

// AwaitKnown waits until a configuration and the endpoints are known, if the
// process has begun less than startHold ago, or until ctx ends.
//
// Load: all processes of a fleet start anew, and callers come before the store has
// told what is in force, within a few tenths of a second. Harm prevented: they are
// refused, and most have asked for the last time. A process that still knows
// nothing after that refuses at once: the store may be away for long.
func (b *Belief) AwaitKnown(ctx context.Context, now time.Time) {
	left := startHold - now.Sub(b.began)
	if left <= 0 {
		return
	}
	t := time.NewTimer(left)
	defer t.Stop()
	select {
	case <-b.known:
	case <-t.C:
	case <-ctx.Done():
	}
}

// Known reports whether the process knows a configuration and the endpoints.
func (b *Belief) Known() bool {
	select {
	case <-b.known:
		return true
	default:
		return false
	}
}

// LongestLeft returns the most time that a caller of the route has had left,
// with the one given now.
func (b *Belief) LongestLeft(route string, left time.Duration) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.longest[route] = max(b.longest[route], left)
	return b.longest[route]
}

// Waiting returns the services for which requests wait here that can be on time.
// The others lay no claim to a part of the places.
func (b *Belief) Waiting() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []string
	if b.queue.Waiting() == 0 {
		return out
	}
	for _, w := range b.waiters {
		if w.waits && !w.late && !slices.Contains(out, w.ask.Service.Name) {
			out = append(out, w.ask.Service.Name)
		}
	}
	return out
}

// Own returns the requests that this entry has under way by endpoint id.
func (b *Belief) Own() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.own)
}

// Turned notes for how long an endpoint says that it is cold.
func (b *Belief) Turned(id string, cold time.Duration, now time.Time) {
	b.Change(func(d *directory.Directory) { d.Turned(id, cold, now) })
}

// Misdirected notes that another endpoint answered at the address of a place.
func (b *Belief) Misdirected(p Place) {
	b.Change(func(d *directory.Directory) { d.Misdirected(p.Endpoint.ID, p.Endpoint.Born) })
}

// Endpoints returns how many endpoints may be sent new work.
func (b *Belief) Endpoints(now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.dir.Endpoints(now))
}

// LoadAge returns the age of the newest load report of an endpoint, or zero when
// there is none.
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

// Refusal returns a refusal of a request for a service, with when to come back.
func (b *Belief) Refusal(service string, why result.Code, now time.Time) *result.Error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.refusal(service, why, now)
}

// refusal is Refusal with mu held.
func (b *Belief) refusal(service string, why result.Code, now time.Time) *result.Error {
	return result.New(why, "").WithRetryAfter(b.outages.comeBack(service, retryAfterFor(why), now))
}
