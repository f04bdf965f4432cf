package entry

import (
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/caller/admission"
	"github.com/hyssoprelay/hyssoprelay/internal/peer/peerpb"
)

func shareReportTo(r admission.ShareReport, e *Entry) *peerpb.ShareReport {
	m := &peerpb.ShareReport{
		Hlc:             uint64(e.clock.Next(e.now())),
		Holder:          r.Holder,
		Number:          r.Sequence,
		EchoIncarnation: r.Echo.Incarnation,
		EchoAt:          r.Echo.At,
	}
	for _, a := range r.Accounts {
		m.Accounts = append(m.Accounts, &peerpb.ShareDemand{
			Account: a.Account, Deposit: a.Deposit, Want: a.Want, Quantum: a.Quantum,
		})
	}
	return m
}

func shareReportFrom(m *peerpb.ShareReport) admission.ShareReport {
	r := admission.ShareReport{
		Holder:   m.GetHolder(),
		Sequence: m.GetNumber(),
		Echo:     admission.ShareStamp{Incarnation: m.GetEchoIncarnation(), At: m.GetEchoAt()},
	}
	for _, a := range m.GetAccounts() {
		r.Accounts = append(r.Accounts, admission.ShareDemand{
			Account: a.GetAccount(), Deposit: a.GetDeposit(), Want: a.GetWant(), Quantum: a.GetQuantum(),
		})
	}
	return r
}

func shareReplyTo(r admission.ShareReply) *peerpb.ShareReply {
	m := &peerpb.ShareReply{
		Number:           r.Sequence,
		StampIncarnation: r.Stamp.Incarnation,
		StampAt:          r.Stamp.At,
		Wanted:           r.Wanted,
	}
	for _, g := range r.Grants {
		m.Grants = append(m.Grants, &peerpb.ShareGrant{
			Account: g.Account, Units: g.Units, ForMicros: g.Term.Microseconds(),
		})
	}
	return m
}

func shareReplyFrom(m *peerpb.ShareReply) admission.ShareReply {
	r := admission.ShareReply{
		Sequence: m.GetNumber(),
		Stamp:    admission.ShareStamp{Incarnation: m.GetStampIncarnation(), At: m.GetStampAt()},
		Wanted:   m.GetWanted(),
	}
	for _, g := range m.GetGrants() {
		r.Grants = append(r.Grants, admission.ShareGrant{
			Account: g.GetAccount(), Units: g.GetUnits(), Term: time.Duration(g.GetForMicros()) * time.Microsecond,
		})
	}
	return r
}
