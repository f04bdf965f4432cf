package frontend

import (
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/fleet/fleetpb"
	"github.com/hyssoprelay/hyssoprelay/internal/quarantine"
	"github.com/hyssoprelay/hyssoprelay/internal/relay"
)

func encodeCases(cases []quarantine.Case, now time.Time) []*fleetpb.PartCase {
	out := make([]*fleetpb.PartCase, 0, len(cases))
	for _, c := range cases {
		encoded := &fleetpb.PartCase{
			Part: c.Subject, Answered: agePlusOne(c.AnsweredAt, now), Asked: agePlusOne(c.AskedAt, now), Tried: agePlusOne(c.TriedAt, now),
			Ordered: agePlusOne(c.OrderedAt, now), Lifted: agePlusOne(c.LiftedAt, now), FailedTrials: uint32(c.FailedTrials),
			Completed: agePlusOne(c.CompletedAt, now),
		}
		for _, crash := range c.Crashes {
			encoded.Crashes = append(encoded.Crashes, &fleetpb.PartCrash{
				Endpoint: crash.Endpoint, Born: crash.Incarnation, Account: crash.Account,
				AgeMicros: ageMicros(crash.At, now), CallerLeftMicros: uint64(crash.CallerLeft.Microseconds()), Begun: crash.Begun, Request: crash.Request,
			})
		}
		out = append(out, encoded)
	}
	return out
}

// decodeCases returns the cases that another entry sent at a time, without those whose subject has no
// valid ID.
func decodeCases(cases []*fleetpb.PartCase, sent time.Time) []quarantine.Case {
	out := make([]quarantine.Case, 0, len(cases))
	for _, c := range cases {
		if !quarantine.ValidID(c.GetPart()) {
			continue
		}
		decoded := quarantine.Case{
			Subject: c.GetPart(), AnsweredAt: timeAgo(c.GetAnswered(), sent), AskedAt: timeAgo(c.GetAsked(), sent), TriedAt: timeAgo(c.GetTried(), sent),
			OrderedAt: timeAgo(c.GetOrdered(), sent), LiftedAt: timeAgo(c.GetLifted(), sent), FailedTrials: int(c.GetFailedTrials()),
			CompletedAt: timeAgo(c.GetCompleted(), sent),
		}
		for _, crash := range c.GetCrashes() {
			decoded.Crashes = append(decoded.Crashes, quarantine.Crash{
				Endpoint: crash.GetEndpoint(), Incarnation: crash.GetBorn(), Account: crash.GetAccount(),
				At: timeOfAge(crash.GetAgeMicros(), sent), CallerLeft: callerLeft(crash.GetCallerLeftMicros()), Begun: crash.GetBegun(), Request: crash.GetRequest(),
			})
		}
		out = append(out, decoded)
	}
	return out
}

// casesMessage is a message with cases of both kinds.
type casesMessage interface {
	GetCases() []*fleetpb.PartCase
	GetRequestCases() []*fleetpb.PartCase
}

// decodeBoth is decodeCases for all cases of a message.
func decodeBoth(m casesMessage, sent time.Time) relay.Cases {
	return relay.Cases{Parts: decodeCases(m.GetCases(), sent), Requests: decodeCases(m.GetRequestCases(), sent)}
}

// maxCallerLeft bounds the time that a message says a caller had left. It limits for how long a refused
// request waits for a trial.
const maxCallerLeft = 10 * time.Minute

func callerLeft(micros uint64) time.Duration {
	if micros > uint64(maxCallerLeft.Microseconds()) {
		return maxCallerLeft
	}
	return time.Duration(micros) * time.Microsecond
}

// agePlusOne returns how many microseconds ago t was, and one more, or zero if t is zero.
func agePlusOne(t, now time.Time) uint64 {
	if t.IsZero() {
		return 0
	}
	return ageMicros(t, now) + 1
}

// timeAgo is the reverse of agePlusOne.
func timeAgo(age uint64, now time.Time) time.Time {
	if age == 0 {
		return time.Time{}
	}
	return timeOfAge(age-1, now)
}
