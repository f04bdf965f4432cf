package capacity

import (
	"context"
	"fmt"
	"runtime"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/hyssoprelay/hyssoprelay/internal/caller/admission"
	"github.com/hyssoprelay/hyssoprelay/internal/demo"
	"github.com/hyssoprelay/hyssoprelay/internal/measure"
	"github.com/hyssoprelay/hyssoprelay/internal/operator/preset"
	"github.com/hyssoprelay/hyssoprelay/internal/peer/peerpb"
)

// entriesOfDataCentre is the number of entries of a data centre at the target
// size: 670 over 19.
const entriesOfDataCentre = 35

// Accounts measures what an account costs: in the preset, in admission, and in
// the reports by which entries share limits.
func Accounts() Section {
	return Section{Name: "accounts", Tables: accountTables}
}

func accountTables(context.Context) ([]measure.Table, error) {
	p, err := presetTable()
	if err != nil {
		return nil, err
	}
	l, err := limitsTable()
	return []measure.Table{p, l, shareTable()}, err
}

// presetTable measures presets up to the largest that is accepted.
func presetTable() (measure.Table, error) {
	sizes := []float64{10, 1000, 6000}
	size := series{what: "text", unit: "B"}
	read := series{what: "reading", unit: "us"}
	memory := series{what: "memory when read", unit: "B"}
	for _, n := range sizes {
		text := []byte(presetOf(int(n)))
		before := heap()
		p, faults := preset.Parse(text)
		if len(faults) > 0 {
			return measure.Table{}, fmt.Errorf("preset of %.0f accounts: %v", n, faults[0])
		}
		memory.values = append(memory.values, heap()-before)
		runtime.KeepAlive(p)
		size.values = append(size.values, float64(len(text)))
		read.values = append(read.values, timeOf(3, func() { _, _ = preset.Parse(text) }))
	}
	return table("Presets", "accounts", []string{"One key for each account."}, sizes, size, read, memory), nil
}

func limitsTable() (measure.Table, error) {
	sizes := []float64{10, 1000, 12000}
	all := []series{
		{what: "putting limits into admission", unit: "us"},
		{what: "memory of admission", unit: "B"},
		{what: "putting limits into shares", unit: "us"},
		{what: "memory of shares", unit: "B"},
		{what: "reports to 35 lenders, none in demand", unit: "us"},
		{what: "setting all shares", unit: "us"},
	}
	for _, n := range sizes {
		values, err := accountCosts(limitsOf(int(n)))
		if err != nil {
			return measure.Table{}, err
		}
		for i, v := range values {
			all[i].values = append(all[i].values, v)
		}
	}
	return table("Limits and shares", "accounts", []string{"Entries report twice a second."}, sizes, all...), nil
}

// presetOf returns the text of a preset with n accounts.
func presetOf(n int) string {
	var b strings.Builder
	b.WriteString(demo.Preset("ordinary", 1))
	for i := range n - 1 {
		fmt.Fprintf(&b, "\n[account account-%05d]\nkeyHash = %064x\nratePerSecond = 10\nburst = 20\nconcurrency = 4\nweight = 1\nworth = 1\n", i, i+1)
	}
	return b.String()
}

func accountCosts(limits []admission.Limits) ([]float64, error) {
	now := time.UnixMicro(1)
	before := heap()
	c := &admission.Controller{}
	if err := c.Configure(limits, now); err != nil {
		return nil, err
	}
	admitted := heap()
	h := &admission.ShareHolder{Entry: "entry-0", Entries: entriesOfDataCentre}
	h.Configure(limits, now)
	shared := heap()
	names, lenderOf := lenders()
	return []float64{
		timeOf(10, func() { _ = c.Configure(limits, now) }),
		admitted - before,
		timeOf(10, func() { h.Configure(limits, now) }),
		shared - admitted,
		timeOf(5, func() { reportAll(h, names, lenderOf, now) }),
		timeOf(10, func() { setShares(c, h, limits, now) }),
	}, nil
}

func limitsOf(n int) []admission.Limits {
	var ls []admission.Limits
	for i := range n {
		ls = append(ls, admission.Limits{
			Account: fmt.Sprintf("account-%05d", i), Rate: 10, Burst: 20, Concurrency: 4, Weight: 1, Worth: 1,
		})
	}
	return ls
}

// lenders returns the entries of a data centre and who lends an account, as
// entries work it out for themselves.
func lenders() ([]string, func(string) string) {
	var names []string
	for i := range entriesOfDataCentre {
		names = append(names, fmt.Sprintf("entry-%d", i))
	}
	return names, func(account string) string { return admission.SelectLender(account, names) }
}

func reportAll(h *admission.ShareHolder, names []string, lenderOf func(string) string, now time.Time) {
	for _, n := range names {
		h.Report(n, lenderOf, now)
	}
}

func setShares(c *admission.Controller, h *admission.ShareHolder, limits []admission.Limits, now time.Time) {
	for _, l := range limits {
		c.SetShare(l.Account, float64(h.Usable(l.Account, now))/admission.ShareUnits, now)
	}
}

// shareTable returns the sizes of share messages by the accounts in them.
func shareTable() measure.Table {
	sizes := []float64{1, 20, 200}
	report := series{what: "report", unit: "B"}
	reply := series{what: "reply", unit: "B"}
	for _, n := range sizes {
		r := &peerpb.ShareReport{Hlc: 1 << 60, Holder: "entry-0", Number: 1 << 60, EchoIncarnation: 1 << 60, EchoAt: 1 << 40}
		a := &peerpb.ShareReply{Hlc: 1 << 60, Number: 1 << 60, StampIncarnation: 1 << 60, StampAt: 1 << 40}
		for i := range int(n) {
			name := fmt.Sprintf("account-%05d", i)
			r.Accounts = append(r.Accounts, &peerpb.ShareDemand{Account: name, Deposit: 20000, Want: 100000, Quantum: 1000})
			a.Grants = append(a.Grants, &peerpb.ShareGrant{Account: name, Units: 100000, ForMicros: 1500000})
			a.Wanted = append(a.Wanted, name)
		}
		report.values = append(report.values, float64(proto.Size(r)))
		reply.values = append(reply.values, float64(proto.Size(a)))
	}
	return table("Share messages", "accounts in demand", []string{"Encoded size, without the headers of gRPC."}, sizes, report, reply)
}
