package relay

import (
	"context"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/placement"
	"github.com/hyssoprelay/hyssoprelay/internal/pause"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// query returns the placement query for the next attempt.
func (j *job) query() placement.Query {
	q := placement.Query{
		Tokens:   j.requestInfo.PromptTokens + j.requestInfo.OutputTokens,
		Excluded: j.tried,
		RunOnce:  !j.route.MayRetry(),
	}
	if j.table.HasClasses(j.service.Name) && lockstep(j.service) {
		q.PromptTokens = j.requestInfo.PromptTokens
	}
	return q
}

// recheckKeyAge gives an assignment back, and returns an error, if the known keys have become too
// old since the request arrived.
func (j *job) recheckKeyAge(assigned Assignment) *result.Error {
	if j.account == nil {
		return nil
	}
	now := j.relay.Now()
	e := j.checkKeyAge(now)
	if e != nil {
		j.relay.State.Release(assigned, Unused{}, now)
	}
	return e
}

// assignEndpoint chooses the endpoint of the next attempt. It checks the age of the known keys
// again, since they may have become too old while the request waited.
func (j *job) assignEndpoint(ctx context.Context, now time.Time) (Assignment, *result.Error) {
	if j.attempts.Sent > 0 {
		if e := j.relay.State.Refuses(j.subjects(), now); e != nil {
			return Assignment{}, e
		}
	}
	assigned, e := j.admit(ctx, j.query(), now)
	if e != nil {
		return assigned, e
	}
	if e := j.recheckKeyAge(assigned); e != nil {
		return Assignment{}, e
	}
	j.tried = append(j.tried, assigned.Endpoint.ID)
	j.countStarted()
	return assigned, nil
}

const (
	// maxRepeatWait bounds how long a request that may have run waits for a free slot. Callers of
	// streams leave after a pause of 2 s, and the new endpoint has to read the prompt meanwhile.
	maxRepeatWait = 500 * time.Millisecond
	// repeatInterval is the pause between two tries to find one.
	repeatInterval = 10 * time.Millisecond
)

// chooseAgain assigns an attempt that follows one which may have run. It bypasses the queue, since its
// request has waited already, but waits for a moment while all endpoints are busy: when an endpoint
// fails, its requests need the slots of the others at the same time.
func (j *job) chooseAgain(ctx context.Context, q placement.Query, now time.Time) (Assignment, *result.Error) {
	st, giveUpAt := j.relay.State, now.Add(maxRepeatWait)
	for {
		assigned, e := st.Choose(j.service, q, now)
		if e == nil || e.Code() != result.EndpointBusy || !now.Add(repeatInterval).Before(giveUpAt) {
			return assigned, e
		}
		if !pause.For(ctx, repeatInterval) {
			return assigned, e
		}
		now = j.relay.Now()
	}
}

// admit assigns the next attempt to an endpoint through the queue, unless it follows one which may have
// run.
func (j *job) admit(ctx context.Context, q placement.Query, now time.Time) (Assignment, *result.Error) {
	st := j.relay.State
	if j.attempts.MayHaveRun {
		return j.chooseAgain(ctx, q, now)
	}
	req := AdmitRequest{
		Service: j.service, Query: q, ID: j.requestInfo.ID, Account: j.accountName(), Subjects: j.subjects(),
		FirstPartDeadline: j.firstPartDeadline(), Deadline: j.deadline, Class: j.class(),
		TargetLatency: j.route.TargetLatency, AskedBefore: j.askedBefore(), AbandonAt: j.abandonTime(), Wait: &j.wait,
	}
	// Shows the metrics of the class while its first request waits.
	j.relay.Metrics.classOf(j.serviceClass())
	assigned, e := st.Admit(ctx, req, j.relay.Now)
	finished := j.relay.Now()
	if waited := finished.Sub(now); waited > 0 {
		j.waited += waited
	}
	if e == nil && j.attempts.Sent > 0 && !st.TakeRetry(j.service.Name, finished) {
		st.Release(assigned, Unused{}, finished)
		return Assignment{}, st.Refusal(j.service, result.EndpointBusy, finished)
	}
	return assigned, e
}

// accountName returns the name of the request's account, or anonymousAccount if it has none.
func (j *job) accountName() string {
	if j.account == nil {
		return anonymousAccount
	}
	return j.account.Name
}

// abandonTime returns when the caller gives up if no part of the answer has arrived; zero means at
// its deadline.
func (j *job) abandonTime() time.Time {
	if j.route.Patience <= 0 {
		return time.Time{}
	}
	return j.raw.ReceivedAt.Add(j.route.Patience)
}

// firstAttemptFraction is the least time that a caller has left on its first attempt, as a fraction
// of the most time that any caller of the route has had left. Callers' time limits differ by a
// sixth; a caller that has been told to retry later has used up more than that.
const firstAttemptFraction = 0.8

// askedBefore reports whether this is a repeated attempt of the caller.
func (j *job) askedBefore() bool { return j.timeUsed() > 0 }

// timeUsed returns how much of its time the caller has used up in an earlier attempt that was
// refused or failed. It returns zero if such a caller can't be told from one with a shorter time
// limit.
func (j *job) timeUsed() time.Duration {
	if j.requestInfo.TimeLeft <= 0 {
		return 0
	}
	longest := j.relay.State.MaxTimeLeft(j.route.Name, j.requestInfo.TimeLeft)
	if j.requestInfo.TimeLeft >= time.Duration(firstAttemptFraction*float64(longest)) {
		return 0
	}
	return longest - j.requestInfo.TimeLeft
}

// firstPartDeadline returns when the first part of the answer must arrive to meet the latency
// target, counted from the caller's first attempt.
func (j *job) firstPartDeadline() time.Time {
	target := j.route.TargetLatency
	if target <= 0 {
		return j.deadline
	}
	return j.raw.ReceivedAt.Add(target - j.timeUsed())
}
