package frontend

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/hyssoprelay/hyssoprelay/internal/boottime"
	"github.com/hyssoprelay/hyssoprelay/internal/fleet"
	"github.com/hyssoprelay/hyssoprelay/internal/fleet/fanout"
	"github.com/hyssoprelay/hyssoprelay/internal/fleet/fleetpb"
	"github.com/hyssoprelay/hyssoprelay/internal/quarantine"
	"github.com/hyssoprelay/hyssoprelay/internal/relay"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

const (
	// casesInterval is the time between two exchanges of cases, and the timeout of each. They reach the
	// entries that missed the messages about a change: those that were cut off.
	casesInterval = time.Second
	// firstCasesInterval is the first interval after the start. It doubles up to casesInterval.
	firstCasesInterval = 50 * time.Millisecond
)

// logPartChange logs a change of what is held against a part of prompts.
func (f *Frontend) logPartChange(c quarantine.Change, from string, now time.Time) {
	switch c := c.(type) {
	case quarantine.Suspected:
		f.caseLog("part", c.Case, from, now).Info("prompt part suspected")
	case quarantine.Refused:
		f.caseLog("part", c.Case, from, now).Warn("prompt part refused from now on")
	case quarantine.Cleared:
		f.caseLog("part", c.Case, from, now).Warn("prompt part cleared")
	case quarantine.Tried:
		f.caseLog("part", c.Case, from, now).Info("request with refused prompt part let through as a trial")
	}
}

// logRequestChange logs a change of what is held against a request.
func (f *Frontend) logRequestChange(c quarantine.Change, from string, now time.Time) {
	switch c := c.(type) {
	case quarantine.Suspected:
		f.caseLog("fingerprint", c.Case, from, now).Info("request suspected of ending endpoints")
	case quarantine.Refused:
		f.caseLog("fingerprint", c.Case, from, now).Warn("request refused from now on")
	case quarantine.Cleared:
		f.caseLog("fingerprint", c.Case, from, now).Info("request cleared")
	case quarantine.Tried:
		f.caseLog("fingerprint", c.Case, from, now).Info("refused request let through as a trial")
	}
}

// caseLog returns the log fields of a case, with its subject under the given name.
func (f *Frontend) caseLog(subject string, c quarantine.Case, from string, now time.Time) *logrus.Entry {
	var endpoints, accounts []string
	for _, crash := range c.Crashes {
		endpoints = append(endpoints, crash.Endpoint)
		if !slices.Contains(accounts, crash.Account) {
			accounts = append(accounts, crash.Account)
		}
	}
	fields := logrus.Fields{subject: c.Subject, "crashes": len(c.Crashes), "endpoints": endpoints, "accounts": accounts}
	if from != "" {
		fields["entry"] = from
	}
	if n := len(c.Crashes); n > 0 {
		fields["firstAge"], fields["lastAge"] = now.Sub(c.Crashes[0].At).Milliseconds(), now.Sub(c.Crashes[n-1].At).Milliseconds()
	}
	if !c.AnsweredAt.IsZero() {
		fields["answeredAge"] = now.Sub(c.AnsweredAt).Milliseconds()
	}
	if !c.CompletedAt.IsZero() {
		fields["completedAge"] = now.Sub(c.CompletedAt).Milliseconds()
	}
	return f.Log.WithFields(fields)
}

// receiveCases merges the cases in another entry's report.
func (f *Frontend) receiveCases(e *fleetpb.EntryWork, now time.Time) {
	if len(e.GetCases()) == 0 && len(e.GetRequestCases()) == 0 {
		return
	}
	sent := timeOfAge(e.GetAgeMicros(), now)
	f.state.MergeCases(decodeBoth(e, sent), e.GetName(), now)
}

// exchangeCases exchanges all cases with one other entry at a time, as long as this entry knows any,
// until ctx is done. An entry that has started asks another one in any case.
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
		if asked && cases.Empty() {
			continue
		}
		if m, ok := f.anyOther(); ok {
			asked = f.exchangeCasesWith(ctx, m, cases) || asked
		}
	}
}

// anyOther returns another entry, selected at random, or false if none is known.
func (f *Frontend) anyOther() (fleet.Member, bool) {
	others := f.otherEntries()
	if len(others) == 0 {
		return fleet.Member{}, false
	}
	return others[rand.IntN(len(others))], true
}

// exchangeCasesWith exchanges cases with another entry and reports whether it answered.
func (f *Frontend) exchangeCasesWith(ctx context.Context, m fleet.Member, cases relay.Cases) bool {
	conn, err := f.peerConns.Get(m.Address)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, casesInterval)
	defer cancel()
	now := boottime.Now()
	q := &fleetpb.PartsRequest{Cases: encodeCases(cases.Parts, now), RequestCases: encodeCases(cases.Requests, now)}
	reply, err := fleetpb.NewEntryClient(conn).Parts(ctx, q)
	if err != nil {
		f.Log.WithFields(logrus.Fields{"entry": m.Name, "cause": err.Error()}).Debug("cases not exchanged")
		return false
	}
	now = boottime.Now()
	f.state.MergeCases(decodeBoth(reply, now), m.Name, now)
	return true
}

// Parts implements fleetpb.EntryServer.
func (s *service) Parts(_ context.Context, q *fleetpb.PartsRequest) (*fleetpb.PartsReply, error) {
	st, now := s.frontend.state, boottime.Now()
	if o := q.GetOrder(); o != nil && !quarantine.ValidID(o.GetPart()) {
		return nil, status.Error(codes.InvalidArgument, result.New(result.MalformedOrder, "part").Error())
	}
	told := decodeBoth(q, now)
	st.MergeCases(told, "", now)
	if o := q.GetOrder(); o != nil && o.GetRequest() {
		st.OrderRequest(o.GetPart(), o.GetRefuse(), now)
	} else if o != nil {
		st.OrderPart(o.GetPart(), o.GetRefuse(), now)
	}
	return s.frontend.partsReply(st.ReplyToCases(told), now), nil
}

// partsReply returns cases with whether this entry refuses their subjects.
func (f *Frontend) partsReply(cases relay.Cases, now time.Time) *fleetpb.PartsReply {
	reply := &fleetpb.PartsReply{Cases: encodeCases(cases.Parts, now), RequestCases: encodeCases(cases.Requests, now)}
	for _, c := range reply.GetCases() {
		c.Refused = f.state.PartRefused(c.GetPart(), now)
	}
	for _, c := range reply.GetRequestCases() {
		c.Refused = f.state.RequestRefused(c.GetPart(), now)
	}
	return reply
}

// reportCases adds the cases that this entry has just changed to a report of its work. In a larger fleet
// a request under which one endpoint ended is reported to nobody but the entry that it selects: when many
// endpoints fail, there is one for each request that they had.
func (f *Frontend) reportCases(w *fleetpb.EntryWork, now time.Time) {
	cases := f.state.RecentCases(now)
	if f.members.count() > fanout.MaxDirectEntries {
		cases.Requests = slices.DeleteFunc(cases.Requests, func(c quarantine.Case) bool {
			return len(c.Crashes) > 0 && len(c.Crashes) < quarantine.CrashesToShare
		})
	}
	w.Cases, w.RequestCases = encodeCases(cases.Parts, now), encodeCases(cases.Requests, now)
}
