package claim

import (
	"github.com/hyssoprelay/hyssoprelay/internal/platform"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// step is what an operation of the batcher does next: create, conclude or
// closeKey.
type step interface{ isStep() }

// guard is the condition under which a claim may be made: nothing is open, and
// the closed record is the one at the revision, which says not run. Revision 0
// is no closed record.
type guard int64

// create makes a claim.
type create struct {
	record Record
	guard  guard
}

// conclude replaces the open record at the revision by one with an outcome.
type conclude struct {
	record   Record
	revision int64
}

// closeKey closes a key under the guard of a create. It ends an attempt that is
// given up: a create of it that may still be on its way finds its guard broken.
// It also stores the outcome of a run whose claim the service has lost.
type closeKey struct {
	record Record // in a closed state
	guard  guard
}

func (create) isStep()   {}
func (conclude) isStep() {}
func (closeKey) isStep() {}

func recordOf(s step) Record {
	switch s := s.(type) {
	case create:
		return s.record
	case conclude:
		return s.record
	case closeKey:
		return s.record
	default:
		return Record{}
	}
}

// txnOf returns the nested transaction of a step. It holds at most
// nestedOps operations in each list. The lease is for closed records.
func txnOf(s step, lease platform.LeaseID) platform.Txn {
	r := recordOf(s)
	t := platform.Txn{Else: []platform.Op{
		platform.Get{Key: r.key.open()},
		platform.Get{Key: r.key.closed()},
	}}
	switch s := s.(type) {
	case create:
		t.If = s.guard.compares(r.key)
		t.Then = []platform.Op{platform.Put{Key: r.key.open(), Value: r.Encode()}}
	case conclude:
		t.If = []platform.Compare{platform.RevisionIs{Key: r.key.open(), Revision: s.revision}}
		t.Then = concludeOps(r, lease)
	case closeKey:
		t.If = s.guard.compares(r.key)
		t.Then = []platform.Op{platform.Put{Key: r.key.closed(), Value: r.Encode(), Lease: lease}}
	}
	return t
}

// nestedOps is the largest list of operations that txnOf makes.
const nestedOps = 2

func (g guard) compares(k Key) []platform.Compare {
	open := platform.Absent{Key: k.open()}
	if g == 0 {
		return []platform.Compare{open, platform.Absent{Key: k.closed()}}
	}
	return []platform.Compare{open, platform.RevisionIs{Key: k.closed(), Revision: int64(g)}}
}

func concludeOps(r Record, lease platform.LeaseID) []platform.Op {
	if r.state.open() {
		return []platform.Op{platform.Put{Key: r.key.open(), Value: r.Encode()}}
	}
	return []platform.Op{
		platform.Delete{Key: r.key.open()},
		platform.Put{Key: r.key.closed(), Value: r.Encode(), Lease: lease},
	}
}

// needsLease reports whether a step writes a closed record.
func needsLease(s step) bool {
	_, isCreate := s.(create)
	return !isCreate && !recordOf(s).state.open()
}

// found is what a step that did not succeed has read.
type found struct {
	open, closed       Record
	openRev, closedRev int64 // 0 when there is none
}

func foundIn(r platform.TxnReply) (found, error) {
	var f found
	ops := r.Ops()
	if len(ops) != 2 {
		return f, ErrRecord
	}
	var err error
	if f.open, f.openRev, err = recordIn(ops[0]); err != nil {
		return f, err
	}
	f.closed, f.closedRev, err = recordIn(ops[1])
	return f, err
}

func recordIn(o platform.OpReply) (Record, int64, error) {
	kv, ok := o.Range().First()
	if !ok {
		return Record{}, 0, nil
	}
	r, err := DecodeRecord(kv.Value())
	return r, kv.Revision(), err
}

// judge reads the reply to a create. It returns the verdict, or nil and the
// create to send next.
func (c create) judge(r platform.TxnReply) (Verdict, create) {
	if r.Succeeded() {
		return Granted{Grant{record: c.record, revision: r.Revision()}}, c
	}
	f, err := foundIn(r)
	if err != nil {
		return Unknown{Err: err}, c
	}
	switch {
	case f.openRev != 0:
		return c.judgeOpen(f.open, f.openRev), c
	case f.closedRev == 0:
		c.guard = 0
		return nil, c
	case f.closed.attemptID == c.record.attemptID:
		return NotMade{Err: result.New(result.PlatformDown, "the claim was released before it was granted")}, c
	case f.closed.state == NotRun:
		c.guard = guard(f.closedRev)
		return nil, c
	case f.closed.bodyDigest != c.record.bodyDigest:
		return KeyReused{Record: f.closed}, c
	default:
		return Done{Record: f.closed}, c
	}
}

func (c create) judgeOpen(open Record, revision int64) Verdict {
	switch {
	case open.attemptID == c.record.attemptID:
		return Granted{Grant{record: open, revision: revision}}
	case open.bodyDigest != c.record.bodyDigest:
		return KeyReused{Record: open}
	default:
		return HeldBy{Record: open}
	}
}

// judge reads the reply to a conclude. It reports whether the outcome is stored,
// and else returns the step to send next, or nil when someone else has closed
// the claim.
func (c conclude) judge(r platform.TxnReply) (bool, step) {
	if r.Succeeded() {
		return true, nil
	}
	f, err := foundIn(r)
	if err != nil {
		return false, nil
	}
	mine := f.openRev != 0 && f.open.attemptID == c.record.attemptID
	switch {
	case mine && f.open.state == c.record.state:
		return true, nil
	case mine:
		c.revision = f.openRev
		return false, c
	case f.openRev == 0 && f.closedRev == 0 && !c.record.state.open():
		return false, closeKey{record: c.record}
	default:
		return f.closed.attemptID == c.record.attemptID && f.closed.state == c.record.state, nil
	}
}

// judge reads the reply to a closeKey. It returns the conclude that ends the
// attempt's own open record, or nil when there is nothing left to do: with a
// record of someone else in place the guard of the create can't hold any more.
func (c closeKey) judge(r platform.TxnReply) step {
	if r.Succeeded() {
		return nil
	}
	f, err := foundIn(r)
	if err != nil || f.openRev == 0 || f.open.attemptID != c.record.attemptID {
		return nil
	}
	return conclude{record: c.record, revision: f.openRev}
}
