package relay

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/caller"
	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/direct"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// finish completes the request: it sends the caller what it still gets, and logs the result. e is the
// error with which the request is refused if o is nil.
func (j *job) finish(o Outcome, e *result.Error, now time.Time) {
	switch c := Conclude(j.progress, o, j.refusal(o, e, now), j.lastFailure).(type) {
	case Complete:
		j.log(result.OK, http.StatusOK, now, nil)
	case PassOn:
		j.deliverFailure(c.Answer, now)
	case Refuse:
		j.refuse(c.Err, now)
	case BreakOff:
		j.reply.Abort()
		j.logBrokenOff(o, c.Cause, now)
	}
}

// refusal returns the error of this process for a request whose last attempt ended with o, or that is
// refused with e if o is nil.
func (j *job) refusal(o Outcome, e *result.Error, now time.Time) *result.Error {
	switch o := o.(type) {
	case nil:
	case NotRun:
		e = j.relay.State.Refusal(j.service, o.Code, now)
	case Unknown:
		e = j.unknownResult(o, now)
	default:
		e = result.New(result.OutcomeUnknown, "")
	}
	return j.correctEffect(e)
}

// logBrokenOff logs the end of a request whose caller left or was cut off, or has only a part of the
// answer.
func (j *job) logBrokenOff(o Outcome, cause error, now time.Time) {
	if _, disconnected := o.(Disconnected); !disconnected {
		j.log(result.AnswerIncomplete, 0, now, cause)
		return
	}
	if cut := j.reply.CutCause(); cut != nil {
		j.log(cut.Code(), 0, now, cut)
		return
	}
	j.log(result.Cancelled, 0, now, cause)
}

// unknownResult returns the result of a request that may have run.
func (j *job) unknownResult(o Unknown, now time.Time) *result.Error {
	if errors.Is(o.Cause, caller.ErrStopping) {
		return result.New(result.StoppedUnknown, "")
	}
	if errors.Is(o.Cause, direct.ErrEndpointStalled) {
		return result.New(result.EndpointStalled, "")
	}
	if limit := direct.AsLimitError(o.Cause); limit != nil {
		return result.New(limitCode(limit), limit.Error())
	}
	if !now.Before(j.deadline) {
		return result.New(result.DeadlineExceeded, "")
	}
	return result.Newf(result.OutcomeUnknown, "%v", o.Cause)
}

// limitCode returns the result code of an answer that exceeded a limit.
func limitCode(e *direct.LimitError) result.Code {
	if e.Limit == direct.LimitMemory {
		return result.ResponseMemory
	}
	return result.ResponseLimit
}

// correctEffect keeps a refusal from reporting "not run" if an earlier attempt may have run.
func (j *job) correctEffect(e *result.Error) *result.Error {
	if j.attempts.MayHaveRun && e.Code().Effect() == result.NotRun {
		return result.New(result.OutcomeUnknown, e.Error())
	}
	return e
}

// deliverFailure forwards a failure that an endpoint reported.
func (j *job) deliverFailure(a *BufferedAnswer, now time.Time) {
	err := j.reply.SendRaw(a.Status, a.Header, a.Body)
	j.log(result.EndpointFailed, a.Status, now, err)
}

// refuse answers the caller with an error of this process.
func (j *job) refuse(e *result.Error, now time.Time) {
	status := statusOf(e)
	h := http.Header{
		"Content-Type":          {"text/plain; charset=utf-8"},
		caller.HeaderResultCode: {strconv.Itoa(int(e.Code()))},
	}
	if d := j.retryAfter(e, now); d > 0 {
		h.Set("Retry-After", strconv.FormatFloat(d.Seconds(), 'f', 2, 64))
	}
	cause := j.reply.SendRaw(status, h, []byte(e.Error()+"\n"))
	if cause == nil && e.Detail() != "" {
		cause = e
	}
	j.log(e.Code(), status, now, cause)
}

// retryAfter returns when the caller should retry, so that it still has time for an answer then.
func (j *job) retryAfter(e *result.Error, now time.Time) time.Duration {
	d := e.RetryAfter()
	if j.deadline.IsZero() {
		return d
	}
	left := max(0, j.deadline.Sub(now))
	if e.Code() == result.GroupClosed {
		d = max(d, left/minClosedRetryAfterDivisor)
	}
	return min(d, left/maxRetryAfterDivisor)
}

func statusOf(e *result.Error) int {
	info, _ := result.Lookup(e.Code())
	if info.Status() == 0 {
		return http.StatusInternalServerError
	}
	return info.Status()
}
