package admission

import (
	"slices"
	"time"
)

// ShareLender lends out deposited shares. Its exported fields are set before
// the first call. It is not safe for concurrent use.
type ShareLender struct {
	// Incarnation differs from that of each earlier start of this entry.
	Incarnation uint64
	// Lapse must be the same at all entries; zero means DefaultLapse.
	Lapse time.Duration

	epoch    time.Time
	holders  map[string]*reporter
	accounts map[string]*pot
}

// reporter is what is known of one holder.
type reporter struct {
	number uint64
	// until is when the deposits of its newest report end.
	until time.Time
	heard time.Time
}

// pot is one account's deposits and loans, by holder.
type pot map[string]*party

type party struct {
	deposit, want, quantum int64
	loans                  []loan
	// served is when the holder last got anything.
	served time.Time
}

type loan struct {
	units int64
	until time.Time
}

// lent returns the most that the holder may be using now. Replies can be
// lost, so that an older loan may be in use instead of the newest.
func (y *party) lent(now time.Time) int64 {
	var most int64
	live := y.loans[:0]
	for _, l := range y.loans {
		if l.until.After(now) {
			live = append(live, l)
			most = max(most, l.units)
		}
	}
	y.loans = live
	return most
}

func (l *ShareLender) init(now time.Time) {
	if l.holders != nil {
		return
	}
	l.epoch = now
	l.holders = make(map[string]*reporter)
	l.accounts = make(map[string]*pot)
	if l.Lapse <= 0 {
		l.Lapse = DefaultLapse
	}
}

// Report takes in a report and returns the reply to send back. A report that
// is doubled or overtaken by a newer one gets ok false and no reply.
func (l *ShareLender) Report(r ShareReport, now time.Time) (reply ShareReply, ok bool) {
	l.init(now)
	h := l.holders[r.Holder]
	if h == nil {
		h = &reporter{}
		l.holders[r.Holder] = h
	}
	if r.Number <= h.number {
		return ShareReply{}, false
	}
	h.number = r.Number
	h.heard = now
	h.until = l.promised(r.Echo)
	l.record(r)
	reply = ShareReply{Number: r.Number, Stamp: l.stamp(now)}
	for _, d := range r.Accounts {
		if g, ok := l.lend(r.Holder, d.Account, now); ok {
			reply.Grants = append(reply.Grants, g)
		}
	}
	reply.Wanted = l.wanted(now)
	return reply, true
}

func (l *ShareLender) stamp(now time.Time) ShareStamp {
	return ShareStamp{Incarnation: l.Incarnation, At: int64(now.Sub(l.epoch))}
}

// promised returns until when deposits of a report with this echo hold at the
// least. The stamp was given out before the promise was made. A stamp of an
// earlier incarnation says nothing on this clock.
func (l *ShareLender) promised(echo ShareStamp) time.Time {
	if echo.Incarnation != l.Incarnation {
		return time.Time{}
	}
	return l.epoch.Add(time.Duration(echo.At)).Add(l.Lapse)
}

// record replaces the holder's demands. Accounts that it no longer lists
// neither back nor ask for anything.
func (l *ShareLender) record(r ShareReport) {
	for _, p := range l.accounts {
		if y := (*p)[r.Holder]; y != nil {
			y.deposit, y.want = 0, 0
		}
	}
	for _, d := range r.Accounts {
		p := l.accounts[d.Account]
		if p == nil {
			p = &pot{}
			l.accounts[d.Account] = p
		}
		y := (*p)[r.Holder]
		if y == nil {
			y = &party{}
			(*p)[r.Holder] = y
		}
		y.deposit, y.want, y.quantum = max(0, d.Deposit), max(0, d.Want), max(1, d.Quantum)
	}
}

// lend decides what one holder is lent. All loans last equally long, so a
// later loan never ends before an earlier one, and it is enough that the
// deposits which outlast this loan cover all loans that are live now.
func (l *ShareLender) lend(holder, name string, now time.Time) (ShareGrant, bool) {
	p := *l.accounts[name]
	y := p[holder]
	if y.want <= 0 {
		return ShareGrant{}, false
	}
	term := l.Lapse / loansPerLapse
	backing, wants, others := l.sums(p, holder, now.Add(term), now)
	free := backing - others
	units := min(y.want, free)
	if wants > backing {
		units = min(units, l.portion(p, holder, backing, wants, free, now))
	}
	if units <= 0 {
		return ShareGrant{}, false
	}
	y.served = now
	y.loans = append(y.loans, loan{units, now.Add(term)})
	return ShareGrant{Account: name, Units: units, For: term}, true
}

// wanted returns the accounts that holders heard lately want more of.
func (l *ShareLender) wanted(now time.Time) []string {
	var names []string
	for account, p := range l.accounts {
		for holder, y := range *p {
			if y.want > 0 && now.Sub(l.holders[holder].heard) < l.Lapse {
				names = append(names, account)
				break
			}
		}
	}
	slices.Sort(names)
	return names
}

// sums returns the deposits that last until end, the wants of holders heard
// lately, and what the other holders may be using now.
func (l *ShareLender) sums(p pot, holder string, end, now time.Time) (backing, wants, others int64) {
	for name, y := range p {
		h := l.holders[name]
		if !h.until.Before(end) {
			backing += y.deposit
		}
		if now.Sub(h.heard) < l.Lapse {
			wants += y.want
		}
		if name != holder {
			others += y.lent(now)
		}
	}
	return backing, wants, others
}

// portion divides scarce deposits by demand. Less than a quantum is of no use
// to anyone: then whole quanta go to those who have waited longest.
func (l *ShareLender) portion(p pot, holder string, backing, wants, free int64, now time.Time) int64 {
	y := p[holder]
	part := int64(float64(backing) * float64(y.want) / float64(wants))
	if part >= y.quantum {
		return part - part%y.quantum
	}
	if free < y.quantum {
		return min(part, free)
	}
	for name, z := range p {
		waits := z.want > 0 && now.Sub(l.holders[name].heard) < l.Lapse
		if name != holder && waits && z.lent(now) == 0 && z.served.Before(y.served) {
			return 0
		}
	}
	return y.quantum
}

// Forget drops holders that have not reported for two lapses.
func (l *ShareLender) Forget(now time.Time) {
	for name, h := range l.holders {
		if now.Sub(h.heard) < 2*l.Lapse {
			continue
		}
		delete(l.holders, name)
		for account, p := range l.accounts {
			delete(*p, name)
			if len(*p) == 0 {
				delete(l.accounts, account)
			}
		}
	}
}
