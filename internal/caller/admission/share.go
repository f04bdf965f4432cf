package admission

import "time"

// An account's limits are divided over the entries of a data centre as follows.
//
// Each entry is entitled to 1/Entries of each limit. It deposits what it does
// not need with the account's lender, which is the entry that SelectLender
// selects, and the lender lends the deposits to entries with higher demand. An
// entry may use its entitlement, less its deposits, plus its loans.
//
// The sum over all entries never exceeds the limit, even if messages are lost,
// delayed or duplicated, and even while entries disagree about which entry is
// the lender: a share is used either by its owner or by a borrower, never by
// both. A deposit is a promise not to use a number of units for DepositTTL from
// the time of the report. The report echoes the lender's newest stamp, so the
// lender knows that the deposit lasts at least until that stamp plus DepositTTL
// on its own clock, regardless of network delay. A grant ends before the
// deposits that back it, and the borrower counts its term from the time at
// which it sent the report. Clocks must advance at the same rate but need not
// show the same time.
//
// If the lender is lost, deposits and grants expire, and each entry falls back
// to its entitlement.

// ShareUnits is the number of units in an account's whole limit. It has many
// divisors, so that small concurrency limits divide without a remainder.
const ShareUnits = 720720

// DefaultDepositTTL is the default duration of a deposit. With a shorter one,
// holders sooner regain what they have deposited with a lost lender; a longer
// one needs fewer reports.
const DefaultDepositTTL = 3 * time.Second

const (
	// reportsPerTTL is the number of reports that a holder sends per
	// DepositTTL. A loan lasts for three report intervals, so that two reports
	// in a row may be lost.
	reportsPerTTL = 6
	// loansPerTTL is the number of loan terms per DepositTTL.
	loansPerTTL = 2
	// listAllMax is the maximum number of accounts for which a report lists all
	// accounts. With more accounts, an idle account is listed only after its
	// lender has asked for it, so that reports grow with the accounts in use
	// and not with those in the preset.
	listAllMax = 64
)

// ShareStamp is a reading of a lender's clock.
type ShareStamp struct {
	// Incarnation changes with each start of the lender.
	Incarnation uint64
	// At is the time since the lender's own epoch, in nanoseconds.
	At int64
}

// ShareDemand is the part of a report about one account. Its amounts are in
// units; the whole limit of an account is ShareUnits units.
type ShareDemand struct {
	Account string
	// Deposit is the number of units that the holder promises not to use.
	Deposit int64
	// Want is the number of units that the holder asks to borrow.
	Want int64
	// Quantum is the smallest useful number of units: that of one open request.
	Quantum int64
}

// ShareReport is sent by a holder to a lender.
type ShareReport struct {
	Holder string
	// Sequence increases with each report of the holder, including across
	// restarts.
	Sequence uint64
	// Echo is the newest stamp that the holder has received from this lender;
	// zero if none.
	Echo     ShareStamp
	Accounts []ShareDemand
}

// ShareGrant lends units of one account's limit.
type ShareGrant struct {
	Account string
	Units   int64
	// Term is the term of the loan, counted from the sending of the report that
	// the reply answers.
	Term time.Duration
}

// ShareReply is a lender's reply to a report.
type ShareReply struct {
	// Sequence is the number of the report that the reply answers.
	Sequence uint64
	// Stamp is the lender's clock reading at the time of the reply.
	Stamp  ShareStamp
	Grants []ShareGrant
	// Wanted lists the accounts in demand, so that the next report can include
	// deposits for them.
	Wanted []string
}

// SelectLender selects the entry that lends the shares of an account, by
// rendezvous hashing. It returns the empty string if there are no entries.
func SelectLender(account string, entries []string) string {
	var lender string
	var highest uint64
	for _, e := range entries {
		h := hashPair(account, e)
		if lender == "" || h > highest || (h == highest && e < lender) {
			lender, highest = e, h
		}
	}
	return lender
}

// entitlement returns the units of a limit that each of n entries owns.
func entitlement(n int) int64 { return ShareUnits / int64(max(1, n)) }
