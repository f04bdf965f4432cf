package relay

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/caller/admission"
	"github.com/hyssoprelay/hyssoprelay/internal/directory"
	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/batch"
	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/placement"
	"github.com/hyssoprelay/hyssoprelay/internal/routing"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

const (
	// lapseHold is how long entries of endpoints that vanished while the store
	// was away hold after its return: living endpoints write theirs again
	// within about two seconds.
	lapseHold = 2 * time.Second
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
	// slowFrom is the pace from which an engine counts as slow.
	slowFrom = 1.2
	// leastEntries is how many entries are assumed before the store has told
	// of them: three more than either fleet of today, so that shares are too
	// small rather than too large.
	leastEntries = 12
	// entriesMemory is how long entries count that are no longer listed. One
	// that is cut off from the store lapses there and goes on serving.
	entriesMemory = 20 * time.Second
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
	cold      Cold
	budgets   map[string]*admission.RetryBudget
	entries   map[string]time.Time // last seen; zero: listed now
	endpoints map[string]directory.Endpoint
	addresses map[string]directory.Endpoint
	loads     map[string]Load
	works     map[string]Work
	queue     admission.Controller
	waiters   map[string]*waiter
	gaps      map[string]time.Duration
	longest   map[string]time.Duration
	turns     turns
	// failures counts the failures in a row that an endpoint reported.
	failures map[string]int
	outages  outages
	own      map[string]int
	fed      time.Time
	dirty    bool
	listed   bool
	began    time.Time
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
	b.waiters = map[string]*waiter{}
	b.longest = map[string]time.Duration{}
	b.queue.MaxWaiting = mostWaiting
	b.own = map[string]int{}
	b.failures = map[string]int{}
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
}

// Known reports whether the process knows a configuration and the endpoints.
func (b *Belief) Known() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.table != nil && b.listed
}

// SetEntry notes that another entry is listed, or no longer is.
func (b *Belief) SetEntry(name string, listed bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if listed {
		b.entries[name] = time.Time{}
		return
	}
	if _, ok := b.entries[name]; ok {
		b.entries[name] = now
	}
}

// Entries returns how many entries share what endpoints bear.
func (b *Belief) Entries(now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.countEntries(now)
}

func (b *Belief) countEntries(now time.Time) int {
	n := 0
	for name, gone := range b.entries {
		if !gone.IsZero() && now.Sub(gone) > entriesMemory {
			delete(b.entries, name)
			continue
		}
		n++
	}
	if _, ok := b.entries[b.Name]; !ok {
		n++
	}
	if !b.listed || now.Sub(b.began) < entriesMemory {
		return max(n, leastEntries)
	}
	return n
}

// SetLoads takes in load reports.
func (b *Belief) SetLoads(loads []Load, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, l := range loads {
		ep, ok := b.addresses[l.Address]
		if old, known := b.loads[ep.ID]; !ok || known && !l.At.After(old.At) {
			continue
		}
		b.loads[ep.ID] = l
		b.tell(ep, now)
	}
	b.pump(now)
}

// SetWork takes in what another entry has given to endpoints.
func (b *Belief) SetWork(w Work, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	old, ok := b.works[w.Entry]
	if ok && (w.Born < old.Born || w.Born == old.Born && w.Number <= old.Number) {
		return
	}
	b.works[w.Entry] = w
	for _, ep := range b.endpoints {
		if old.Running[ep.ID] != w.Running[ep.ID] {
			b.tell(ep, now)
		}
	}
	b.pump(now)
}

// LongestLeft returns the most time that a caller of the route has had left,
// with the one given now.
func (b *Belief) LongestLeft(route string, left time.Duration) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.longest[route] = max(b.longest[route], left)
	return b.longest[route]
}

// Waiting returns the services for which requests wait here.
func (b *Belief) Waiting() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.waiting()
}

func (b *Belief) waiting() []string {
	var out []string
	if b.queue.Waiting() == 0 {
		return out
	}
	for _, w := range b.waiters {
		if w.waits && !slices.Contains(out, w.service.Name) {
			out = append(out, w.service.Name)
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

// running returns how many requests an endpoint has from all entries: what they
// told of each other, or what a process beside the endpoint reported if that is
// more, as it may know of entries that are cut off from this one.
func (b *Belief) running(ep directory.Endpoint, now time.Time) (int, time.Time) {
	n, heard := b.own[ep.ID], 0
	for _, w := range b.works {
		if now.Sub(w.At) < workStale {
			n += w.Running[ep.ID]
			heard++
		}
	}
	l, ok := b.loads[ep.ID]
	if !ok || now.Sub(l.At) >= loadStale || heard+1 >= len(b.entries) && heard > 0 {
		return n, now
	}
	if reported := l.Running + l.Queued; heard == 0 || reported > n {
		return reported, l.At
	}
	return n, now
}

// refresh brings the picture up to the directory.
func (b *Belief) refresh(now time.Time) {
	if !b.dirty && now.Sub(b.fed) < reportEvery {
		return
	}
	b.dirty, b.fed = false, now
	usable, addresses := map[string]directory.Endpoint{}, map[string]directory.Endpoint{}
	for _, ep := range b.dir.Endpoints(now) {
		usable[ep.ID], addresses[ep.Address] = ep, ep
		b.tell(ep, now)
	}
	for id := range b.endpoints {
		if _, ok := usable[id]; !ok {
			b.picture.Remove(id)
			b.cold.Warm(id)
			delete(b.loads, id)
		}
	}
	b.endpoints, b.addresses = usable, addresses
}

// tell gives the picture a report of one endpoint: what a process beside it
// last reported, or else this entry's own count.
func (b *Belief) tell(ep directory.Endpoint, now time.Time) {
	r := placement.Report{
		Endpoint: ep.ID, Incarnation: ep.Born, DataCentre: ep.DataCentre, Routes: []string{ep.Service},
	}
	r.Allowance, r.Capacity = b.bears(ep)
	r.Running, r.At = b.running(ep, now)
	b.picture.Update(r, now)
}

// bears returns how many requests an endpoint is given at once, and by how many
// its load is measured.
func (b *Belief) bears(ep directory.Endpoint) (allowance, capacity int) {
	slots := ep.Slots
	if slots <= 0 {
		slots = plainSlots
	}
	if b.table == nil {
		return slots, slots
	}
	if s := b.table.Service(ep.Service); s != nil && s.Engine != nil {
		n := min(slots, batch.MostWriters(s.Engine, b.gaps[ep.Service]))
		return b.slowed(ep, n), n
	}
	return slots + queueBeyond, slots
}

// slowed returns how many of n requests an endpoint is given that works slower
// than the others of its service.
//
// The load is a group of ranks that run in lock-step, one of which turns slow:
// every pass waits for it, so the streams of all ranks are late, and nothing
// that an entry measures tells which one it is. Without requests of its own the
// slow rank holds up the others least.
func (b *Belief) slowed(ep directory.Endpoint, n int) int {
	pace := b.loads[ep.ID].Pace
	if pace < slowFrom {
		return n
	}
	least := pace
	for _, other := range b.endpoints {
		if other.Service == ep.Service {
			least = min(least, max(1, b.loads[other.ID].Pace))
		}
	}
	if pace/least < slowFrom {
		return n
	}
	return int(float64(n) * (least / pace) * (least / pace))
}

// Place is an endpoint that a request has been given.
type Place struct {
	Endpoint directory.Endpoint
	// Load is the age of the load report behind the choice, or negative when
	// there was none.
	LoadAge time.Duration
	attempt *placement.Attempt
	// id names the request in the queue, or is "" for one that never was.
	id string
}

// Choose gives a further attempt of a request an endpoint at once. Otherwise it
// returns why there is none, and when it is worth asking again.
func (b *Belief) Choose(service *routing.Service, q placement.Query, now time.Time) (Place, *result.Error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refresh(now)
	return b.choose(service, q, now)
}

func (b *Belief) choose(service *routing.Service, q placement.Query, now time.Time) (Place, *result.Error) {
	q.Route = service.Name
	q.Tried = slices.Clone(q.Tried)
	b.leaveToOthers(service, &q, now)
	wait := b.avoidCold(service, &q, now)
	c, ok, why := b.picture.Choose(q, now)
	if !ok {
		if wait > 0 {
			return Place{}, result.New(result.EndpointCold, "").WithRetryAfter(wait)
		}
		return Place{}, result.New(why, "").WithRetryAfter(b.outages.comeBack(service.Name, retryAfterFor(why), now))
	}
	ep := b.endpoints[c.Endpoint]
	if ep.ColdAt(now) && service.ColdRate > 0 {
		b.cold.Take(ep.ID, service.ColdRate, b.countEntries(now), now)
	}
	p := Place{Endpoint: ep, LoadAge: -1, attempt: b.picture.Started(c, q, now)}
	if l, ok := b.loads[ep.ID]; ok {
		p.LoadAge = now.Sub(l.At)
	}
	b.own[ep.ID]++
	b.turns.took(ep.ID, now)
	b.changed()
	return p, nil
}

func (b *Belief) changed() {
	if b.Changed != nil {
		b.Changed()
	}
}

// avoidCold keeps the request off cold endpoints of which this entry has used
// up its share, and returns the least time until one may be asked.
func (b *Belief) avoidCold(service *routing.Service, q *placement.Query, now time.Time) time.Duration {
	if service.ColdRate <= 0 {
		return 0
	}
	least := time.Duration(0)
	n := b.countEntries(now)
	for id, ep := range b.endpoints {
		if ep.Service != service.Name || !ep.ColdAt(now) {
			continue
		}
		if b.cold.Ready(id, service.ColdRate, n, now) {
			continue
		}
		q.Tried = append(q.Tried, id)
		if w := b.cold.Wait(id, service.ColdRate, n, now); least == 0 || w < least {
			least = w
		}
	}
	return least
}

// Heard notes that a part of the answer has come.
func (b *Belief) Heard(p Place, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.picture.Piece(p.attempt, now)
	b.begun(p)
	b.outages.served(p.Endpoint.Service, now)
}

// begun takes a request out of the queue's books. They end with the first part
// of its answer, as the wait that is bounded does; how long the rest takes must
// not be learnt from, or the queue would take every target for out of reach.
func (b *Belief) begun(p Place) {
	if p.id != "" && b.waiters[p.id] != nil {
		b.queue.Cancel(p.id)
		delete(b.waiters, p.id)
	}
}

// Ended takes a request off its endpoint.
func (b *Belief) Ended(p Place, o Outcome, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n := b.own[p.Endpoint.ID] - 1; n > 0 {
		b.own[p.Endpoint.ID] = n
	} else {
		delete(b.own, p.Endpoint.ID)
	}
	b.changed()
	b.begun(p)
	defer b.pump(now)
	b.outages.ended(p.Endpoint.Service, o, now)
	switch o := o.(type) {
	case NotRun:
		if o.Sent {
			b.picture.Refused(p.attempt, 0, now)
			return
		}
		b.picture.Failed(p.attempt, now)
	case Unknown:
		if errors.Is(o.Cause, context.DeadlineExceeded) {
			b.failed(p, now)
			return
		}
		b.picture.Failed(p.attempt, now)
	case Broken:
		b.picture.Failed(p.attempt, now)
	case Failed:
		b.failed(p, now)
	default:
		delete(b.failures, p.Endpoint.ID)
		b.picture.Ended(p.attempt, now)
	}
}

// failed takes a request off an endpoint that reported a failure in a whole
// answer, or did not answer in the time that the request had. Requests fail for
// their own reasons, up to one in seven of some kinds, and an endpoint that is left alone for each of them is missed: the last one of
// a service was, and callers were refused while it rested. So only the second
// failure in a row counts as the endpoint's.
func (b *Belief) failed(p Place, now time.Time) {
	b.failures[p.Endpoint.ID]++
	if b.failures[p.Endpoint.ID] < failuresInARow {
		b.picture.Ended(p.attempt, now)
		return
	}
	b.picture.Failed(p.attempt, now)
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

// First counts a request of a service towards the retry budget.
func (b *Belief) First(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget(service, now).First(now)
}

// Spend takes one retry from the budget of a service, if there is one left.
func (b *Belief) Spend(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget(service, now).Take(now)
}

// budgetUse is the part of the fleet's retry budget that entries use: they count
// requests by their own clocks, and callers' requests are not spread evenly.
const budgetUse = 0.7

func (b *Belief) budget(service string, now time.Time) *admission.RetryBudget {
	n := float64(b.countEntries(now))
	r := b.budgets[service]
	if r == nil {
		r = &admission.RetryBudget{}
		b.budgets[service] = r
	}
	r.Percent = 100 * budgetUse * b.retry.Share
	window := max(1, b.retry.Window.Seconds())
	r.PerSecond = budgetUse * b.retry.Slack / n / window / 2
	r.Burst = max(2, budgetUse*b.retry.Slack/n/2)
	return r
}

// Draw returns a number in [0, 1) that differs from request to request.
func (b *Belief) Draw(id uint64) float64 {
	return float64(id>>11) / float64(1<<53)
}

// Usable reports whether an endpoint may be sent new work.
func (b *Belief) Usable(id string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, ok := b.dir.Usable(id, now)
	return ok
}

// ComeBack returns when a caller whose request was not run may come back.
func (b *Belief) ComeBack(service string, why result.Code, now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.outages.comeBack(service, retryAfterFor(why), now)
}
