package admission

import (
	"math"
	"slices"
	"sort"
	"time"
)

// ShareHolder manages the shares of one entry. The exported fields must be set
// before the first call. It is not safe for concurrent use.
type ShareHolder struct {
	// Entry is the name of the entry.
	Entry string
	// Entries is the maximum number of entries in the data centre. It must be
	// the same at all entries of the data centre.
	Entries int
	// DepositTTL is how long a deposit lasts. It must be the same at all
	// entries; zero means DefaultDepositTTL.
	DepositTTL time.Duration
	// Sequence is the sequence number of the last report. It must start above
	// those of earlier starts of the entry, for example at the wall clock time
	// in nanoseconds.
	Sequence uint64

	startedAt time.Time
	accounts  map[string]*holderAccount
	lenders   map[string]*lenderState
}

// lenderState is the state of the exchange with one lender.
type lenderState struct {
	// echo is the newest stamp received from the lender.
	echo ShareStamp
	// lastSequence and sentAt are the sequence number and the sending time of
	// the newest report to the lender.
	lastSequence uint64
	sentAt       time.Time
	// wanted is ShareReply.Wanted of the last reply.
	wanted []string
}

// holderAccount is the state of one account.
type holderAccount struct {
	limits Limits
	// want is the demand at this entry in units, at most ShareUnits.
	want     int64
	deposits []deposit
	loan     loan
}

// deposit is a number of units that the holder has promised to a lender not to
// use. A newer deposit with the same incarnation of a lender replaces the older
// one there, so that only the largest counts; deposits with different
// incarnations add up.
type deposit struct {
	lender      string
	incarnation uint64
	units       int64
	until       time.Time
}

func (h *ShareHolder) init(now time.Time) {
	if h.accounts != nil {
		return
	}
	h.startedAt = now
	h.accounts = make(map[string]*holderAccount)
	h.lenders = make(map[string]*lenderState)
	if h.DepositTTL <= 0 {
		h.DepositTTL = DefaultDepositTTL
	}
}

// ReportInterval returns the interval between reports to each lender. An
// account without a usable share that comes into demand should be reported at
// once.
func (h *ShareHolder) ReportInterval() time.Duration {
	if h.DepositTTL <= 0 {
		return DefaultDepositTTL / reportsPerTTL
	}
	return h.DepositTTL / reportsPerTTL
}

// Configure sets the accounts and their limits. Deposits of accounts that
// remain listed stay in force.
func (h *ShareHolder) Configure(limits []Limits, now time.Time) {
	h.init(now)
	listed := make(map[string]bool, len(limits))
	for _, l := range limits {
		listed[l.Account] = true
		a := h.accounts[l.Account]
		if a == nil {
			a = &holderAccount{}
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

// Demand records what the account needs at this entry: requests per second and
// concurrently open requests. Both should be the peaks of the last seconds.
func (h *ShareHolder) Demand(name string, rate float64, open int) {
	a := h.accounts[name]
	if a == nil {
		return
	}
	fraction := 0.0
	if a.limits.Rate > 0 {
		fraction = rate / a.limits.Rate
	}
	if a.limits.Concurrency > 0 {
		fraction = math.Max(fraction, float64(open)/float64(a.limits.Concurrency))
	}
	a.want = int64(math.Ceil(math.Min(fraction, 1) * ShareUnits))
}

// quantum returns the units that correspond to one open request.
func (a *holderAccount) quantum() int64 {
	if a.limits.Concurrency <= 0 {
		return 1
	}
	n := int64(a.limits.Concurrency)
	return (ShareUnits + n - 1) / n
}

// reserve returns the units that an entry retains when it deposits what it does
// not need: a quarter of its entitlement, or one open request if that is more.
// The reserve serves the first requests of an account that was idle at this
// entry until the lender replies. An entitlement below one open request is
// deposited whole, because a fraction of a request is of no use alone. If the
// holder asks to borrow more than its entitlement, accountDemand deposits the
// reserve as well.
func (a *holderAccount) reserve(entitled int64) int64 {
	q := a.quantum()
	if entitled < q {
		return 0
	}
	return max(entitled/4, q)
}

// deposited returns the sum of the units in live deposits, except those with
// the lender and incarnation of except. It drops expired deposits.
func (a *holderAccount) deposited(except deposit, now time.Time) int64 {
	var sum int64
	live := a.deposits[:0]
	for _, d := range a.deposits {
		if d.until.After(now) {
			live = append(live, d)
		}
	}
	a.deposits = live
	for i, d := range live {
		if d.lender == except.lender && d.incarnation == except.incarnation {
			continue
		}
		if isLargest(live, i) {
			sum += d.units
		}
	}
	return sum
}

// isLargest reports whether deposit i is the largest with its lender and
// incarnation, or the first among equals.
func isLargest(deposits []deposit, i int) bool {
	d := deposits[i]
	for j, other := range deposits {
		if other.lender != d.lender || other.incarnation != d.incarnation {
			continue
		}
		if other.units > d.units || (other.units == d.units && j < i) {
			return false
		}
	}
	return true
}

// Usable returns the units of the account's limit that this entry may use now.
//
// For one DepositTTL after its start, an entry uses only its reserve: an
// earlier incarnation of the entry, or the entry that it replaces, may have
// deposited the rest.
func (h *ShareHolder) Usable(name string, now time.Time) int64 {
	a := h.accounts[name]
	if a == nil {
		return 0
	}
	entitled := entitlement(h.Entries)
	usable := max(0, entitled-a.deposited(deposit{}, now))
	if now.Sub(h.startedAt) < h.DepositTTL {
		usable = min(usable, a.reserve(entitled))
	}
	if a.loan.until.After(now) {
		usable += a.loan.units
	}
	return usable
}

// Report creates the report for one lender. lenderOf returns the lender of an
// account; accounts of other lenders are left out.
func (h *ShareHolder) Report(lender string, lenderOf func(account string) string, now time.Time) ShareReport {
	h.init(now)
	l := h.lenders[lender]
	if l == nil {
		l = &lenderState{}
		h.lenders[lender] = l
	}
	h.Sequence++
	l.lastSequence, l.sentAt = h.Sequence, now
	r := ShareReport{Holder: h.Entry, Sequence: h.Sequence, Echo: l.echo}
	for name, a := range h.accounts {
		// lenderOf computes one hash per entry, so it is called only for the
		// accounts that are included: of 12,000 accounts, only some are in
		// demand.
		if h.included(a, name, l) && lenderOf(name) == lender {
			r.Accounts = append(r.Accounts, h.accountDemand(name, a, lender, l.echo, now))
		}
	}
	sort.Slice(r.Accounts, func(i, j int) bool { return r.Accounts[i].Account < r.Accounts[j].Account })
	return r
}

// included reports whether a report to the lender l lists an account. See
// listAllMax.
func (h *ShareHolder) included(a *holderAccount, name string, l *lenderState) bool {
	return len(h.accounts) <= listAllMax || a.want > 0 || slices.Contains(l.wanted, name)
}

// accountDemand creates the part of a report about one account and records its
// deposit in a. There is no deposit until the lender has sent a stamp and one
// DepositTTL has passed since the start of the entry.
func (h *ShareHolder) accountDemand(name string, a *holderAccount, lender string, echo ShareStamp, now time.Time) ShareDemand {
	entitled := entitlement(h.Entries)
	d := ShareDemand{Account: name, Quantum: a.quantum(), Want: max(0, a.want-entitled)}
	if d.Want > 0 && a.reserve(entitled) == 0 {
		// An entitlement below one quantum adds nothing useful to a loan of
		// whole quanta: deposit all of it and borrow the whole demand.
		d.Want = a.want
	}
	if echo.Incarnation == 0 || now.Sub(h.startedAt) < h.DepositTTL {
		return d
	}
	newDeposit := deposit{lender: lender, incarnation: echo.Incarnation, until: now.Add(h.DepositTTL)}
	spare := entitled - max(a.reserve(entitled), a.want)
	if d.Want > entitled {
		spare = entitled
	}
	newDeposit.units = min(spare, entitled-a.deposited(newDeposit, now))
	if newDeposit.units > 0 {
		a.deposits = append(a.deposits, newDeposit)
		d.Deposit = newDeposit.units
	}
	return d
}

// Reply processes a lender's reply. Only the reply to the newest report counts,
// because only the sending time of that report is known.
func (h *ShareHolder) Reply(lender string, r ShareReply) {
	l := h.lenders[lender]
	if l == nil || r.Sequence != l.lastSequence {
		return
	}
	l.echo = r.Stamp
	l.wanted = r.Wanted
	for _, g := range r.Grants {
		if a := h.accounts[g.Account]; a != nil {
			a.loan = loan{g.Units, l.sentAt.Add(g.Term)}
		}
	}
}
