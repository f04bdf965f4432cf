package relay

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/singleflight"

	"github.com/hyssoprelay/hyssoprelay/internal/caller"
	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/direct"
	"github.com/hyssoprelay/hyssoprelay/internal/quarantine"
	"github.com/hyssoprelay/hyssoprelay/internal/routing"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

const (
	// retryAfterStale is the Retry-After time of an entry that is cut off from the store: the
	// caller's next connection most likely reaches another entry.
	retryAfterStale = 500 * time.Millisecond
	// retryAfterStartup is the Retry-After time of an entry that knows no configuration yet.
	retryAfterStartup = 500 * time.Millisecond
	// retryAfterShutdown is the Retry-After time of an entry that shuts down: other entries accept
	// the caller at once.
	retryAfterShutdown = 50 * time.Millisecond
	// defaultTimeout bounds a request if neither its route nor its caller sets a timeout.
	defaultTimeout = time.Minute
)

// Relay forwards requests to endpoints. It implements caller.Forwarder. Set the exported fields
// before the first request.
type Relay struct {
	State       *State
	Client      *direct.Client
	HeaderCodec HeaderCodec
	// Now reads a clock that keeps running while the VM is suspended.
	Now func() time.Time
	// Log receives a line for each request, for each attempt that another one follows, and for each
	// change of an endpoint's limit.
	Log     logrus.FieldLogger
	Metrics *Metrics
	// HandoverTime is how long a moved stream waits for an event of the next endpoint before its running
	// attempt ends. Zero selects the default of 100 ms.
	HandoverTime time.Duration
	// AnnounceEnd, if set, tells the other entries that an endpoint has ended under a request, and
	// returns when they know.
	AnnounceEnd func(ctx context.Context, c quarantine.Case)

	// endChecks holds the checks in progress whether an endpoint has ended, by its address.
	endChecks singleflight.Group
	stopping  atomic.Bool
	maxKeyAge atomic.Int64
}

// SetMaxKeyAge sets the greatest age of the configuration at which account keys are still accepted.
// The default of zero accepts none.
func (r *Relay) SetMaxKeyAge(d time.Duration) { r.maxKeyAge.Store(int64(d)) }

// MaxKeyAge returns the value set by SetMaxKeyAge.
func (r *Relay) MaxKeyAge() time.Duration { return time.Duration(r.maxKeyAge.Load()) }

// StopAccepting makes the relay refuse each further request with result.ShuttingDown, which says
// that it was not run, because the process is about to exit and could not finish it.
func (r *Relay) StopAccepting() { r.stopping.Store(true) }

// job is the state of one request.
type job struct {
	relay       *Relay
	raw         *caller.RawRequest
	reply       *caller.Reply
	requestInfo RequestInfo
	table       *routing.Table
	route       *routing.Route
	service     *routing.Service
	account     *routing.Account
	// deadline is the earlier of the caller's and the route's deadline.
	deadline time.Time
	attempts AttemptCounts
	// requestFingerprint identifies the work that the request asks for.
	requestFingerprint string
	// isTrial means that the request is let through although it is refused.
	isTrial bool
	// endedEndpoint means that an endpoint ended under an attempt of this request.
	endedEndpoint bool
	// exchange describes the last attempt's exchange.
	exchange direct.Exchange
	// tried lists the endpoints that were assigned to attempts of this request.
	tried []string
	// lastFailure is the last complete failure that an endpoint reported.
	lastFailure *BufferedAnswer
	// position is what the caller has received.
	position
	// resumed is the number of the event behind which the caller asks to go on, or zero.
	resumed int64
	// unnumbered means that the caller has received an event without a number. Such a stream goes on
	// nowhere else: the caller would get the event twice.
	unnumbered bool
	// movable is the current attempt if it may be moved, or nil.
	movable *movableAttempt
	// answerBegan means that the current attempt has received a part of its answer. beforeFirst is what
	// it received before its first event for the caller, and is not forwarded before that.
	answerBegan bool
	beforeFirst []byte
	// attemptEventID is the number of the last event that the current attempt has received, also of one
	// that the caller had, or zero.
	attemptEventID int64
	// waited is the total time that the request waited to be assigned, and wait why it last did.
	waited time.Duration
	wait   Wait
	// firstPartAt is when the first part of the answer was forwarded.
	firstPartAt time.Time
	// lastPartAt is when the last part was forwarded, longestPause the longest time between two
	// parts, and pauseEndedAt when that pause ended.
	lastPartAt   time.Time
	longestPause time.Duration
	pauseEndedAt time.Time
	// lastPause is the pause before the last event of the current attempt, or zero if it was the
	// first one.
	lastPause time.Duration
	// location is where the request is.
	location atomic.Pointer[location]
}

// Forward implements caller.Forwarder.
func (r *Relay) Forward(ctx context.Context, raw *caller.RawRequest, w *caller.Reply) {
	r.State.AwaitReady(ctx, r.Now())
	now := r.Now()
	j := &job{relay: r, raw: raw, reply: w, requestInfo: r.HeaderCodec.ReadRequest(raw.Header)}
	if e := j.resolve(now); e != nil {
		j.refuse(e, now)
		return
	}
	r.Metrics.incRunning()
	j.moveTo("", now)
	w.SetDescription(j.describe)
	r.State.CountFirstAttempt(j.service.Name, now)
	ctx, cancel := context.WithTimeout(ctx, j.deadline.Sub(now))
	defer cancel()
	w.SetContext(ctx)
	j.run(ctx)
	if j.isTrial && j.attempts.Sent == 0 {
		r.State.trialUnsent(j.subjects())
	}
	r.Metrics.decRunning()
}

// resolve determines the request's route, account, service and deadline, or returns why it is
// refused.
func (j *job) resolve(now time.Time) *result.Error {
	st := j.relay.State
	j.table = st.Table()
	if j.relay.stopping.Load() {
		return shuttingDown()
	}
	if j.table == nil || !st.Ready() {
		return result.New(result.NoPreset, "").WithRetryAfter(retryAfterStartup)
	}
	j.route = j.table.Route(j.raw.Host, j.raw.Path)
	if j.route == nil {
		return result.New(result.UnknownRoute, "no route has this host and path")
	}
	if e := j.checkKey(now); e != nil {
		return e
	}
	if e := j.checkStreamable(); e != nil {
		return e
	}
	j.service = j.table.Service(j.route.Pick(hashFraction(j.requestInfo.ID + j.raw.Target)))
	if j.service == nil {
		return result.New(result.NoEndpoint, "the route has no service").WithRetryAfter(retryAfterNoEndpoint)
	}
	j.deadline = j.raw.ReceivedAt.Add(j.timeout())
	if !now.Before(j.deadline) {
		return result.New(result.DeadlinePassed, "")
	}
	if e := st.heldBack(j.service.Name, j.class(), j.accountName()); e != nil {
		return e
	}
	j.requestFingerprint = Fingerprint(j.accountName(), j.raw, j.requestInfo.Work)
	var e *result.Error
	if j.isTrial, e = st.checkSubjects(j.subjects(), now); e != nil {
		return e
	}
	j.resumed = parseEventID(j.requestInfo.Resume)
	if j.route.Resumable {
		j.lastEventID = j.resumed
	}
	return nil
}

// checkStreamable refuses a stream whose caller can't receive one before it is run.
func (j *job) checkStreamable() *result.Error {
	if j.route.RetrySemantics != routing.Stream {
		return nil
	}
	return j.reply.CheckStreamable()
}

// hashFraction maps text to a number in [0, 1) that depends on the text alone, so that it needs no
// state.
func hashFraction(text string) float64 {
	const bits = 53
	return float64(xxhash.Sum64String(text)>>(64-bits)) / float64(uint64(1)<<bits)
}

func (j *job) timeout() time.Duration {
	d := j.route.Timeout
	if j.requestInfo.TimeLeft > 0 && (d <= 0 || j.requestInfo.TimeLeft < d) {
		d = j.requestInfo.TimeLeft
	}
	if d <= 0 {
		d = defaultTimeout
	}
	return d
}

// checkKey determines the account of a request that needs one.
//
// A key must not be accepted for longer than some seconds after it was revoked, even by an entry
// that is cut off from the store or was suspended. Such an entry can't learn of the revocation, so
// it accepts no key at all when its knowledge is too old.
func (j *job) checkKey(now time.Time) *result.Error {
	if !j.table.NeedsKeys() || j.route.Anonymous {
		return nil
	}
	if e := j.checkKeyAge(now); e != nil {
		return e
	}
	j.account = j.table.Account(j.requestInfo.Key)
	if j.account == nil {
		return result.New(result.BadAccountKey, "")
	}
	return nil
}

func (j *job) checkKeyAge(now time.Time) *result.Error {
	if j.relay.State.Freshness.Age(now) <= j.relay.MaxKeyAge() {
		return nil
	}
	return result.New(result.PlatformDown, "keys can't be checked").WithRetryAfter(retryAfterStale)
}

// run makes attempts until the request is complete.
func (j *job) run(ctx context.Context) {
	var next *handover
	for {
		assigned, e := j.nextAssignment(ctx, next, j.relay.Now())
		if e != nil {
			j.finish(nil, e, j.relay.Now())
			return
		}
		j.moveTo(assigned.Endpoint.ID, j.relay.Now())
		var o Outcome
		o, next = j.runMovable(ctx, assigned, next)
		mayRepeat, refused := j.noteOutcome(ctx, assigned, o)
		now := j.relay.Now()
		j.moveTo("", now)
		if next != nil && mayRepeat {
			j.logAttempt(assigned, o, now)
			continue
		}
		if next != nil {
			j.noteTurnedDown(ctx, next)
		}
		if refused != nil && j.progress == NothingSent {
			j.finish(nil, refused, now)
			return
		}
		if !mayRepeat || j.decide(ctx, o, now) == End {
			j.finish(j.finalOutcome(ctx, o), nil, now)
			return
		}
		j.logAttempt(assigned, o, now)
	}
}

// noteOutcome records how an attempt ended and gives its assignment back. Its results are those of
// noteLost.
func (j *job) noteOutcome(ctx context.Context, assigned Assignment, o Outcome) (mayRepeat bool, refused *result.Error) {
	now := j.relay.Now()
	j.relay.State.Release(assigned, o, now)
	j.relay.Metrics.countAttempt(o)
	j.countAttempt(o)
	switch o.(type) {
	case Delivered:
		j.relay.State.RecordWhole(j.subjects(), j.exchange.Status/100 == 2, now)
	case NotRun:
		j.logRefusing(assigned, now)
	}
	j.noteExceeded(assigned, o)
	return j.noteLost(ctx, assigned, o)
}

// decide decides whether the request is sent to another endpoint after an attempt.
func (j *job) decide(ctx context.Context, o Outcome, now time.Time) Decision {
	if j.unnumbered {
		return End
	}
	left := j.relay.State.timeLeft(j.deadline, now)
	if ctx.Err() != nil {
		left = 0
	}
	budget := func() bool { return j.allowRetry(o, now) }
	return NextDecision(j.route, j.attempts, o, left, budget)
}

// allowRetry reports whether the retry budget allows one more attempt. It spends the budget, except
// after an attempt that was not run: such a request waits to be assigned first, and spends the
// budget then.
func (j *job) allowRetry(o Outcome, now time.Time) bool {
	if _, notRun := o.(NotRun); notRun {
		return j.relay.State.MayRetry(j.service.Name, now)
	}
	return j.relay.State.TakeRetry(j.service.Name, now)
}

// countAttempt records what an attempt has used up.
func (j *job) countAttempt(o Outcome) {
	switch o := o.(type) {
	case Unused:
	case NotRun:
		if o.Sent {
			j.attempts.Sent++
		} else {
			j.attempts.Unsent++
		}
	case Failed:
		j.lastFailure = o.Answer
		j.attempts.Sent++
		j.attempts.MayHaveRun = true
	default:
		j.attempts.Sent++
		j.attempts.MayHaveRun = true
	}
}

// nextAssignment returns the assignment to which the request was moved, or makes a new one.
func (j *job) nextAssignment(ctx context.Context, moved *handover, now time.Time) (Assignment, *result.Error) {
	if moved == nil {
		return j.assignEndpoint(ctx, now)
	}
	j.tried = append(j.tried, moved.next.Endpoint.ID)
	return moved.next, nil
}
