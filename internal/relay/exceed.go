package relay

import (
	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/direct"
)

// limitErrorOf returns the limit that the answer of an attempt exceeded, or nil if it exceeded none. A
// refusal whose body exceeds one is still a refusal.
func limitErrorOf(o Outcome) *direct.LimitError {
	switch o := o.(type) {
	case NotRun:
		return direct.AsLimitError(o.Cause)
	case Unknown:
		return direct.AsLimitError(o.Cause)
	case Unusable:
		return direct.AsLimitError(o.Cause)
	case Interrupted:
		return direct.AsLimitError(o.Cause)
	default:
		return nil
	}
}

// noteExceeded logs and counts an answer that exceeded a limit.
func (j *job) noteExceeded(assigned Assignment, o Outcome) {
	e := limitErrorOf(o)
	if e == nil {
		return
	}
	j.relay.Metrics.exceeded.Inc(1)
	f := j.endpointFields(assigned)
	f["limit"], f["bytes"], f["outcome"] = string(e.Limit), e.Bytes, outcomeName(o)
	code := limitCode(e)
	f["code"], f["result"] = int(code), code.String()
	j.relay.Log.WithFields(f).Warn("response exceeds a limit")
}
