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

// KV is what a KVLease needs of the platform's key-value service.
type KV interface {
	Get(ctx context.Context, key string) (platform.RangeReply, error)
	Txn(ctx context.Context, t platform.Txn) (platform.TxnReply, error)
	Grant(ctx context.Context, ttl time.Duration) (platform.LeaseID, error)
	KeepAlive(ctx context.Context, id platform.LeaseID) (time.Duration, error)
	Revoke(ctx context.Context, id platform.LeaseID) error
}

// KVLease is a Lease in the platform's key-value service. Set the fields before
// the first call. The lease is a key attached to a lease of the service, and
// its fencing token the revision at which the key was written, which grows with
// each write to the service. The record is a second key without a lease.
type KVLease struct {
	KV KV
	// Prefix begins the lease's keys; it may be "".
	Prefix string
	// Group is the group's name, Holder this agent's, unique to its run.
	Group, Holder string
	// TTL is how long the lease lasts without being renewed.
	TTL time.Duration

	mu       sync.Mutex // guards what follows
	attempts int
	id       platform.LeaseID
	token    uint64
}

const (
	groupPrefix = "rank/"
	leaseSuffix = "/lease"
	// attemptMark stands between a holder and the number of its attempt.
	attemptMark = "/"
)

func (l *KVLease) leaseKey() string  { return l.Prefix + groupPrefix + l.Group + leaseSuffix }
func (l *KVLease) recordKey() string { return l.Prefix + groupPrefix + l.Group + "/record" }

// Held reads the lease's key, if somebody holds the lease.
func (l *KVLease) Held(ctx context.Context) (platform.KeyValue, bool, error) {
	reply, err := l.KV.Get(ctx, l.leaseKey())
	if err != nil {
		return platform.KeyValue{}, false, err
	}
	kv, ok := reply.First()
	return kv, ok, nil
}

// Acquire implements Lease. A write whose answer is lost is settled by reading
// who holds the lease, by an id of this attempt alone.
func (l *KVLease) Acquire(ctx context.Context, now time.Time) (uint64, time.Time, error) {
	if _, held, err := l.Held(ctx); held || err != nil {
		return 0, time.Time{}, cmp.Or(err, ErrLeaseHeld)
	}
	id, err := l.KV.Grant(ctx, l.TTL)
	if err != nil {
		return 0, time.Time{}, err
	}
	token, err := l.take(ctx, id)
	if err != nil {
		return 0, time.Time{}, err
	}
	l.mu.Lock()
	l.id, l.token = id, token
	l.mu.Unlock()
	return token, now.Add(l.TTL), nil
}

func (l *KVLease) take(ctx context.Context, id platform.LeaseID) (uint64, error) {
	attempt := l.attempt()
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

// attempt returns the value of the lease's key: the holder, and the number of
// its attempt to take the lease.
func (l *KVLease) attempt() []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts++
	return fmt.Appendf(nil, "%s%s%d", l.Holder, attemptMark, l.attempts)
}

// LeaseHolder returns the holder that the value of a lease's key names.
func LeaseHolder(value []byte) string {
	s := string(value)
	return s[:max(0, strings.LastIndex(s, attemptMark))]
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

// Release ends the lease, so that another holder need not wait for its end.
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

// CAS implements Lease. The lease is a condition too, so that a holder whose
// lease has lapsed writes nothing.
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
