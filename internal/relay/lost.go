package relay

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/directory"
	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/direct"
	"github.com/hyssoprelay/hyssoprelay/internal/pause"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// endingTime is the time within which an endpoint that ends stops accepting connections after it has
// closed the first one.
const endingTime = 30 * time.Millisecond

// lostCause returns why the connection of an attempt ended before the answer was complete, or nil
// if it did not. An attempt that ran out of time, or at an endpoint that did not read its request,
// is none: nothing says that the endpoint has ended.
func lostCause(o Outcome) error {
	var cause error
	switch o := o.(type) {
	case Unknown:
		cause = o.Cause
	case Interrupted:
		cause = o.Cause
	}
	if errors.Is(cause, context.DeadlineExceeded) || errors.Is(cause, direct.ErrEndpointStalled) {
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
// others. It reports whether the request must not be repeated because endpoints are suspected to
// crash on a part of its prompt: a repeat is the quickest way to the next crash.
func (j *job) noteLost(ctx context.Context, assigned Assignment, o Outcome) (suspect bool) {
	cause := lostCause(o)
	if cause == nil {
		return false
	}
	ended := j.endedUnderRequest(ctx, assigned, cause)
	parts, now := j.requestInfo.SharedParts, j.relay.Now()
	j.endedEndpoint = j.endedEndpoint || ended
	speaksAgainstParts := ended && len(parts) > 0 && !j.answerBegan && !j.headerSent
	if speaksAgainstParts {
		j.relay.State.RecordCrash(assigned, j.accountName(), parts, now)
	}
	suspect = speaksAgainstParts && j.relay.State.SuspectsParts(parts)
	j.relay.Metrics.countLost(j.answerBegan, ended)
	f := j.endpointFields(assigned)
	f["answerBegan"], f["cause"], f["ended"], f["suspect"] = j.answerBegan, cause.Error(), ended, suspect
	f["fingerprint"] = j.requestFingerprint
	if len(parts) > 0 {
		f["parts"] = parts
	}
	if j.account != nil {
		f["account"] = j.account.Name
	}
	j.relay.Log.WithFields(f).Info("exchange with endpoint lost")
	return suspect
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
// the same endpoint at the same time share one look, which costs it connections.
func (r *Relay) hasEnded(ctx context.Context, ep directory.Endpoint) bool {
	ctx = context.WithoutCancel(ctx) // the look is not for one request alone
	ended, _, _ := r.endLooks.Do(ep.Address, func() (any, error) {
		if !r.Client.Accepts(ctx, ep.Address) {
			return true, nil
		}
		// The connections of a process that ends do not all close at the same moment.
		pause.For(ctx, endingTime)
		return !r.Client.Accepts(ctx, ep.Address), nil
	})
	return ended == true
}

// recheckParts returns why a request may not be sent again because of a part of its prompt, or nil.
func (j *job) recheckParts(now time.Time) *result.Error {
	parts := j.requestInfo.SharedParts
	if len(parts) == 0 || !j.relay.State.RefusesParts(j.accountName(), parts, now) {
		return nil
	}
	return quarantineRefusal("")
}

// clearParts records that the endpoint has begun a sound answer to the request, so that no part of
// its prompt is what endpoints crash on.
func (j *job) clearParts(now time.Time) {
	j.relay.State.RecordAnswered(j.requestInfo.SharedParts, now)
}
