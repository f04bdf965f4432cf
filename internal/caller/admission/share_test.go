package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var epoch = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

// shareNet carries reports and replies between entries, late and in any order.
type shareNet struct {
	rng     *rand.Rand
	now     time.Time
	holders []*ShareHolder
	lenders []*ShareLender
	// drift shifts each process's clock; the rates are equal.
	drift    []time.Duration
	inFlight []shareMessage
	// view is the entry that each entry takes for the lender.
	view []int
}

type shareMessage struct {
	at       time.Time
	from, to int
	report   ShareReport
	reply    *ShareReply
}

func newShareNet(entries int, limits []Limits, seed uint64) *shareNet {
	n := &shareNet{rng: rand.New(rand.NewPCG(seed, 1)), now: epoch}
	for i := range entries {
		n.drift = append(n.drift, time.Duration(n.rng.Int64N(int64(time.Hour))))
		n.view = append(n.view, 0)
		n.holders = append(n.holders, nil)
		n.lenders = append(n.lenders, nil)
		n.restart(i, limits, entries)
	}
	return n
}

func (n *shareNet) restart(i int, limits []Limits, entries int) {
	n.holders[i] = &ShareHolder{
		Entry: name(i), Entries: entries, Number: uint64(n.now.Sub(epoch)),
	}
	n.holders[i].Configure(limits, n.clock(i))
	n.lenders[i] = &ShareLender{Incarnation: n.rng.Uint64()}
}

func name(i int) string { return fmt.Sprintf("entry%02d", i) }

func (n *shareNet) clock(i int) time.Time { return n.now.Add(n.drift[i]) }

// report sends a report from entry i to its lender.
func (n *shareNet) report(i int, delay time.Duration) {
	to := n.view[i]
	r := n.holders[i].Report(name(to), func(string) string { return name(to) }, n.clock(i))
	n.inFlight = append(n.inFlight, shareMessage{at: n.now.Add(delay), from: i, to: to, report: r})
}

// deliver hands over what is due; a reply takes delay() again.
func (n *shareNet) deliver(delay func() time.Duration) {
	var rest []shareMessage
	due := n.inFlight
	n.inFlight = nil
	for _, m := range due {
		if m.at.After(n.now) {
			rest = append(rest, m)
			continue
		}
		if m.reply != nil {
			n.holders[m.to].Reply(name(m.from), *m.reply)
			continue
		}
		reply, ok := n.lenders[m.to].Report(m.report, n.clock(m.to))
		if ok {
			rest = append(rest, shareMessage{at: n.now.Add(delay()), from: m.to, to: m.from, reply: &reply})
		}
	}
	n.inFlight = append(n.inFlight, rest...)
}

func (n *shareNet) sum(account string) (sum int64) {
	for i, h := range n.holders {
		sum += h.Usable(account, n.clock(i))
	}
	return sum
}

// A caller of a small account would be served more often than the contract
// says, and the others would wait. Entries disagree on the lender, messages are
// lost, doubled and minutes late, entries restart and their clocks differ. The
// cause would be a share that its owner uses while it is lent out.
func TestSharesNeverExceedLimit(t *testing.T) {
	limits := []Limits{{Account: "small", Concurrency: 3, Rate: 1}, {Account: "large", Concurrency: 100, Rate: 50}}
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			assertSharesWithinLimit(t, newShareNet(7, limits, seed), limits)
		})
	}
}

func assertSharesWithinLimit(t *testing.T, n *shareNet, limits []Limits) {
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
			n.report(i, delay())
		case x < 80:
			l := limits[n.rng.IntN(len(limits))]
			n.holders[i].Demand(l.Account, 0, l.Concurrency*n.rng.IntN(4)/3)
		case x < 83:
			n.view[i] = n.rng.IntN(len(n.holders))
		case x < 84:
			n.restart(i, limits, len(n.holders))
		case x < 86 && len(n.inFlight) > 0:
			n.inFlight = n.inFlight[1:]
		case x < 88 && len(n.inFlight) > 0:
			n.inFlight = append(n.inFlight, n.inFlight[0])
		}
		n.deliver(delay)
		for _, l := range limits {
			if sum := n.sum(l.Account); sum > WholeShare {
				t.Fatalf("step %d: %s: sum of shares %d exceeds %d", step, l.Account, sum, WholeShare)
			}
		}
	}
}

// Two entries would serve the same part of a limit. The first is lent much,
// then asks for little, and the reply that lends little is lost: it still uses
// the first loan while the lender gives the rest to the second.
func TestLostReplyKeepsOlderLoanCounted(t *testing.T) {
	l := &ShareLender{Incarnation: 1}
	ask := func(holder string, number uint64, deposit, want int64, at time.Duration) int64 {
		reply, _ := l.Report(ShareReport{
			Holder: holder, Number: number, Echo: ShareStamp{Incarnation: 1, At: int64(at)},
			Accounts: []ShareDemand{{Account: "a", Deposit: deposit, Want: want, Quantum: 1}},
		}, epoch.Add(at))
		if len(reply.Grants) == 0 {
			return 0
		}
		return reply.Grants[0].Units
	}
	ask("owner", 1, 100, 0, 0)
	first := ask("one", 1, 0, 100, 0)
	ask("one", 2, 0, 10, time.Millisecond)
	if second := ask("two", 1, 0, 100, 2*time.Millisecond); first+second > 100 {
		t.Errorf("lent %d and %d of 100", first, second)
	}
}

// Two lenders would lend the same part of a limit, and its owner would use it
// too: the owner has changed its view of who lends while its promise to the
// first still holds.
func TestDepositsToTwoLendersAddUp(t *testing.T) {
	h := &ShareHolder{Entry: "owner", Entries: 4}
	h.Configure([]Limits{{Account: "a", Rate: 1}}, epoch)
	deposits := int64(0)
	for i, lender := range []string{"first", "second"} {
		at := epoch.Add(DefaultLapse + time.Duration(i)*time.Second)
		of := func(string) string { return lender }
		r := h.Report(lender, of, at)
		h.Reply(lender, ShareReply{Number: r.Number, Stamp: ShareStamp{Incarnation: 1}})
		deposits += h.Report(lender, of, at).Accounts[0].Deposit
	}
	own := entitlement(4)
	if use := h.Usable("a", epoch.Add(DefaultLapse+2*time.Second)); deposits == 0 || deposits+use > own {
		t.Errorf("deposited %d and uses %d of %d", deposits, use, own)
	}
}

// settle runs reports at their usual rate without faults.
func (n *shareNet) settle(d time.Duration) {
	for end := n.now.Add(d); n.now.Before(end); n.now = n.now.Add(n.holders[0].ReportEvery()) {
		for i := range n.holders {
			n.report(i, 0)
			n.deliver(func() time.Duration { return 0 })
			n.deliver(func() time.Duration { return 0 })
		}
	}
}

func TestSharesFollowDemand(t *testing.T) {
	limits := []Limits{{Account: "a", Concurrency: 90}, {Account: "one", Concurrency: 1}}
	n := newShareNet(9, limits, 1)
	n.settle(5 * time.Second)
	n.holders[4].Demand("a", 0, 90)
	n.holders[4].Demand("one", 0, 1)
	n.settle(5 * time.Second)
	assertPlaces(t, n, 4, "a", 90, 69)
	assertPlaces(t, n, 4, "one", 1, 1)
	n.holders[4].Demand("a", 0, 0)
	n.holders[7].Demand("a", 0, 90)
	n.settle(8 * time.Second)
	assertPlaces(t, n, 7, "a", 90, 69)
}

func TestSharesFallBackWithoutLender(t *testing.T) {
	limits := []Limits{{Account: "a", Concurrency: 90}}
	n := newShareNet(9, limits, 1)
	n.holders[4].Demand("a", 0, 90)
	n.settle(8 * time.Second)
	n.now = n.now.Add(DefaultLapse)
	for i := range n.holders {
		assertPlaces(t, n, i, "a", 90, 10)
	}
}

func assertPlaces(t *testing.T, n *shareNet, i int, account string, limit, least int) {
	t.Helper()
	u := n.holders[i].Usable(account, n.clock(i))
	if got := int(u * int64(limit) / WholeShare); got < least {
		t.Errorf("%s has %d places of %s, want at least %d", name(i), got, account, least)
	}
}

func TestLenderMovesOnlyWithItsEntry(t *testing.T) {
	entries := []string{"a", "b", "c", "d", "e", "f", "g"}
	for i := range 200 {
		account := fmt.Sprint("account", i)
		first := Lender(account, entries)
		for j, gone := range entries {
			rest := append(append([]string(nil), entries[:j]...), entries[j+1:]...)
			if got := Lender(account, rest); gone != first && got != first {
				t.Fatalf("%s: lender went from %s to %s when %s left", account, first, got, gone)
			}
		}
	}
}
