package admission

import (
	"slices"
	"time"
)

// ShareLender lends deposited shares to entries that need them. The exported
// fields must be set before the first call. It is not safe for concurrent use.
type ShareLender struct {
	// Incarnation must differ between starts of this entry. It must not be
	// zero, because a zero stamp in a report means that the holder has none.
	Incarnation uint64
	// DepositTTL is how long a deposit lasts. It must be the same at all
	// entries; zero means DefaultDepositTTL.
	DepositTTL time.Duration

	epoch    time.Time
	holders  map[string]*holderState
	accounts map[string]*accountShares
}

// holderState is the state of one holder.
type holderState struct {
	// lastSequence is the sequence number of the newest report of the holder.
	lastSequence uint64
	// depositsUntil is when the deposits of the newest report expire.
	depositsUntil time.Time
	lastReport    time.Time
}

// accountShares holds the deposits and loans of one account by holder.
type accountShares map[string]*holderShare

// holderShare is the state of one account at one holder.
type holderShare struct {
	deposit, want, quantum int64
	loans                  []loan
	// lastGrant is when the holder last received a grant.
	lastGrant time.Time
}

// loan is a number of units lent to a holder until a point in time.
type loan struct {
	units int64
	until time.Time
}

// outstanding returns the maximum number of units that the holder may be
// borrowing now. If a reply was lost, an older loan may be in use in place of
// the newest.
func (s *holderShare) outstanding(now time.Time) int64 {
	var largest int64
	live := s.loans[:0]
	for _, l := range s.loans {
		if l.until.After(now) {
			live = append(live, l)
			largest = max(largest, l.units)
		}
	}
	s.loans = live
	return largest
}

func (l *ShareLender) init(now time.Time) {
	if l.holders != nil {
		return
	}
	l.epoch = now
	l.holders = make(map[string]*holderState)
	l.accounts = make(map[string]*accountShares)
	if l.DepositTTL <= 0 {
		l.DepositTTL = DefaultDepositTTL
	}
}

// Report processes a report and returns the reply to send. For a report that is
// a duplicate or older than one already processed, ok is false and there is no
// reply.
func (l *ShareLender) Report(r ShareReport, now time.Time) (reply ShareReply, ok bool) {
	l.init(now)
	h := l.holders[r.Holder]
	if h == nil {
		h = &holderState{}
		l.holders[r.Holder] = h
	}
	if r.Sequence <= h.lastSequence {
		return ShareReply{}, false
	}
	h.lastSequence = r.Sequence
	h.lastReport = now
	h.depositsUntil = l.depositExpiry(r.Echo)
	l.recordDemand(r)
	reply = ShareReply{Sequence: r.Sequence, Stamp: l.stamp(now)}
	for _, d := range r.Accounts {
		if g, ok := l.grant(r.Holder, d.Account, now); ok {
			reply.Grants = append(reply.Grants, g)
		}
	}
	reply.Wanted = l.accountsInDemand(now)
	return reply, true
}

func (l *ShareLender) stamp(now time.Time) ShareStamp {
	return ShareStamp{Incarnation: l.Incarnation, At: int64(now.Sub(l.epoch))}
}

// depositExpiry returns the earliest time at which the deposits of a report
// with this echo expire: the stamp was issued before the deposits were made. It
// returns the zero time for a stamp of another incarnation, which cannot be
// converted to this lender's clock.
func (l *ShareLender) depositExpiry(echo ShareStamp) time.Time {
	if echo.Incarnation != l.Incarnation {
		return time.Time{}
	}
	return l.epoch.Add(time.Duration(echo.At)).Add(l.DepositTTL)
}

// recordDemand replaces the deposits and demand of a holder. Accounts missing
// from the report have neither.
func (l *ShareLender) recordDemand(r ShareReport) {
	for _, shares := range l.accounts {
		if s := (*shares)[r.Holder]; s != nil {
			s.deposit, s.want = 0, 0
		}
	}
	for _, d := range r.Accounts {
		shares := l.accounts[d.Account]
		if shares == nil {
			shares = &accountShares{}
			l.accounts[d.Account] = shares
		}
		s := (*shares)[r.Holder]
		if s == nil {
			s = &holderShare{}
			(*shares)[r.Holder] = s
		}
		s.deposit, s.want, s.quantum = max(0, d.Deposit), max(0, d.Want), max(1, d.Quantum)
	}
}

// grant decides what to lend to one holder. All loans have the same term, so a
// later loan never ends before an earlier one, and it is sufficient that the
// deposits that outlast this loan cover all loans that are live now.
func (l *ShareLender) grant(holder, name string, now time.Time) (ShareGrant, bool) {
	shares := *l.accounts[name]
	s := shares[holder]
	if s.want <= 0 {
		return ShareGrant{}, false
	}
	term := l.DepositTTL / loansPerTTL
	deposited, wanted, lentToOthers := l.totals(shares, holder, now.Add(term), now)
	free := deposited - lentToOthers
	units := min(s.want, free)
	if wanted > deposited {
		units = min(units, l.proportionalShare(shares, holder, deposited, wanted, free, now))
	}
	if units <= 0 {
		return ShareGrant{}, false
	}
	s.lastGrant = now
	s.loans = append(s.loans, loan{units, now.Add(term)})
	return ShareGrant{Account: name, Units: units, Term: term}, true
}

// accountsInDemand returns the sorted names of the accounts that at least one
// holder asks to borrow. Only holders that have reported within the last
// DepositTTL count.
func (l *ShareLender) accountsInDemand(now time.Time) []string {
	var names []string
	for account, shares := range l.accounts {
		for holder, s := range *shares {
			if s.want > 0 && now.Sub(l.holders[holder].lastReport) < l.DepositTTL {
				names = append(names, account)
				break
			}
		}
	}
	slices.Sort(names)
	return names
}

// totals returns three sums over one account: the deposits that last at least
// until end, the demand of holders that reported within the last DepositTTL, and
// the units that holders other than holder may be borrowing now.
func (l *ShareLender) totals(shares accountShares, holder string, end, now time.Time) (deposited, wanted, lentToOthers int64) {
	for name, s := range shares {
		h := l.holders[name]
		if !h.depositsUntil.Before(end) {
			deposited += s.deposit
		}
		if now.Sub(h.lastReport) < l.DepositTTL {
			wanted += s.want
		}
		if name != holder {
			lentToOthers += s.outstanding(now)
		}
	}
	return deposited, wanted, lentToOthers
}

// proportionalShare divides scarce deposits in proportion to demand. Less than
// a quantum is of no use to any holder; if the share is smaller, whole quanta
// go to the holders that have waited longest. If less than a quantum is free, it
// returns the share, but at most free.
func (l *ShareLender) proportionalShare(shares accountShares, holder string, deposited, wanted, free int64, now time.Time) int64 {
	s := shares[holder]
	units := int64(float64(deposited) * float64(s.want) / float64(wanted))
	if units >= s.quantum {
		return units - units%s.quantum
	}
	if free < s.quantum {
		return min(units, free)
	}
	for name, other := range shares {
		waiting := other.want > 0 && now.Sub(l.holders[name].lastReport) < l.DepositTTL
		if name != holder && waiting && other.outstanding(now) == 0 && other.lastGrant.Before(s.lastGrant) {
			return 0
		}
	}
	return s.quantum
}

// Forget removes holders that have not reported for twice DepositTTL.
func (l *ShareLender) Forget(now time.Time) {
	for name, h := range l.holders {
		if now.Sub(h.lastReport) < 2*l.DepositTTL {
			continue
		}
		delete(l.holders, name)
		for account, shares := range l.accounts {
			delete(*shares, name)
			if len(*shares) == 0 {
				delete(l.accounts, account)
			}
		}
	}
}
