package claim

import (
	"github.com/hyssoprelay/hyssoprelay/internal/platform"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// mutation is the change of the stored records that an operation sends next:
// createClaim, storeOutcome or closeKey.
type mutation interface{ isMutation() }

// precondition is the condition for making a claim: the key has no open record,
// and its closed record is the one at this revision, which is in state NotRun.
// Revision 0 means that there is no closed record.
type precondition int64

// createClaim makes a claim by creating its open record.
type createClaim struct {
	record       Record
	precondition precondition
}

// storeOutcome replaces the open record at the revision by one with an outcome.
type storeOutcome struct {
	record   Record
	revision int64
}

// closeKey closes a key under the precondition of a createClaim. It ends an
// abandoned attempt: the precondition of a createClaim that is still in flight
// then fails. It also stores the outcome of a run whose claim the service has
// lost.
type closeKey struct {
	record       Record // in a closed state
	precondition precondition
}

func (createClaim) isMutation()  {}
func (storeOutcome) isMutation() {}
func (closeKey) isMutation()     {}

func recordOf(m mutation) Record {
	switch s := m.(type) {
	case createClaim:
		return s.record
	case storeOutcome:
		return s.record
	case closeKey:
		return s.record
	default:
		return Record{}
	}
}

// mutationTxn returns the nested transaction for a mutation. Each of its
// operation lists holds at most nestedOps operations. Closed records are
// attached to lease.
func mutationTxn(m mutation, lease platform.LeaseID) platform.Txn {
	r := recordOf(m)
	t := platform.Txn{Else: []platform.Op{
		platform.Get{Key: r.key.openKey()},
		platform.Get{Key: r.key.closedKey()},
	}}
	switch s := m.(type) {
	case createClaim:
		t.If = s.precondition.compares(r.key)
		t.Then = []platform.Op{platform.Put{Key: r.key.openKey(), Value: r.Encode()}}
	case storeOutcome:
		t.If = []platform.Compare{platform.RevisionIs{Key: r.key.openKey(), Revision: s.revision}}
		t.Then = outcomeOps(r, lease)
	case closeKey:
		t.If = s.precondition.compares(r.key)
		t.Then = []platform.Op{platform.Put{Key: r.key.closedKey(), Value: r.Encode(), Lease: lease}}
	}
	return t
}

// nestedOps is the length of the longest operation list that mutationTxn
// returns.
const nestedOps = 2

func (p precondition) compares(k Key) []platform.Compare {
	open := platform.Absent{Key: k.openKey()}
	if p == 0 {
		return []platform.Compare{open, platform.Absent{Key: k.closedKey()}}
	}
	return []platform.Compare{open, platform.RevisionIs{Key: k.closedKey(), Revision: int64(p)}}
}

func outcomeOps(r Record, lease platform.LeaseID) []platform.Op {
	if r.state.isOpen() {
		return []platform.Op{platform.Put{Key: r.key.openKey(), Value: r.Encode()}}
	}
	return []platform.Op{
		platform.Delete{Key: r.key.openKey()},
		platform.Put{Key: r.key.closedKey(), Value: r.Encode(), Lease: lease},
	}
}

// needsLease reports whether a mutation writes a closed record.
func needsLease(m mutation) bool {
	_, isCreate := m.(createClaim)
	return !isCreate && !recordOf(m).state.isOpen()
}

// storedRecords holds the records of a key as read by a mutation whose
// condition failed.
type storedRecords struct {
	open, closed       Record
	openRev, closedRev int64 // 0 if there is no such record
}

func decodeStored(r platform.TxnReply) (storedRecords, error) {
	var f storedRecords
	ops := r.Ops()
	if len(ops) != 2 {
		return f, ErrMalformedRecord
	}
	var err error
	if f.open, f.openRev, err = decodeRecordReply(ops[0]); err != nil {
		return f, err
	}
	f.closed, f.closedRev, err = decodeRecordReply(ops[1])
	return f, err
}

func decodeRecordReply(o platform.OpReply) (Record, int64, error) {
	kv, ok := o.Range().First()
	if !ok {
		return Record{}, 0, nil
	}
	r, err := DecodeRecord(kv.Value())
	return r, kv.Revision(), err
}

// interpretReply interprets the reply to a createClaim. It returns the result,
// or nil and the createClaim to send next.
func (c createClaim) interpretReply(r platform.TxnReply) (Result, createClaim) {
	if r.Succeeded() {
		return Granted{Grant{record: c.record, revision: r.Revision()}}, c
	}
	f, err := decodeStored(r)
	if err != nil {
		return Unknown{Err: err}, c
	}
	switch {
	case f.openRev != 0:
		return c.interpretOpen(f.open, f.openRev), c
	case f.closedRev == 0:
		c.precondition = 0
		return nil, c
	case f.closed.attemptID == c.record.attemptID:
		return NotClaimed{Err: result.New(result.PlatformDown, "the claim was released before it was granted")}, c
	case f.closed.state == NotRun:
		c.precondition = precondition(f.closedRev)
		return nil, c
	case f.closed.bodyDigest != c.record.bodyDigest:
		return KeyReused{Record: f.closed}, c
	default:
		return AlreadyRun{Record: f.closed}, c
	}
}

func (c createClaim) interpretOpen(open Record, revision int64) Result {
	switch {
	case open.attemptID == c.record.attemptID:
		return Granted{Grant{record: open, revision: revision}}
	case open.bodyDigest != c.record.bodyDigest:
		return KeyReused{Record: open}
	default:
		return Held{Record: open}
	}
}

// interpretReply interprets the reply to a storeOutcome. It reports whether the
// outcome is stored. If it is not, it returns the mutation to send next, or nil
// when another process has closed the claim or the stored records can't be
// decoded.
func (c storeOutcome) interpretReply(r platform.TxnReply) (bool, mutation) {
	if r.Succeeded() {
		return true, nil
	}
	f, err := decodeStored(r)
	if err != nil {
		return false, nil
	}
	ownOpen := f.openRev != 0 && f.open.attemptID == c.record.attemptID
	switch {
	case ownOpen && f.open.state == c.record.state:
		return true, nil
	case ownOpen:
		c.revision = f.openRev
		return false, c
	case f.openRev == 0 && f.closedRev == 0 && !c.record.state.isOpen():
		return false, closeKey{record: c.record}
	default:
		return f.closed.attemptID == c.record.attemptID && f.closed.state == c.record.state, nil
	}
}

// interpretReply interprets the reply to a closeKey. It returns the
// storeOutcome that closes the attempt's own open record, or nil when nothing
// is left to do: once another attempt's record exists, the precondition of the
// createClaim can't hold any more.
func (c closeKey) interpretReply(r platform.TxnReply) mutation {
	if r.Succeeded() {
		return nil
	}
	f, err := decodeStored(r)
	if err != nil || f.openRev == 0 || f.open.attemptID != c.record.attemptID {
		return nil
	}
	return storeOutcome{record: c.record, revision: f.openRev}
}
