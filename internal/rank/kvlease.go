package rank

import (
	"cmp"
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/platform"
	"github.com/hyssoprelay/hyssoprelay/internal/rank/naming"
)

// KV is the part of the platform's key-value service that a KVLease uses.
type KV interface {
	Get(ctx context.Context, key string) (platform.RangeReply, error)
	Txn(ctx context.Context, t platform.Txn) (platform.TxnReply, error)
	Grant(ctx context.Context, ttl time.Duration) (platform.LeaseID, error)
	KeepAlive(ctx context.Context, id platform.LeaseID) (time.Duration, error)
	Revoke(ctx context.Context, id platform.LeaseID) error
}

// KVLease implements Lease on the platform's key-value service. Set the fields
// before the first call. The lease is a key attached to a lease of the service.
// Its fencing token is the revision at which the key was written, which
// increases with each write to the service. The record is a second key without
// a lease.
type KVLease struct {
	KV KV
	// Prefix is prepended to the keys; it may be empty.
	Prefix string
	// Group is the name of the group. Holder is a name of this agent that is
	// unique to its run.
	Group, Holder string
	// TTL is how long the lease lasts without being renewed.
	TTL time.Duration

	mu       sync.Mutex // guards the fields below
	attempts int
	id       platform.LeaseID
	token    uint64
}

const (
	groupPrefix = "rank/"
	leaseSuffix = "/lease"
	// attemptSeparator separates the holder from the number of its attempt.
	attemptSeparator = "/"
)

func (l *KVLease) leaseKey() string  { return l.Prefix + groupPrefix + l.Group + leaseSuffix }
func (l *KVLease) recordKey() string { return l.Prefix + groupPrefix + l.Group + "/record" }

// CurrentHolder returns the key-value pair of the lease, and false if nobody
// holds the lease.
func (l *KVLease) CurrentHolder(ctx context.Context) (platform.KeyValue, bool, error) {
	reply, err := l.KV.Get(ctx, l.leaseKey())
	if err != nil {
		return platform.KeyValue{}, false, err
	}
	kv, ok := reply.First()
	return kv, ok, nil
}

// Acquire implements Lease. If the reply to the write is lost, it reads the
// lease's key, whose value is unique to this attempt, to determine the holder.
func (l *KVLease) Acquire(ctx context.Context, now time.Time) (uint64, time.Time, error) {
	if _, held, err := l.CurrentHolder(ctx); held || err != nil {
		return 0, time.Time{}, cmp.Or(err, ErrLeaseHeld)
	}
	id, err := l.KV.Grant(ctx, l.TTL)
	if err != nil {
		return 0, time.Time{}, err
	}
	token, err := l.putLeaseKey(ctx, id)
	if err != nil {
		return 0, time.Time{}, err
	}
	l.mu.Lock()
	l.id, l.token = id, token
	l.mu.Unlock()
	return token, now.Add(l.TTL), nil
}

func (l *KVLease) putLeaseKey(ctx context.Context, id platform.LeaseID) (uint64, error) {
	attempt := l.newAttemptID()
	reply, err := l.KV.Txn(ctx, platform.Txn{
		If:   []platform.Compare{platform.Absent{Key: l.leaseKey()}},
		Then: []platform.Op{platform.Put{Key: l.leaseKey(), Value: attempt, Lease: id}},
	})
	if err == nil && reply.Succeeded() {
		return uint64(reply.Revision()), nil
	}
	if err == nil {
		return 0, ErrLeaseHeld
	}
	if !platform.IsUnknown(err) {
		return 0, err
	}
	held, readErr := l.KV.Get(ctx, l.leaseKey())
	if readErr != nil {
		return 0, err
	}
	kv, ok := held.First()
	if !ok || string(kv.Value()) != string(attempt) {
		return 0, ErrLeaseHeld
	}
	return uint64(kv.Revision()), nil
}

// newAttemptID returns the value of the lease's key for a new attempt: the
// holder and the number of the attempt.
func (l *KVLease) newAttemptID() []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts++
	return fmt.Appendf(nil, "%s%s%d", l.Holder, attemptSeparator, l.attempts)
}

// LeaseHolder returns the holder from the value of a lease's key.
func LeaseHolder(value []byte) string {
	s := string(value)
	return s[:max(0, strings.LastIndex(s, attemptSeparator))]
}

// Renew implements Lease.
func (l *KVLease) Renew(ctx context.Context, now time.Time) (time.Time, error) {
	l.mu.Lock()
	id := l.id
	l.mu.Unlock()
	ttl, err := l.KV.KeepAlive(ctx, id)
	if platform.IsLeaseMissing(err) || err == nil && ttl <= 0 {
		return time.Time{}, ErrLeaseLost
	}
	if err != nil {
		return time.Time{}, err
	}
	return now.Add(ttl), nil
}

// End revokes the lease of another holder, whose key-value pair CurrentHolder has returned. That holder
// learns of it when it next renews the lease.
func (l *KVLease) End(ctx context.Context, holder platform.KeyValue) error {
	return l.KV.Revoke(ctx, holder.Lease())
}

// Release revokes the lease, so that another holder need not wait until it
// expires.
func (l *KVLease) Release(ctx context.Context) error {
	l.mu.Lock()
	id := l.id
	l.mu.Unlock()
	return l.KV.Revoke(ctx, id)
}

// Read implements Lease.
func (l *KVLease) Read(ctx context.Context) (naming.Record, int64, error) {
	reply, err := l.KV.Get(ctx, l.recordKey())
	if err != nil {
		return naming.Record{}, 0, err
	}
	kv, ok := reply.First()
	if !ok {
		return naming.Record{}, 0, nil
	}
	r, err := DecodeRecord(kv.Value())
	return r, kv.Revision(), err
}

// CAS implements Lease. The write is also conditional on the lease, so that a
// holder whose lease has expired writes nothing; it gets ErrRecordChanged.
func (l *KVLease) CAS(ctx context.Context, revision int64, r naming.Record) error {
	value, err := EncodeRecord(r)
	if err != nil {
		return err
	}
	l.mu.Lock()
	token := l.token
	l.mu.Unlock()
	var unchanged platform.Compare = platform.Absent{Key: l.recordKey()}
	if revision != 0 {
		unchanged = platform.RevisionIs{Key: l.recordKey(), Revision: revision}
	}
	reply, err := l.KV.Txn(ctx, platform.Txn{
		If:   []platform.Compare{unchanged, platform.RevisionIs{Key: l.leaseKey(), Revision: int64(token)}},
		Then: []platform.Op{platform.Put{Key: l.recordKey(), Value: value}},
	})
	if err != nil {
		return err
	}
	if !reply.Succeeded() {
		return ErrRecordChanged
	}
	return nil
}
