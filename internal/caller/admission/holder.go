package admission

import (
	"math"
	"slices"
	"sort"
	"time"
)

// ShareHolder keeps the shares of one entry. Its exported fields are set
// before the first call. It is not safe for concurrent use.
type ShareHolder struct {
	// Entry is the name of the entry.
	Entry string
	// Entries is how many entries the data centre has at the most. It must be
	// the same at all entries of the data centre.
	Entries int
	// Lapse must be the same at all entries; zero means DefaultLapse.
	Lapse time.Duration
	// Number is the number of the last report; it is set to a value that
	// exceeds those of earlier starts, such as the wall clock in nanoseconds.
	Number uint64

	began    time.Time
	accounts map[string]*held
	lenders  map[string]*lenderLink
}

// lenderLink is the exchange with one lender.
type lenderLink struct {
	echo   ShareStamp
	number uint64
	sent   time.Time
	wanted []string
}

// held is the state of one account.
type held struct {
	limits   Limits
	want     int64
	promises []promise
	grant    loan
}

// promise is a deposit. Promises to one incarnation of a lender replace one
// another there, so the largest counts; those to different ones add up.
type promise struct {
	lender      string
	incarnation uint64
	units       int64
	until       time.Time
}

func (h *ShareHolder) init(now time.Time) {
	if h.accounts != nil {
		return
	}
	h.began = now
	h.accounts = make(map[string]*held)
	h.lenders = make(map[string]*lenderLink)
	if h.Lapse <= 0 {
		h.Lapse = DefaultLapse
	}
}

// ReportEvery returns how often a report should go to each lender. An account
// that comes into demand with no usable share is worth a report at once.
func (h *ShareHolder) ReportEvery() time.Duration {
	if h.Lapse <= 0 {
		return DefaultLapse / reportsPerLapse
	}
	return h.Lapse / reportsPerLapse
}

// Configure sets the accounts and their limits. Promises stay in force.
func (h *ShareHolder) Configure(limits []Limits, now time.Time) {
	h.init(now)
	listed := make(map[string]bool, len(limits))
	for _, l := range limits {
		listed[l.Account] = true
		a := h.accounts[l.Account]
		if a == nil {
			a = &held{}
			h.accounts[l.Account] = a
		}
		a.limits = l.withDefaults()
	}
	for name := range h.accounts {
		if !listed[name] {
			delete(h.accounts, name)
		}
	}
}

// Demand records what the account needs here: requests a second and requests
// open at once. The caller gives peaks of the last seconds.
func (h *ShareHolder) Demand(name string, rate float64, open int) {
	a := h.accounts[name]
	if a == nil {
		return
	}
	part := 0.0
	if a.limits.Rate > 0 {
		part = rate / a.limits.Rate
	}
	if a.limits.Concurrency > 0 {
		part = math.Max(part, float64(open)/float64(a.limits.Concurrency))
	}
	a.want = int64(math.Ceil(math.Min(part, 1) * WholeShare))
}

// quantum returns the part of one open request.
func (a *held) quantum() int64 {
	if a.limits.Concurrency <= 0 {
		return 1
	}
	n := int64(a.limits.Concurrency)
	return (WholeShare + n - 1) / n
}

// keep returns what an entry never deposits: a quarter of its entitlement, or
// one open request if that is more. It serves the first requests of an account
// that was idle here, before the lender has answered. An entitlement that holds
// no open request is deposited whole: its parts are of use only together.
func (a *held) keep(own int64) int64 {
	q := a.quantum()
	if own < q {
		return 0
	}
	return max(own/4, q)
}

// promised returns the units that are promised away, without those to the
// given incarnation of a lender.
func (a *held) promised(except promise, now time.Time) int64 {
	var sum int64
	live := a.promises[:0]
	for _, p := range a.promises {
		if p.until.After(now) {
			live = append(live, p)
		}
	}
	a.promises = live
	for i, p := range live {
		if p.lender == except.lender && p.incarnation == except.incarnation {
			continue
		}
		if largest(live, i) {
			sum += p.units
		}
	}
	return sum
}

// largest reports whether promise i is the largest to its lender, the first
// among equals.
func largest(ps []promise, i int) bool {
	p := ps[i]
	for j, q := range ps {
		if q.lender != p.lender || q.incarnation != p.incarnation {
			continue
		}
		if q.units > p.units || (q.units == p.units && j < i) {
			return false
		}
	}
	return true
}

// Usable returns the units of the account's limit that this entry may use now.
//
// An entry that has just started uses only what it never deposits until one
// lapse has passed: an earlier start of the same entry, or the one whose place
// it takes, may have promised the rest away.
func (h *ShareHolder) Usable(name string, now time.Time) int64 {
	a := h.accounts[name]
	if a == nil {
		return 0
	}
	own := entitlement(h.Entries)
	use := max(0, own-a.promised(promise{}, now))
	if now.Sub(h.began) < h.Lapse {
		use = min(use, a.keep(own))
	}
	if a.grant.until.After(now) {
		use += a.grant.units
	}
	return use
}

// Report makes the report for one lender. lenderOf says who lends an account;
// accounts of other lenders are left out.
func (h *ShareHolder) Report(lender string, lenderOf func(account string) string, now time.Time) ShareReport {
	h.init(now)
	l := h.lenders[lender]
	if l == nil {
		l = &lenderLink{}
		h.lenders[lender] = l
	}
	h.Number++
	l.number, l.sent = h.Number, now
	r := ShareReport{Holder: h.Entry, Number: h.Number, Echo: l.echo}
	for name, a := range h.accounts {
		// Whom an account belongs to costs a hash for each entry, so it is asked
		// last: of 12,000 accounts some are in demand.
		if h.lists(a, name, l) && lenderOf(name) == lender {
			r.Accounts = append(r.Accounts, h.demand(name, a, lender, l.echo, now))
		}
	}
	sort.Slice(r.Accounts, func(i, j int) bool { return r.Accounts[i].Account < r.Accounts[j].Account })
	return r
}

// lists reports whether an account belongs in a report.
func (h *ShareHolder) lists(a *held, name string, l *lenderLink) bool {
	return len(h.accounts) <= listAll || a.want > 0 || slices.Contains(l.wanted, name)
}

func (h *ShareHolder) demand(name string, a *held, lender string, echo ShareStamp, now time.Time) ShareDemand {
	own := entitlement(h.Entries)
	d := ShareDemand{Account: name, Quantum: a.quantum(), Want: max(0, a.want-own)}
	if d.Want > 0 && a.keep(own) == 0 {
		// Parts of places are of no use beside what is lent: all goes to the
		// lender and whole places come back.
		d.Want = a.want
	}
	if echo.Incarnation == 0 || now.Sub(h.began) < h.Lapse {
		return d
	}
	p := promise{lender: lender, incarnation: echo.Incarnation, until: now.Add(h.Lapse)}
	spare := own - max(a.keep(own), a.want)
	if d.Want > own {
		spare = own
	}
	p.units = min(spare, own-a.promised(p, now))
	if p.units > 0 {
		a.promises = append(a.promises, p)
		d.Deposit = p.units
	}
	return d
}

// Reply takes in a lender's reply. Only the reply to the newest report counts,
// because the moment of asking is known only for that one.
func (h *ShareHolder) Reply(lender string, r ShareReply) {
	l := h.lenders[lender]
	if l == nil || r.Number != l.number {
		return
	}
	l.echo = r.Stamp
	l.wanted = r.Wanted
	for _, g := range r.Grants {
		if a := h.accounts[g.Account]; a != nil {
			a.grant = loan{g.Units, l.sent.Add(g.For)}
		}
	}
}
