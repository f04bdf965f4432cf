package frontend

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/hyssoprelay/hyssoprelay/internal/boottime"
	"github.com/hyssoprelay/hyssoprelay/internal/fleet"
	"github.com/hyssoprelay/hyssoprelay/internal/fleet/fleetpb"
	"github.com/hyssoprelay/hyssoprelay/internal/quarantine"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

const (
	// casesInterval is the time between two exchanges of cases against parts of prompts, and the
	// timeout of each. They reach the entries that missed the messages about a change: those that
	// were cut off.
	casesInterval = time.Second
	// firstCasesInterval is the first interval after the start. It doubles up to casesInterval.
	firstCasesInterval = 50 * time.Millisecond
)

// logPartChange logs a change of what is held against a part of prompts.
func (f *Frontend) logPartChange(c quarantine.Change, from string, now time.Time) {
	switch c := c.(type) {
	case quarantine.Suspected:
		f.partLog(c.Case, from, now).Info("prompt part suspected")
	case quarantine.Refused:
		f.partLog(c.Case, from, now).Warn("prompt part refused from now on")
	case quarantine.Cleared:
		f.partLog(c.Case, from, now).Warn("prompt part cleared")
	case quarantine.Tried:
		f.partLog(c.Case, from, now).Info("request with refused prompt part let through as a trial")
	}
}

// partLog returns the log fields of a case.
func (f *Frontend) partLog(c quarantine.Case, from string, now time.Time) *logrus.Entry {
	var endpoints, accounts []string
	for _, crash := range c.Crashes {
		endpoints = append(endpoints, crash.Endpoint)
		if !slices.Contains(accounts, crash.Account) {
			accounts = append(accounts, crash.Account)
		}
	}
	fields := logrus.Fields{"part": c.Part, "crashes": len(c.Crashes), "endpoints": endpoints, "accounts": accounts}
	if from != "" {
		fields["entry"] = from
	}
	if n := len(c.Crashes); n > 0 {
		fields["firstAge"], fields["lastAge"] = now.Sub(c.Crashes[0].At).Milliseconds(), now.Sub(c.Crashes[n-1].At).Milliseconds()
	}
	if !c.AnsweredAt.IsZero() {
		fields["answeredAge"] = now.Sub(c.AnsweredAt).Milliseconds()
	}
	return f.Log.WithFields(fields)
}

// receiveCases merges the cases in another entry's report.
func (f *Frontend) receiveCases(e *fleetpb.EntryWork, now time.Time) {
	if len(e.GetCases()) == 0 {
		return
	}
	f.state.MergeCases(decodeCases(e.GetCases(), timeOfAge(e.GetAgeMicros(), now)), e.GetName(), now)
}

// exchangeCases exchanges all cases against parts of prompts with one other entry at a time, as long
// as this entry knows any, until ctx is done. An entry that has started asks another one in any case.
func (f *Frontend) exchangeCases(ctx context.Context) error {
	asked := false
	for interval := firstCasesInterval; ; interval = min(2*interval, casesInterval) {
		timer := time.NewTimer(interval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C:
		}
		cases := f.state.Cases()
		if asked && len(cases) == 0 {
			continue
		}
		if m, ok := f.anyOther(); ok {
			asked = f.exchangeCasesWith(ctx, m, cases) || asked
		}
	}
}

// anyOther returns another entry, selected at random, or false if none is known.
func (f *Frontend) anyOther() (fleet.Member, bool) {
	for name, m := range f.members.all() {
		if name != f.Settings.Name {
			return m, true // the order of map iteration is random
		}
	}
	return fleet.Member{}, false
}

// exchangeCasesWith exchanges cases with another entry and reports whether it answered.
func (f *Frontend) exchangeCasesWith(ctx context.Context, m fleet.Member, cases []quarantine.Case) bool {
	conn, err := f.peerConns.Get(m.Address)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, casesInterval)
	defer cancel()
	reply, err := fleetpb.NewEntryClient(conn).Parts(ctx, &fleetpb.PartsRequest{Cases: encodeCases(cases, boottime.Now())})
	if err != nil {
		f.Log.WithFields(logrus.Fields{"entry": m.Name, "cause": err.Error()}).Debug("cases not exchanged")
		return false
	}
	now := boottime.Now()
	f.state.MergeCases(decodeCases(reply.GetCases(), now), m.Name, now)
	return true
}

// Parts implements fleetpb.EntryServer.
func (s *service) Parts(_ context.Context, q *fleetpb.PartsRequest) (*fleetpb.PartsReply, error) {
	st, now := s.frontend.state, boottime.Now()
	if o := q.GetOrder(); o != nil && !quarantine.ValidPart(o.GetPart()) {
		return nil, status.Error(codes.InvalidArgument, result.New(result.MalformedOrder, "part").Error())
	}
	told := decodeCases(q.GetCases(), now)
	st.MergeCases(told, "", now)
	if o := q.GetOrder(); o != nil {
		st.OrderPart(o.GetPart(), o.GetRefuse(), now)
	}
	cases := encodeCases(st.ReplyToCases(told), now)
	for _, c := range cases {
		c.Refused = st.PartRefused(c.GetPart(), now)
	}
	return &fleetpb.PartsReply{Cases: cases}, nil
}

func encodeCases(cases []quarantine.Case, now time.Time) []*fleetpb.PartCase {
	out := make([]*fleetpb.PartCase, 0, len(cases))
	for _, c := range cases {
		encoded := &fleetpb.PartCase{
			Part: c.Part, Answered: agePlusOne(c.AnsweredAt, now), Asked: agePlusOne(c.AskedAt, now), Tried: agePlusOne(c.TriedAt, now),
			Ordered: agePlusOne(c.OrderedAt, now), Lifted: agePlusOne(c.LiftedAt, now),
		}
		for _, crash := range c.Crashes {
			encoded.Crashes = append(encoded.Crashes, &fleetpb.PartCrash{
				Endpoint: crash.Endpoint, Born: crash.Incarnation, Account: crash.Account,
				AgeMicros: ageMicros(crash.At, now),
			})
		}
		out = append(out, encoded)
	}
	return out
}

// decodeCases returns the cases that another entry sent at a time, without those whose part has no
// valid ID.
func decodeCases(cases []*fleetpb.PartCase, sent time.Time) []quarantine.Case {
	out := make([]quarantine.Case, 0, len(cases))
	for _, c := range cases {
		if !quarantine.ValidPart(c.GetPart()) {
			continue
		}
		decoded := quarantine.Case{
			Part: c.GetPart(), AnsweredAt: timeAgo(c.GetAnswered(), sent), AskedAt: timeAgo(c.GetAsked(), sent), TriedAt: timeAgo(c.GetTried(), sent),
			OrderedAt: timeAgo(c.GetOrdered(), sent), LiftedAt: timeAgo(c.GetLifted(), sent),
		}
		for _, crash := range c.GetCrashes() {
			decoded.Crashes = append(decoded.Crashes, quarantine.Crash{
				Endpoint: crash.GetEndpoint(), Incarnation: crash.GetBorn(), Account: crash.GetAccount(),
				At: timeOfAge(crash.GetAgeMicros(), sent),
			})
		}
		out = append(out, decoded)
	}
	return out
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
