package relay

import (
	"context"
	"errors"

	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/direct"
)

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

// noteLost counts and logs an exchange that was lost, with what its request has in common with
// others.
func (j *job) noteLost(assigned Assignment, o Outcome) {
	cause := lostCause(o)
	if cause == nil {
		return
	}
	j.relay.Metrics.countLost(j.answerBegan)
	f := j.endpointFields(assigned)
	f["answerBegan"], f["cause"] = j.answerBegan, cause.Error()
	if len(j.requestInfo.SharedParts) > 0 {
		f["parts"] = j.requestInfo.SharedParts
	}
	if j.account != nil {
		f["account"] = j.account.Name
	}
	j.relay.Log.WithFields(f).Info("exchange with endpoint lost")
}
