package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var epoch = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

// shareNetwork delivers reports and replies between entries, delayed and in any
// order.
type shareNetwork struct {
	rng     *rand.Rand
	now     time.Time
	holders []*ShareHolder
	lenders []*ShareLender
	// clockOffsets holds the offset of each process's clock; all clocks advance
	// at the same rate.
	clockOffsets []time.Duration
	inFlight     []shareMessage
	// assumedLenders holds, for each entry, the index of the entry that it
	// takes for the lender.
	assumedLenders []int
}

type shareMessage struct {
	dueAt    time.Time
	from, to int
	report   ShareReport
	reply    *ShareReply
}

func newShareNetwork(entries int, limits []Limits, seed uint64) *shareNetwork {
	n := &shareNetwork{rng: rand.New(rand.NewPCG(seed, 1)), now: epoch}
	for i := range entries {
		n.clockOffsets = append(n.clockOffsets, time.Duration(n.rng.Int64N(int64(time.Hour))))
		n.assumedLenders = append(n.assumedLenders, 0)
		n.holders = append(n.holders, nil)
		n.lenders = append(n.lenders, nil)
		n.restart(i, limits, entries)
	}
	return n
}

func (n *shareNetwork) restart(i int, limits []Limits, entries int) {
	n.holders[i] = &ShareHolder{
		Entry: entryName(i), Entries: entries, Sequence: uint64(n.now.Sub(epoch)),
	}
	n.holders[i].Configure(limits, n.localTime(i))
	n.lenders[i] = &ShareLender{Incarnation: n.rng.Uint64()}
}

func entryName(i int) string { return fmt.Sprintf("entry%02d", i) }

func (n *shareNetwork) localTime(i int) time.Time { return n.now.Add(n.clockOffsets[i]) }

// sendReport sends a report from entry i to the lender that it assumes.
func (n *shareNetwork) sendReport(i int, delay time.Duration) {
	to := n.assumedLenders[i]
	r := n.holders[i].Report(entryName(to), func(string) string { return entryName(to) }, n.localTime(i))
	n.inFlight = append(n.inFlight, shareMessage{dueAt: n.now.Add(delay), from: i, to: to, report: r})
}

// deliver delivers the messages that are due. Replies are delayed by delay().
func (n *shareNetwork) deliver(delay func() time.Duration) {
	var undelivered []shareMessage
	due := n.inFlight
	n.inFlight = nil
	for _, m := range due {
		if m.dueAt.After(n.now) {
			undelivered = append(undelivered, m)
			continue
		}
		if m.reply != nil {
			n.holders[m.to].Reply(entryName(m.from), *m.reply)
			continue
		}
		reply, ok := n.lenders[m.to].Report(m.report, n.localTime(m.to))
		if ok {
			undelivered = append(undelivered, shareMessage{dueAt: n.now.Add(delay()), from: m.to, to: m.from, reply: &reply})
		}
	}
	n.inFlight = append(n.inFlight, undelivered...)
}

func (n *shareNetwork) totalUsable(account string) (sum int64) {
	for i, h := range n.holders {
		sum += h.Usable(account, n.localTime(i))
	}
	return sum
}

// Guards against serving an account above its limit because a share is used by
// its owner while it is lent out. Entries disagree on the lender and restart,
// their clocks differ, and messages are lost, duplicated and delayed by up to
// 20 s.
func TestSharesNeverExceedLimit(t *testing.T) {
	limits := []Limits{{Account: "small", Concurrency: 3, Rate: 1}, {Account: "large", Concurrency: 100, Rate: 50}}
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			assertSharesWithinLimit(t, newShareNetwork(7, limits, seed), limits)
		})
	}
}

func assertSharesWithinLimit(t *testing.T, n *shareNetwork, limits []Limits) {
	t.Helper()
	delay := func() time.Duration {
		if n.rng.IntN(10) == 0 {
			return time.Duration(n.rng.Int64N(int64(20 * time.Second)))
		}
		return time.Duration(n.rng.Int64N(int64(50 * time.Millisecond)))
	}
	for step := range 1500 {
		n.now = n.now.Add(time.Duration(1 + n.rng.Int64N(int64(100*time.Millisecond))))
		i := n.rng.IntN(len(n.holders))
		switch x := n.rng.IntN(100); {
		case x < 60:
			n.sendReport(i, delay())
		case x < 80:
			l := limits[n.rng.IntN(len(limits))]
			n.holders[i].Demand(l.Account, 0, l.Concurrency*n.rng.IntN(4)/3)
		case x < 83:
			n.assumedLenders[i] = n.rng.IntN(len(n.holders))
		case x < 84:
			n.restart(i, limits, len(n.holders))
		case x < 86 && len(n.inFlight) > 0:
			n.inFlight = n.inFlight[1:]
		case x < 88 && len(n.inFlight) > 0:
			n.inFlight = append(n.inFlight, n.inFlight[0])
		}
		n.deliver(delay)
		for _, l := range limits {
			if sum := n.totalUsable(l.Account); sum > ShareUnits {
				t.Fatalf("step %d: %s: sum of shares %d exceeds %d", step, l.Account, sum, ShareUnits)
			}
		}
	}
}

// Guards against two entries that use the same part of a limit. The first
// borrows much, then asks for little, and the reply with the smaller loan is
// lost. It still uses the first loan while the lender lends the rest to the
// second.
func TestLostReplyKeepsOlderLoanCounted(t *testing.T) {
	l := &ShareLender{Incarnation: 1}
	report := func(holder string, sequence uint64, deposit, want int64, at time.Duration) int64 {
		reply, _ := l.Report(ShareReport{
			Holder: holder, Sequence: sequence, Echo: ShareStamp{Incarnation: 1, At: int64(at)},
			Accounts: []ShareDemand{{Account: "a", Deposit: deposit, Want: want, Quantum: 1}},
		}, epoch.Add(at))
		if len(reply.Grants) == 0 {
			return 0
		}
		return reply.Grants[0].Units
	}
	report("owner", 1, 100, 0, 0)
	first := report("one", 1, 0, 100, 0)
	report("one", 2, 0, 10, time.Millisecond)
	if second := report("two", 1, 0, 100, 2*time.Millisecond); first+second > 100 {
		t.Errorf("lent %d and %d of 100 units", first, second)
	}
}

// Guards against lending the same part of a limit through two lenders while its
// owner uses it too. The owner changes the lender that it assumes while its
// deposit with the first is still live.
func TestDepositsToTwoLendersAddUp(t *testing.T) {
	h := &ShareHolder{Entry: "owner", Entries: 4}
	h.Configure([]Limits{{Account: "a", Rate: 1}}, epoch)
	deposited := int64(0)
	for i, lender := range []string{"first", "second"} {
		at := epoch.Add(DefaultDepositTTL + time.Duration(i)*time.Second)
		lenderOf := func(string) string { return lender }
		r := h.Report(lender, lenderOf, at)
		h.Reply(lender, ShareReply{Sequence: r.Sequence, Stamp: ShareStamp{Incarnation: 1}})
		deposited += h.Report(lender, lenderOf, at).Accounts[0].Deposit
	}
	entitled := entitlement(4)
	if usable := h.Usable("a", epoch.Add(DefaultDepositTTL+2*time.Second)); deposited == 0 || deposited+usable > entitled {
		t.Errorf("deposited %d units and may use %d of %d", deposited, usable, entitled)
	}
}

// exchangeReports runs the report exchange at its normal interval without
// faults.
func (n *shareNetwork) exchangeReports(d time.Duration) {
	for end := n.now.Add(d); n.now.Before(end); n.now = n.now.Add(n.holders[0].ReportInterval()) {
		for i := range n.holders {
			n.sendReport(i, 0)
			n.deliver(func() time.Duration { return 0 })
			n.deliver(func() time.Duration { return 0 })
		}
	}
}

func TestSharesFollowDemand(t *testing.T) {
	limits := []Limits{{Account: "a", Concurrency: 90}, {Account: "one", Concurrency: 1}}
	n := newShareNetwork(9, limits, 1)
	n.exchangeReports(5 * time.Second)
	n.holders[4].Demand("a", 0, 90)
	n.holders[4].Demand("one", 0, 1)
	n.exchangeReports(5 * time.Second)
	assertUsableConcurrency(t, n, 4, "a", 90, 69)
	assertUsableConcurrency(t, n, 4, "one", 1, 1)
	n.holders[4].Demand("a", 0, 0)
	n.holders[7].Demand("a", 0, 90)
	n.exchangeReports(8 * time.Second)
	assertUsableConcurrency(t, n, 7, "a", 90, 69)
}

func TestSharesFallBackWithoutLender(t *testing.T) {
	limits := []Limits{{Account: "a", Concurrency: 90}}
	n := newShareNetwork(9, limits, 1)
	n.holders[4].Demand("a", 0, 90)
	n.exchangeReports(8 * time.Second)
	n.now = n.now.Add(DefaultDepositTTL)
	for i := range n.holders {
		assertUsableConcurrency(t, n, i, "a", 90, 10)
	}
}

func assertUsableConcurrency(t *testing.T, n *shareNetwork, i int, account string, limit, minimum int) {
	t.Helper()
	units := n.holders[i].Usable(account, n.localTime(i))
	if got := int(units * int64(limit) / ShareUnits); got < minimum {
		t.Errorf("%s may open %d requests of %s, want at least %d", entryName(i), got, account, minimum)
	}
}

func TestLenderChangesOnlyWithItsEntry(t *testing.T) {
	entries := []string{"a", "b", "c", "d", "e", "f", "g"}
	for i := range 200 {
		account := fmt.Sprint("account", i)
		original := SelectLender(account, entries)
		for j, removed := range entries {
			remaining := append(append([]string(nil), entries[:j]...), entries[j+1:]...)
			if got := SelectLender(account, remaining); removed != original && got != original {
				t.Fatalf("%s: lender changed from %s to %s when entry %s was removed", account, original, got, removed)
			}
		}
	}
}
