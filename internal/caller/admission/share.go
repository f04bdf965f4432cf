package admission

import "time"

// Shares divide the limits of one account over the entries of a data centre.
//
// Each entry is entitled to one part in Entries of each limit. What it does
// not need it deposits with the account's lender, which is the entry that
// Lender chooses, and the lender lends the deposits to entries with more
// demand. An entry uses its entitlement less what it has promised away plus
// what it has been lent.
//
// The sum of what all entries use never exceeds the limit, whatever messages
// are lost, late or doubled, and also when entries disagree for a while on who
// the lender is: a share is used by its owner or lent on, never both. A
// deposit is a promise not to use a part for Lapse from the moment of the
// report. The report echoes the lender's newest stamp, so the lender knows
// that the promise lasts at least until the stamp plus Lapse on its own clock,
// however long the report travelled. A grant ends before the promises that
// back it and counts, at the borrower, from when it asked. Clocks need to run
// at the same rate but need not show the same time.
//
// Without the lender, deposits and grants lapse and each entry falls back to
// its entitlement.

// WholeShare is the whole of an account's limit. It has many divisors, so that
// small concurrency limits divide without a remainder.
const WholeShare = 720720

// DefaultLapse is how long a deposit holds. A shorter one frees the shares of
// a lost lender sooner; a longer one needs fewer reports.
const DefaultLapse = 3 * time.Second

const (
	// reportsPerLapse is how often a holder should report: a loan lasts for
	// three reports, so that two in a row may be lost.
	reportsPerLapse = 6
	// loansPerLapse divides the lapse into the duration of a loan.
	loansPerLapse = 2
	// listAll is how many accounts a report lists whether they are in demand
	// or not. With more accounts than this, an idle one is listed only after
	// its lender has asked for it, so that reports grow with the accounts in
	// use and not with those in the preset.
	listAll = 64
)

// ShareStamp is a moment on a lender's clock.
type ShareStamp struct {
	// Incarnation changes with each start of the lender.
	Incarnation uint64
	// At is nanoseconds since the lender's own epoch.
	At int64
}

// ShareDemand is one account's part of a report, in units of WholeShare.
type ShareDemand struct {
	Account string
	// Deposit is what the holder promises not to use.
	Deposit int64
	// Want is what it wants to be lent.
	Want int64
	// Quantum is the least useful part: that of one open request.
	Quantum int64
}

// ShareReport goes from a holder to a lender.
type ShareReport struct {
	Holder string
	// Number grows with each report of the holder, also over its restarts.
	Number uint64
	// Echo is the newest stamp that the holder has from this lender; zero if
	// none.
	Echo     ShareStamp
	Accounts []ShareDemand
}

// ShareGrant lends units of one account's limit.
type ShareGrant struct {
	Account string
	Units   int64
	// For counts from the sending of the report that is answered.
	For time.Duration
}

// ShareReply answers a report.
type ShareReply struct {
	Number uint64
	Stamp  ShareStamp
	Grants []ShareGrant
	// Wanted names the accounts in demand, for deposits in the next report.
	Wanted []string
}

// Lender returns the entry that lends out the shares of an account, by
// rendezvous hashing. It returns the empty string for no entries.
func Lender(account string, entries []string) string {
	var best string
	var most uint64
	for _, e := range entries {
		h := hashPair(account, e)
		if best == "" || h > most || (h == most && e < best) {
			best, most = e, h
		}
	}
	return best
}

// entitlement returns the part of a limit that one of n entries owns.
func entitlement(n int) int64 { return WholeShare / int64(max(1, n)) }
