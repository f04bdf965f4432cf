package kv

import (
	"bytes"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/hyssoprelay/hyssoprelay/internal/platform/etcdpb"
)

// The service's own limits and answers.
const (
	maxTxnOps = 128
	maxValue  = 1 << 20
)

var (
	errTooManyOps   = status.Error(codes.InvalidArgument, "etcdserver: too many operations in txn request")
	errDuplicateKey = status.Error(codes.InvalidArgument, "etcdserver: duplicate key given in txn request")
	errTooLarge     = status.Error(codes.InvalidArgument, "etcdserver: request is too large")
	errNoLease      = status.Error(codes.NotFound, "etcdserver: requested lease not found")
	errTooMany      = status.Error(codes.ResourceExhausted, "etcdserver: too many requests")
)

// check finds what the service refuses before it touches its state.
func check(t *etcdpb.TxnRequest) error {
	if err := checkOps(t, maxTxnOps); err != nil {
		return err
	}
	for _, ops := range [][]*etcdpb.RequestOp{t.GetSuccess(), t.GetFailure()} {
		if err := checkKeys(ops, make(map[string]bool)); err != nil {
			return err
		}
	}
	return nil
}

// checkOps counts as the service does: a nested transaction may hold what its
// outer one leaves.
func checkOps(t *etcdpb.TxnRequest, left int) error {
	n := max(len(t.GetCompare()), len(t.GetSuccess()), len(t.GetFailure()))
	if n > left {
		return errTooManyOps
	}
	for _, ops := range [][]*etcdpb.RequestOp{t.GetSuccess(), t.GetFailure()} {
		for _, o := range ops {
			if o.GetRequestTxn() == nil {
				continue
			}
			if err := checkOps(o.GetRequestTxn(), left-n); err != nil {
				return err
			}
		}
	}
	return nil
}

func checkKeys(ops []*etcdpb.RequestOp, seen map[string]bool) error {
	for _, o := range ops {
		if err := checkOp(o, seen); err != nil {
			return err
		}
	}
	return nil
}

// checkOp treats both branches of a nested transaction as alternatives.
func checkOp(o *etcdpb.RequestOp, seen map[string]bool) error {
	if p := o.GetRequestPut(); p != nil {
		if seen[string(p.GetKey())] {
			return errDuplicateKey
		}
		if len(p.GetValue()) > maxValue {
			return errTooLarge
		}
		seen[string(p.GetKey())] = true
	}
	if t := o.GetRequestTxn(); t != nil {
		failure := make(map[string]bool, len(seen))
		for k := range seen {
			failure[k] = true
		}
		if err := checkKeys(t.GetSuccess(), seen); err != nil {
			return err
		}
		if err := checkKeys(t.GetFailure(), failure); err != nil {
			return err
		}
		for k := range failure {
			seen[k] = true
		}
	}
	return nil
}

// plan is a transaction with its conditions decided. The service decides all
// conditions, nested ones included, before it does the first operation.
type plan struct {
	ok     bool
	ops    []*etcdpb.RequestOp
	nested map[int]*plan
}

func (s *store) plan(t *etcdpb.TxnRequest) *plan {
	p := &plan{ok: s.holds(t.GetCompare()), nested: make(map[int]*plan)}
	p.ops = t.GetFailure()
	if p.ok {
		p.ops = t.GetSuccess()
	}
	for i, o := range p.ops {
		if n := o.GetRequestTxn(); n != nil {
			p.nested[i] = s.plan(n)
		}
	}
	return p
}

func (s *store) leasesExist(p *plan) bool {
	for i, o := range p.ops {
		if n := p.nested[i]; n != nil && !s.leasesExist(n) {
			return false
		}
		id := o.GetRequestPut().GetLease()
		if _, ok := s.leases[id]; id != 0 && !ok {
			return false
		}
	}
	return true
}

// txn checks and does a transaction.
func (s *store) txn(t *etcdpb.TxnRequest) (*etcdpb.TxnResponse, error) {
	if err := check(t); err != nil {
		return nil, err
	}
	p := s.plan(t)
	if !s.leasesExist(p) {
		return nil, errNoLease
	}
	var events []*etcdpb.Event
	r := s.do(p, &events)
	s.record(events)
	r.Header = s.header()
	return r, nil
}

func (s *store) do(p *plan, events *[]*etcdpb.Event) *etcdpb.TxnResponse {
	r := &etcdpb.TxnResponse{Succeeded: p.ok}
	for i, o := range p.ops {
		r.Responses = append(r.Responses, s.doOp(o, p.nested[i], events))
	}
	return r
}

func (s *store) doOp(o *etcdpb.RequestOp, n *plan, events *[]*etcdpb.Event) *etcdpb.ResponseOp {
	switch q := o.GetRequest().(type) {
	case *etcdpb.RequestOp_RequestRange:
		p := s.read(q.RequestRange)
		return &etcdpb.ResponseOp{Response: &etcdpb.ResponseOp_ResponseRange{ResponseRange: p}}
	case *etcdpb.RequestOp_RequestPut:
		*events = append(*events, s.put(q.RequestPut))
		p := &etcdpb.PutResponse{Header: s.header()}
		return &etcdpb.ResponseOp{Response: &etcdpb.ResponseOp_ResponsePut{ResponsePut: p}}
	case *etcdpb.RequestOp_RequestDeleteRange:
		d := q.RequestDeleteRange
		ks := s.match(d.GetKey(), d.GetRangeEnd())
		for _, k := range ks {
			*events = append(*events, s.remove(k))
		}
		p := &etcdpb.DeleteRangeResponse{Header: s.header(), Deleted: int64(len(ks))}
		return &etcdpb.ResponseOp{Response: &etcdpb.ResponseOp_ResponseDeleteRange{ResponseDeleteRange: p}}
	case *etcdpb.RequestOp_RequestTxn:
		return &etcdpb.ResponseOp{Response: &etcdpb.ResponseOp_ResponseTxn{ResponseTxn: s.do(n, events)}}
	default:
		return &etcdpb.ResponseOp{}
	}
}

func (s *store) holds(cs []*etcdpb.Compare) bool {
	for _, c := range cs {
		if !s.compare(c) {
			return false
		}
	}
	return true
}

func (s *store) compare(c *etcdpb.Compare) bool {
	kv := s.keys[string(c.GetKey())]
	var d int
	switch c.GetTarget() {
	case etcdpb.Compare_VERSION:
		d = sign(kv.GetVersion() - c.GetVersion())
	case etcdpb.Compare_CREATE:
		d = sign(kv.GetCreateRevision() - c.GetCreateRevision())
	case etcdpb.Compare_MOD:
		d = sign(kv.GetModRevision() - c.GetModRevision())
	case etcdpb.Compare_LEASE:
		d = sign(kv.GetLease() - c.GetLease())
	default:
		if kv == nil {
			return false
		}
		d = bytes.Compare(kv.GetValue(), c.GetValue())
	}
	switch c.GetResult() {
	case etcdpb.Compare_GREATER:
		return d > 0
	case etcdpb.Compare_LESS:
		return d < 0
	case etcdpb.Compare_NOT_EQUAL:
		return d != 0
	default:
		return d == 0
	}
}

func sign(n int64) int {
	switch {
	case n > 0:
		return 1
	case n < 0:
		return -1
	default:
		return 0
	}
}
