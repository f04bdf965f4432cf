// Package drain decides what becomes of the requests that a process has received when it is told to stop.
//
// It has no clock, sockets or goroutines. Every request that can still get an answer gets one: a request that
// can't be completed in the time that is left is refused as not run if that is true, so that its caller can turn to
// another process at once, and otherwise gets an answer that says that it may have run, just before its connection
// is closed.
package drain

import "time"

// LastAnswersTime is the part, at the end of a stop, in which the last answers are sent. They are short.
const LastAnswersTime = 200 * time.Millisecond

// maxLastAnswersDivisor bounds LastAnswersTime to the time of a stop divided by it.
const maxLastAnswersDivisor = 4

// Stage is how far a request has come.
type Stage int

const (
	// Receiving means that a part of the request has been received.
	Receiving Stage = iota
	// Queued means that the request waits for the end of an earlier one of its connection.
	Queued
	// Waiting means that the request has not run and waits for an endpoint.
	Waiting
	// Unanswered means that the request may have run, and that its caller has no part of an answer.
	Unanswered
	// Begun means that the caller has a part of the answer.
	Begun
	// Sending means that the answer is complete and has not been sent to the last byte.
	Sending
)

// String returns the stage as it is logged.
func (s Stage) String() string {
	switch s {
	case Receiving:
		return "receiving"
	case Queued:
		return "queued"
	case Waiting:
		return "waiting"
	case Unanswered:
		return "unanswered"
	case Begun:
		return "begun"
	default:
		return "sending"
	}
}

// Verdict is what becomes of a request.
type Verdict int

const (
	// Continue means that the request goes on.
	Continue Verdict = iota
	// Refuse means that the request is refused as not run.
	Refuse
	// GiveUp means that the request gets an answer that says that it may have run.
	GiveUp
	// CutOff means that the connection is closed.
	CutOff
)

// Schedule holds the times of a stop.
type Schedule struct {
	// AnswersDue is when requests without an answer get one from the process itself, and End when
	// connections are closed.
	AnswersDue, End time.Time
}

// NewSchedule returns the schedule of a stop that begins at start and may take the given time.
func NewSchedule(start time.Time, d time.Duration) Schedule {
	d = max(0, d)
	end := start.Add(d)
	return Schedule{AnswersDue: end.Add(-min(LastAnswersTime, d/maxLastAnswersDivisor)), End: end}
}

// Request describes a request.
type Request struct {
	Stage Stage
	// Deadline is that of its caller, or zero if it is not known.
	Deadline time.Time
	// AnswerTime is how long an endpoint usually takes for the whole answer, or zero if that is not known.
	AnswerTime time.Duration
}

// Decide decides what becomes of a request at the time now.
func (s Schedule) Decide(r Request, now time.Time) Verdict {
	if !now.Before(s.End) {
		return CutOff
	}
	due := !now.Before(s.AnswersDue)
	switch r.Stage {
	case Receiving, Queued:
		return verdictIf(due, Refuse)
	case Waiting:
		return verdictIf(due || now.After(s.latestStart(r)), Refuse)
	case Unanswered:
		return verdictIf(due, GiveUp)
	default:
		return Continue
	}
}

// latestStart returns until when an endpoint must get the request, so that the whole answer is complete before the
// stop ends. The stop does not concern a caller whose deadline is earlier.
func (s Schedule) latestStart(r Request) time.Time {
	if !r.Deadline.IsZero() && !r.Deadline.After(s.AnswersDue) {
		return s.AnswersDue
	}
	return s.AnswersDue.Add(-r.AnswerTime)
}

func verdictIf(condition bool, v Verdict) Verdict {
	if condition {
		return v
	}
	return Continue
}
