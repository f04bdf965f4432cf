package platform

import "github.com/hyssoprelay/hyssoprelay/internal/platform/etcdpb"

// MaxValue is the largest value that the service stores, in bytes.
const MaxValue = 1 << 20

// MaxTxnOps is the largest number of operations in a transaction. The service
// counts the outer operations plus those of the largest nested transaction.
const MaxTxnOps = 128

// LeaseID identifies a lease; zero means no lease.
type LeaseID int64

// Compare is a condition of a transaction: Absent or RevisionIs.
type Compare interface{ isCompare() }

// Absent holds when the key does not exist.
type Absent struct{ Key string }

// RevisionIs holds when the last write to the key was made at the revision.
type RevisionIs struct {
	Key      string
	Revision int64
}

func (Absent) isCompare()     {}
func (RevisionIs) isCompare() {}

// Op is an operation of a transaction: Put, Get, Delete or Txn.
type Op interface{ isOp() }

// Put writes a value and attaches it to a lease unless Lease is zero.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Get reads one key.
type Get struct{ Key string }

// Delete deletes one key.
type Delete struct{ Key string }

// Txn is a transaction: it atomically executes Then if all conditions of If hold,
// and Else otherwise. A transaction must not write a key twice, including its
// nested transactions.
type Txn struct {
	If   []Compare
	Then []Op
	Else []Op
}

func (Put) isOp()    {}
func (Get) isOp()    {}
func (Delete) isOp() {}
func (Txn) isOp()    {}

// Request returns the transaction as a request message.
func (t Txn) Request() *etcdpb.TxnRequest {
	return &etcdpb.TxnRequest{
		Compare: compareProtos(t.If),
		Success: opProtos(t.Then),
		Failure: opProtos(t.Else),
	}
}

func compareProtos(cs []Compare) []*etcdpb.Compare {
	ps := make([]*etcdpb.Compare, 0, len(cs))
	for _, c := range cs {
		switch c := c.(type) {
		case Absent:
			ps = append(ps, &etcdpb.Compare{
				Target:      etcdpb.Compare_CREATE,
				Key:         []byte(c.Key),
				TargetUnion: &etcdpb.Compare_CreateRevision{},
			})
		case RevisionIs:
			ps = append(ps, &etcdpb.Compare{
				Target:      etcdpb.Compare_MOD,
				Key:         []byte(c.Key),
				TargetUnion: &etcdpb.Compare_ModRevision{ModRevision: c.Revision},
			})
		}
	}
	return ps
}

func opProtos(ops []Op) []*etcdpb.RequestOp {
	ps := make([]*etcdpb.RequestOp, 0, len(ops))
	for _, o := range ops {
		ps = append(ps, opProto(o))
	}
	return ps
}

func opProto(o Op) *etcdpb.RequestOp {
	switch o := o.(type) {
	case Put:
		return &etcdpb.RequestOp{Request: &etcdpb.RequestOp_RequestPut{RequestPut: putProto(o)}}
	case Get:
		r := &etcdpb.RangeRequest{Key: []byte(o.Key)}
		return &etcdpb.RequestOp{Request: &etcdpb.RequestOp_RequestRange{RequestRange: r}}
	case Delete:
		r := &etcdpb.DeleteRangeRequest{Key: []byte(o.Key)}
		return &etcdpb.RequestOp{Request: &etcdpb.RequestOp_RequestDeleteRange{RequestDeleteRange: r}}
	case Txn:
		return &etcdpb.RequestOp{Request: &etcdpb.RequestOp_RequestTxn{RequestTxn: o.Request()}}
	default:
		return &etcdpb.RequestOp{}
	}
}

func putProto(p Put) *etcdpb.PutRequest {
	return &etcdpb.PutRequest{Key: []byte(p.Key), Value: p.Value, Lease: int64(p.Lease)}
}
