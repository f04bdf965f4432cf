package relay

import (
	"context"
	"errors"
	"strconv"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hyssoprelay/hyssoprelay/internal/directory"
	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/direct"
	"github.com/hyssoprelay/hyssoprelay/internal/pause"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// endingTime is the time within which an endpoint that ends stops accepting connections after it has
// closed the first one.
const endingTime = 30 * time.Millisecond

// lostCause returns why the connection of an attempt ended before the answer was complete, or nil
// if it did not. An attempt that ran out of time, at an endpoint that did not read its request, or
// whose answer exceeded a limit is none: nothing says that the endpoint has ended.
func lostCause(o Outcome) error {
	var cause error
	switch o := o.(type) {
	case Unknown:
		cause = o.Cause
	case Interrupted:
		cause = o.Cause
	}
	if errors.Is(cause, context.DeadlineExceeded) || errors.Is(cause, direct.ErrEndpointStalled) || direct.AsLimitError(cause) != nil {
		return nil
	}
	return cause
}

// isSilence reports whether an exchange was lost because nothing was heard from the endpoint. That
// may be the network's fault.
func isSilence(err error) bool {
	return errors.Is(err, syscall.ETIMEDOUT) || errors.Is(err, syscall.EHOSTUNREACH) || errors.Is(err, syscall.ENETUNREACH)
}

// noteLost counts and logs an exchange that was lost, with what its request has in common with
// others. If the endpoint ended, it tells the other entries first, so that whichever of them gets the
// request next knows of it.
//
// It reports whether the request may be repeated, and why it is refused from now on, if it is: a
// repeat is the quickest way to the next end.
func (j *job) noteLost(ctx context.Context, assigned Assignment, o Outcome) (mayRepeat bool, refused *result.Error) {
	cause := lostCause(o)
	if cause == nil {
		return true, nil
	}
	ended := j.endedUnderRequest(ctx, assigned, cause)
	j.relay.Metrics.countLost(j.answerBegan, ended)
	suspect, ends := false, 0
	if ended {
		j.endedEndpoint = true
		suspect = j.recordPartCrash(assigned)
		ends = j.recordEnd(ctx, assigned)
		refused = j.relay.State.Refuses(j.subjects(), j.relay.Now())
	}
	j.logLost(assigned, cause, ended, suspect, ends)
	return !suspect && refused == nil, refused
}

// recordPartCrash records against the parts of the prompt that an endpoint ended. It reports whether one
// more end has one of the parts refused.
func (j *job) recordPartCrash(assigned Assignment) (suspect bool) {
	parts := j.requestInfo.SharedParts
	if len(parts) == 0 {
		return false
	}
	j.relay.State.RecordCrash(assigned, j.subjects(), j.answerBegan, j.relay.Now())
	return j.relay.State.SuspectsParts(parts)
}

// recordEnd records against the request that an endpoint ended under it, and announces it. It returns
// the number of such ends that are known.
func (j *job) recordEnd(ctx context.Context, assigned Assignment) int {
	st, now := j.relay.State, j.relay.Now()
	c := st.RecordEnd(assigned, j.subjects(), j.callerLeft(now), now)
	if j.relay.AnnounceEnd == nil {
		return len(c.Crashes)
	}
	j.relay.AnnounceEnd(ctx, c)
	return len(st.KnownOfRequest(j.requestFingerprint).Crashes)
}

// callerLeft returns how long the caller may go on with its attempts.
func (j *job) callerLeft(now time.Time) time.Duration {
	if j.requestInfo.TimeLeft <= 0 {
		return max(0, j.deadline.Sub(now))
	}
	return max(0, j.raw.ReceivedAt.Add(j.requestInfo.TimeLeft).Sub(now))
}

// logLost logs an exchange that was lost.
func (j *job) logLost(assigned Assignment, cause error, ended, suspect bool, ends int) {
	f := j.endpointFields(assigned)
	f["answerBegan"], f["cause"], f["ended"], f["suspect"] = j.answerBegan, cause.Error(), ended, suspect
	f["fingerprint"], f["ends"] = j.requestFingerprint, ends
	j.noteMalformed(f, cause)
	if parts := j.requestInfo.SharedParts; len(parts) > 0 {
		f["parts"] = parts
	}
	if j.account != nil {
		f["account"] = j.account.Name
	}
	j.relay.Log.WithFields(f).Info("exchange with endpoint lost")
}

// noteMalformed counts an answer whose head was malformed, and adds to a log line what it was.
func (j *job) noteMalformed(f logrus.Fields, cause error) {
	e := direct.AsMalformedError(cause)
	if e == nil {
		return
	}
	j.relay.Metrics.malformed.Inc(1)
	f["malformed"], f["detail"], f["firstBytes"] = string(e.Fault), strconv.Quote(e.Detail), strconv.Quote(e.Head)
}

// subjects returns what the request may be refused for because endpoints end under it.
func (j *job) subjects() Subjects {
	return Subjects{Account: j.accountName(), Parts: j.requestInfo.SharedParts, Fingerprint: j.requestFingerprint}
}

// endedUnderRequest reports whether the endpoint ended under a request.
// An endpoint that still accepts connections has not: a reset of one connection, or a group that
// cuts off what it runs because another rank is missing, says nothing about the request.
func (j *job) endedUnderRequest(ctx context.Context, assigned Assignment, cause error) bool {
	if isSilence(cause) {
		return false
	}
	return j.relay.hasEnded(ctx, assigned.Endpoint) && ctx.Err() == nil
}

// hasEnded reports whether an endpoint that closed a connection accepts no others. Requests that lose
// the same endpoint at the same time share one check, which costs it connections.
func (r *Relay) hasEnded(ctx context.Context, ep directory.Endpoint) bool {
	ctx = context.WithoutCancel(ctx) // the check is not for one request alone
	ended, _, _ := r.endChecks.Do(ep.Address, func() (any, error) {
		if !r.Client.Accepts(ctx, ep.Address) {
			return true, nil
		}
		// The connections of a process that ends do not all close at the same moment.
		pause.For(ctx, endingTime)
		return !r.Client.Accepts(ctx, ep.Address), nil
	})
	return ended == true
}

// clearParts records that the endpoint has begun a sound answer to the request, so that no part of
// its prompt is what endpoints crash on before that.
func (j *job) clearParts(now time.Time) {
	j.relay.State.RecordAnswered(j.requestInfo.SharedParts, now)
}
