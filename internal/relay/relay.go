package relay

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/hyssoprelay/hyssoprelay/internal/caller"
	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/direct"
	"github.com/hyssoprelay/hyssoprelay/internal/routing"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

const (
	// afterStale is when a caller whose entry is cut off may come back: its
	// next connection most likely meets another entry.
	afterStale = 500 * time.Millisecond
	// afterStart is the same for an entry that knows no configuration yet.
	afterStart = 500 * time.Millisecond
	// afterStop is the same for an entry that stops: others take the caller at
	// once.
	afterStop = 50 * time.Millisecond
	// defaultTimeout bounds a request whose route and caller name no time.
	defaultTimeout = time.Minute
)

// Relay passes requests on. It implements caller.Passer. Set the exported fields
// before the first request.
type Relay struct {
	Belief  *Belief
	Client  *direct.Client
	Dialect Dialect
	// Now is a clock that goes on while the VM is suspended.
	Now func() time.Time
	// Log receives one line for each request.
	Log logrus.FieldLogger
	// Metrics counts the requests.
	Metrics *Metrics

	refusing atomic.Bool
	keyAge   atomic.Int64
}

// SetKeyAge sets the greatest age of what the process knows at which keys are
// still believed. Before that none is.
func (r *Relay) SetKeyAge(d time.Duration) { r.keyAge.Store(int64(d)) }

// KeyAge returns what SetKeyAge has set.
func (r *Relay) KeyAge() time.Duration { return time.Duration(r.keyAge.Load()) }

// Refuse answers each further request as not run, because the process is about
// to end: it could not see the answer through.
func (r *Relay) Refuse() { r.refusing.Store(true) }

// job is one request under way.
type job struct {
	relay   *Relay
	raw     *caller.Raw
	reply   *caller.Reply
	facts   Facts
	table   *routing.Table
	route   *routing.Route
	service *routing.Service
	account *routing.Account
	// end is when the caller's time or the route's is over.
	end   time.Time
	tries Tries
	// tried are the endpoints that were asked.
	tried []string
	// failed is the last whole failure that an endpoint reported.
	failed *Whole
	// last is the number of the last event that the caller has.
	last    int64
	started bool
	// waited is how long the request waited for its place.
	waited time.Duration
	// firstPart is when the first part of the answer went to the caller.
	firstPart time.Time
	// lastPart is when the last part went, longestPause the longest time between
	// two, and pauseEnded when that was over.
	lastPart     time.Time
	longestPause time.Duration
	pauseEnded   time.Time
}

// Pass implements caller.Passer.
func (r *Relay) Pass(ctx context.Context, raw *caller.Raw, w *caller.Reply) {
	r.Belief.AwaitKnown(ctx, r.Now())
	now := r.Now()
	j := &job{relay: r, raw: raw, reply: w, facts: r.Dialect.ReadRequest(raw.Header)}
	if e := j.open(now); e != nil {
		j.refuse(e, now)
		return
	}
	r.Metrics.begin()
	r.Belief.First(j.service.Name, now)
	ctx, cancel := context.WithTimeout(ctx, j.end.Sub(now))
	defer cancel()
	w.Within(ctx)
	j.run(ctx)
	r.Metrics.end()
}

// open finds out what the request is and whether it is allowed.
func (j *job) open(now time.Time) *result.Error {
	b := j.relay.Belief
	j.table = b.Table()
	if j.relay.refusing.Load() {
		return result.New(result.ShuttingDown, "").WithRetryAfter(afterStop)
	}
	if j.table == nil || !b.Known() {
		return result.New(result.NoPreset, "").WithRetryAfter(afterStart)
	}
	j.route = j.table.Route(j.raw.Host, j.raw.Path)
	if j.route == nil {
		return result.New(result.UnknownRoute, "no route has this host and path")
	}
	if e := j.checkKey(now); e != nil {
		return e
	}
	j.service = j.table.Service(j.route.Pick(drawFor(j.facts.ID + j.raw.Target)))
	if j.service == nil {
		return result.New(result.NoEndpoint, "the route has no service").WithRetryAfter(afterMissing)
	}
	j.end = j.raw.At.Add(j.timeout())
	if !now.Before(j.end) {
		return result.New(result.DeadlinePassed, "")
	}
	j.last, _ = strconv.ParseInt(j.facts.Resume, 10, 64)
	return nil
}

// drawFor returns a number in [0, 1) that follows from the text alone, so that
// it needs no state.
func drawFor(text string) float64 {
	const bits = 53
	return float64(xxhash.Sum64String(text)>>(64-bits)) / float64(uint64(1)<<bits)
}

func (j *job) timeout() time.Duration {
	d := j.route.Timeout
	if j.facts.TimeLeft > 0 && (d <= 0 || j.facts.TimeLeft < d) {
		d = j.facts.TimeLeft
	}
	if d <= 0 {
		d = defaultTimeout
	}
	return d
}

// checkKey finds the account of a request that needs one.
//
// Guard: operators take keys away, and none may be served some seconds later,
// also by an entry that is cut off from the store or was suspended. Such an
// entry can't hear of it; so it stops to believe any key when its knowledge is
// too old.
func (j *job) checkKey(now time.Time) *result.Error {
	if !j.table.NeedsKeys() || j.route.Anonymous {
		return nil
	}
	if e := j.checkAge(now); e != nil {
		return e
	}
	j.account = j.table.Account(j.facts.Key)
	if j.account == nil {
		return result.New(result.BadAccountKey, "")
	}
	return nil
}

func (j *job) checkAge(now time.Time) *result.Error {
	if j.relay.Belief.Fresh.Age(now) <= j.relay.KeyAge() {
		return nil
	}
	return result.New(result.PlatformDown, "keys can't be checked").WithRetryAfter(afterStale)
}

// run makes attempts until the request has its answer.
func (j *job) run(ctx context.Context) {
	next := Place{}
	for {
		now := j.relay.Now()
		place, e := j.placeOrNext(ctx, next, now)
		if e != nil {
			j.finish(nil, e, j.relay.Now())
			return
		}
		var o Outcome
		o, next = j.attemptMovable(ctx, place)
		now = j.relay.Now()
		j.relay.Belief.Ended(place, o, now)
		j.relay.Metrics.attempted(o)
		j.count(o)
		left := j.end.Sub(now)
		if ctx.Err() != nil {
			left = 0
		}
		if _, moved := o.(Moved); moved {
			j.logAttempt(place, o, now)
			continue
		}
		budget := func() bool { return j.maySpend(o, now) }
		if NextStep(j.route, j.tries, o, left, budget) == End {
			j.finish(o, nil, now)
			return
		}
		j.logAttempt(place, o, now)
	}
}

// maySpend reports whether the retry budget has one more attempt. A request that
// was not run waits for its place first and pays when it has one.
func (j *job) maySpend(o Outcome, now time.Time) bool {
	if _, notRun := o.(NotRun); notRun {
		return j.relay.Belief.MaySpend(j.service.Name, now)
	}
	return j.relay.Belief.Spend(j.service.Name, now)
}

// count notes what an attempt has used up.
func (j *job) count(o Outcome) {
	switch o := o.(type) {
	case NotRun:
		if o.Sent {
			j.tries.Sent++
		} else {
			j.tries.Unsent++
		}
	case Failed:
		j.failed = o.Answer
		j.tries.Sent++
		j.tries.MayHaveRun = true
	default:
		j.tries.Sent++
		j.tries.MayHaveRun = true
	}
}

// placeOrNext returns the place that a moved request was given, or chooses one.
func (j *job) placeOrNext(ctx context.Context, next Place, now time.Time) (Place, *result.Error) {
	if next.attempt == nil {
		return j.place(ctx, now)
	}
	if e := j.usable(next); e != nil {
		return Place{}, e
	}
	j.tried = append(j.tried, next.Endpoint.ID)
	return next, nil
}
