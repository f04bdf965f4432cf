package platform

import "github.com/hyssoprelay/hyssoprelay/internal/platform/etcdpb"

// KeyValue is a stored value.
type KeyValue struct {
	key      string
	value    []byte
	revision int64
	lease    LeaseID
}

// Key returns the key.
func (kv KeyValue) Key() string { return kv.key }

// Value returns the value, which must not be changed.
func (kv KeyValue) Value() []byte { return kv.value }

// Revision returns the revision of the last write to the key.
func (kv KeyValue) Revision() int64 { return kv.revision }

// Lease returns the lease that the key is attached to, or zero.
func (kv KeyValue) Lease() LeaseID { return kv.lease }

// RangeReply is the answer to a read.
type RangeReply struct {
	revision int64
	kvs      []KeyValue
	more     bool
}

// Revision returns the service's revision at the time of the read.
func (r RangeReply) Revision() int64 { return r.revision }

// KVs returns the values in the order of their keys.
func (r RangeReply) KVs() []KeyValue { return r.kvs }

// More reports whether the limit cut the answer.
func (r RangeReply) More() bool { return r.more }

// First returns the first value and whether there is one.
func (r RangeReply) First() (KeyValue, bool) {
	if len(r.kvs) == 0 {
		return KeyValue{}, false
	}
	return r.kvs[0], true
}

// OpReply is the answer to one operation of a transaction. At most one of its
// accessors returns more than a zero value, after the kind of the operation.
type OpReply struct {
	get RangeReply
	txn TxnReply
}

// Range returns the answer to a Get.
func (r OpReply) Range() RangeReply { return r.get }

// Txn returns the answer to a nested transaction.
func (r OpReply) Txn() TxnReply { return r.txn }

// TxnReply is the answer to a transaction.
type TxnReply struct {
	revision  int64
	succeeded bool
	ops       []OpReply
}

// Revision returns the service's revision after the transaction.
func (r TxnReply) Revision() int64 { return r.revision }

// Succeeded reports whether the conditions held, so that Then was done.
func (r TxnReply) Succeeded() bool { return r.succeeded }

// Ops returns the answers to the operations that were done, in their order.
func (r TxnReply) Ops() []OpReply { return r.ops }

// TxnReplyFrom reads a transaction's answer from the wire.
func TxnReplyFrom(p *etcdpb.TxnResponse) TxnReply {
	r := TxnReply{
		revision:  p.GetHeader().GetRevision(),
		succeeded: p.GetSucceeded(),
		ops:       make([]OpReply, 0, len(p.GetResponses())),
	}
	for _, o := range p.GetResponses() {
		r.ops = append(r.ops, opReplyFrom(o, r.revision))
	}
	return r
}

// opReplyFrom gives nested answers the outer revision when they carry none.
func opReplyFrom(p *etcdpb.ResponseOp, revision int64) OpReply {
	r := OpReply{get: RangeReplyFrom(p.GetResponseRange()), txn: TxnReplyFrom(p.GetResponseTxn())}
	if r.txn.revision == 0 {
		r.txn.revision = revision
	}
	return r
}

// RangeReplyFrom reads a read's answer from the wire.
func RangeReplyFrom(p *etcdpb.RangeResponse) RangeReply {
	r := RangeReply{revision: p.GetHeader().GetRevision(), more: p.GetMore()}
	for _, kv := range p.GetKvs() {
		r.kvs = append(r.kvs, keyValueFrom(kv))
	}
	return r
}

func keyValueFrom(p *etcdpb.KeyValue) KeyValue {
	return KeyValue{
		key:      string(p.GetKey()),
		value:    p.GetValue(),
		revision: p.GetModRevision(),
		lease:    LeaseID(p.GetLease()),
	}
}

// NewKeyValue returns an item as a client of another protocol has read it.
func NewKeyValue(key string, value []byte, revision int64, lease LeaseID) KeyValue {
	return KeyValue{key: key, value: value, revision: revision, lease: lease}
}

// NewRangeReply returns a read's answer as a client of another protocol has
// read it.
func NewRangeReply(revision int64, kvs []KeyValue, more bool) RangeReply {
	return RangeReply{revision: revision, kvs: kvs, more: more}
}

// NewTxnReply returns a transaction's answer as a client of another protocol has
// read it.
func NewTxnReply(revision int64, succeeded bool) TxnReply {
	return TxnReply{revision: revision, succeeded: succeeded}
}
