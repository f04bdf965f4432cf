package platform

import (
	"fmt"

	"github.com/hyssoprelay/hyssoprelay/internal/platform/etcdpb"
)

// KeyValue is a key with its value.
type KeyValue struct {
	key      string
	value    []byte
	revision int64
	lease    LeaseID
}

// Key returns the key.
func (kv KeyValue) Key() string { return kv.key }

// Value returns the value. The caller must not modify it.
func (kv KeyValue) Value() []byte { return kv.value }

// Revision returns the revision of the last write to the key.
func (kv KeyValue) Revision() int64 { return kv.revision }

// Lease returns the lease that the key is attached to, or zero if there is none.
func (kv KeyValue) Lease() LeaseID { return kv.lease }

// RangeReply is the reply to a read.
type RangeReply struct {
	revision int64
	kvs      []KeyValue
	more     bool
}

// Revision returns the service's revision at the time of the read.
func (r RangeReply) Revision() int64 { return r.revision }

// KVs returns the key-value pairs in order of keys.
func (r RangeReply) KVs() []KeyValue { return r.kvs }

// More reports whether the limit truncated the reply.
func (r RangeReply) More() bool { return r.more }

// First returns the first key-value pair, and false if there is none.
func (r RangeReply) First() (KeyValue, bool) {
	if len(r.kvs) == 0 {
		return KeyValue{}, false
	}
	return r.kvs[0], true
}

// OpReply is the reply to one operation of a transaction. Only the accessor for
// the kind of the operation returns more than a zero value; for a Put or Delete
// none does.
type OpReply struct {
	rangeReply RangeReply
	txnReply   TxnReply
}

// Range returns the reply to a Get.
func (r OpReply) Range() RangeReply { return r.rangeReply }

// Txn returns the reply to a nested transaction.
func (r OpReply) Txn() TxnReply { return r.txnReply }

// TxnReply is the reply to a transaction.
type TxnReply struct {
	revision  int64
	succeeded bool
	ops       []OpReply
	current   []KeyValue
}

// Revision returns the service's revision after the transaction.
func (r TxnReply) Revision() int64 { return r.revision }

// Succeeded reports whether the conditions held and Then was executed instead of
// Else.
func (r TxnReply) Succeeded() bool { return r.succeeded }

// Ops returns the replies to the executed operations, in order.
func (r TxnReply) Ops() []OpReply { return r.ops }

// RevisionOf returns the revision of the last change of a key named by a condition, if the
// conditions did not hold and the store says so. It is 0 if the key does not exist.
func (r TxnReply) RevisionOf(key string) int64 {
	for _, kv := range r.current {
		if kv.key == key {
			return kv.revision
		}
	}
	return 0
}

// TxnReplyFrom converts a TxnResponse message.
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

// opReplyFrom converts a ResponseOp message. A nested transaction whose reply
// has no revision gets that of the outer one.
func opReplyFrom(p *etcdpb.ResponseOp, revision int64) OpReply {
	r := OpReply{rangeReply: RangeReplyFrom(p.GetResponseRange()), txnReply: TxnReplyFrom(p.GetResponseTxn())}
	if r.txnReply.revision == 0 {
		r.txnReply.revision = revision
	}
	return r
}

// RangeReplyFrom converts a RangeResponse message.
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

// NewKeyValue returns a KeyValue for a client of another protocol.
func NewKeyValue(key string, value []byte, revision int64, lease LeaseID) KeyValue {
	return KeyValue{key: key, value: value, revision: revision, lease: lease}
}

// NewRangeReply returns a RangeReply for a client of another protocol.
func NewRangeReply(revision int64, kvs []KeyValue, more bool) RangeReply {
	return RangeReply{revision: revision, kvs: kvs, more: more}
}

// NewTxnReply returns a TxnReply without replies to operations for a client of
// another protocol.
func NewTxnReply(revision int64, succeeded bool) TxnReply {
	return TxnReply{revision: revision, succeeded: succeeded}
}

// NewFailedTxnReply returns the reply to a transaction whose conditions did not hold. current
// holds the keys that they name as they are in the store.
func NewFailedTxnReply(current []KeyValue) TxnReply { return TxnReply{current: current} }

// maxListBytes bounds the keys and values of one list in bytes, since a service may announce pages
// without end.
const maxListBytes = 32 << 20

// size returns the bytes of the keys and values.
func (r RangeReply) size() int {
	n := 0
	for _, kv := range r.KVs() {
		n += len(kv.Key()) + len(kv.Value())
	}
	return n
}

// ListPages calls list for one page of keys after the other, each after the last key of the
// page before it, and returns all keys with the revision of the first page. If a call fails, it
// returns the keys so far with the error.
func ListPages(list func(after string) (RangeReply, error)) (kvs []KeyValue, revision int64, err error) {
	size := 0
	for after := ""; ; after = kvs[len(kvs)-1].Key() {
		page, err := list(after)
		if err != nil {
			return kvs, revision, err
		}
		if size += page.size(); size > maxListBytes {
			return kvs, revision, NewReadError(fmt.Sprintf("the list has more than %d bytes", maxListBytes))
		}
		if revision == 0 {
			revision = page.Revision()
		}
		kvs = append(kvs, page.KVs()...)
		if !page.More() || len(page.KVs()) == 0 {
			return kvs, revision, nil
		}
	}
}
