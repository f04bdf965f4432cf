package capacity

import (
	"context"
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/hyssoprelay/hyssoprelay/internal/measure"
	"github.com/hyssoprelay/hyssoprelay/internal/peer/peerpb"
	"github.com/hyssoprelay/hyssoprelay/internal/platform/config"
	"github.com/hyssoprelay/hyssoprelay/internal/platform/vmlist"
)

// Messages measures the sizes of what travels, without the headers of HTTP/2,
// and the time to make a change.
func Messages() Section {
	return Section{Name: "messages", Tables: messageTables}
}

func messageTables(ctx context.Context) ([]measure.Table, error) {
	list, err := listTable()
	return []measure.Table{exchangeTable(ctx), list, statusTable()}, err
}

// exchangeTable measures exchanges between two stores over documents of a
// number of past changes.
func exchangeTable(ctx context.Context) measure.Table {
	sizes := []float64{8, 64, 128, 512}
	idle := series{what: "exchange, both equal", unit: "B"}
	changed := series{what: "exchange after a change", unit: "B"}
	head := series{what: "document", unit: "B"}
	apply := series{what: "making a change", unit: "us"}
	join := series{what: "taking a change in", unit: "us"}
	for _, n := range sizes {
		h, body := headOf(int(n), int(n)/4)
		m := newMesh(2, 1, h, body)
		a, b := m.nodes[0], m.nodes[1]
		m.exchange(ctx, a, b.self)
		idle.values = append(idle.values, float64(m.bytes))
		next := after(h, 10_000, config.TakeOutOfService{Target: config.DataCentre("dc-1")})
		a.store.Merge(next)
		m.bytes = 0
		m.exchange(ctx, a, b.self)
		changed.values = append(changed.values, float64(m.bytes))
		head.values = append(head.values, float64(len(h.Encode())))
		apply.values = append(apply.values, timeOf(200, func() { after(h, 10_000, config.SwitchPreset{Name: "ordinary"}) }))
		join.values = append(join.values, timeOf(200, func() {
			var s config.Store
			s.Merge(next, body)
		}))
	}
	notes := []string{"The document lists the last 128 changes and 256 orders; a quarter of", "the changes left an endpoint out."}
	return table("Exchange of configuration", "changes so far", notes, sizes, idle, changed, head, apply, join)
}

func listTable() (measure.Table, error) {
	sizes := []float64{10, 1000, 12000}
	whole := series{what: "whole list", unit: "B"}
	decode := series{what: "reading the whole list", unit: "us"}
	for _, n := range sizes {
		var vms []vmlist.VM
		for i := range int(n) {
			addr := fmt.Sprintf("10.%d.%d.%d:7001", i>>16, i>>8&255, i&255)
			vms = append(vms, vmlist.NewVM(fmt.Sprintf("vm-%012d", i), vmlist.Agent, "data-centre-01", addr, vmlist.Live))
		}
		b, err := vmlist.NewDelta(1, vms, nil).Encode()
		if err != nil {
			return measure.Table{}, err
		}
		whole.values = append(whole.values, float64(len(b)))
		decode.values = append(decode.values, timeOf(5, func() { _, _ = vmlist.DecodeDelta(b) }))
	}
	notes := []string{"A poll without a change is answered without VMs."}
	return table("The platform's list of VMs", "VMs", notes, sizes, whole, decode), nil
}

// statusTable measures one process's answer when an operator asks all.
func statusTable() measure.Table {
	sizes := []float64{10, 1000, 12000}
	accounts := series{what: "entry's status, by accounts", unit: "B"}
	events := series{what: "time line, by events", unit: "B"}
	endpoints := series{what: "entry's status, by endpoints", unit: "B"}
	for _, n := range sizes {
		s := &peerpb.StatusReply{Hlc: 1 << 60, Process: "entry-0", Role: "entry", DataCentre: "data-centre-01"}
		e := &peerpb.StatusReply{Hlc: 1 << 60, Process: "entry-0", Role: "entry", DataCentre: "data-centre-01"}
		t := &peerpb.TimelineReply{Hlc: 1 << 60}
		for i := range int(n) {
			s.Accounts = append(s.Accounts, &peerpb.AccountStatus{Name: fmt.Sprintf("account-%05d", i), Open: 3, Limit: 40})
			e.Endpoints = append(e.Endpoints, reportMessage(i))
			t.Events = append(t.Events, &peerpb.TimelineEvent{
				Hlc: 1 << 60, Process: "entry-0", DataCentre: "data-centre-01", Kind: "placed",
				RequestId: fmt.Sprintf("request-%032d", i), Endpoint: "endpoint-00000", Number: 1,
			})
		}
		accounts.values = append(accounts.values, float64(proto.Size(s)))
		endpoints.values = append(endpoints.values, float64(proto.Size(e)))
		events.values = append(events.values, float64(proto.Size(t)))
	}
	return table("What one process answers to an operator's question", "accounts, endpoints or events", nil, sizes, accounts, endpoints, events)
}

func reportMessage(i int) *peerpb.LoadReport {
	return &peerpb.LoadReport{
		Hlc: 1 << 60, Endpoint: fmt.Sprintf("endpoint-%05d", i), Incarnation: 1 << 50, DataCentre: "data-centre-01",
		Routes: []string{"small"}, Allowance: 16, Running: 7, CommittedTokens: 9000, Generation: 1 << 20,
		FirstTokenMicros: 200_000, Capacity: 16, ConfigDigest: 1 << 60,
	}
}
