package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/pause"
	"github.com/hyssoprelay/hyssoprelay/internal/platform"
	"github.com/hyssoprelay/hyssoprelay/internal/wake"
)

const (
	// maxGuests is the number of processes that a host keeps registered. Each calls it
	// every third of LeaseTTL.
	maxGuests = 256
	// maxTxnKeys is the number of keys that the store accepts in one transaction.
	maxTxnKeys = 32
	// batchDelay is how long a host waits for further processes before it writes. Agents
	// that start together learn of their groups in turns of a quarter of a second.
	batchDelay = 200 * time.Millisecond
	// renewalInterval is the time from one renewal of the lease to the next, less the wait
	// for further processes.
	renewalInterval = LeaseTTL/3 - batchDelay
	// verifyInterval is the shortest time between two looks at the host's lease on behalf
	// of processes that suspect that it has expired.
	verifyInterval = 250 * time.Millisecond
	// maxRenewalAge is the age of the lease's last renewal from which a host turns its
	// guests away, since the store may answer another host. It leaves a guest, which asks
	// again within a third of LeaseTTL, two seconds to register there.
	maxRenewalAge = LeaseTTL/3 + time.Second
)

// The reasons for which a host refuses to register a process.
var (
	errHostFull    = NewRefusedError("fleet: the host has as many guests as it may have")
	errHostStopped = NewRefusedError("fleet: the host is about to stop")
	errNotRenewed  = NewRefusedError("fleet: the host can't renew its lease")
)

// RefusedError says that a host did not register a process: no key was written for the
// request, nor will one be.
type RefusedError struct {
	reason string
}

// NewRefusedError returns a RefusedError with the reason for which the host refused.
func NewRefusedError(reason string) *RefusedError { return &RefusedError{reason: reason} }

func (e *RefusedError) Error() string { return e.reason }

// IsRefused reports whether err says that a request to register had no effect.
func IsRefused(err error) bool {
	var refused *RefusedError
	return errors.As(err, &refused)
}

// Host keeps the keys of processes in the store, its guests, on their behalf. Set the
// exported fields before Run. It is safe for concurrent use.
//
// A lease and a key of its own cost each process two calls at its start and one renewal
// every three seconds. In a fleet of a thousand those were four of five calls to the
// store, and as many writes when all start at once. A host writes the keys of up to
// maxTxnKeys processes in one call, and all under one lease. A guest repeats its request
// every third of LeaseTTL; one that no longer does is deregistered after LeaseTTL. If the
// host fails, its guests notice within that third and register elsewhere before the lease
// expires.
type Host struct {
	Store Store
	// Self is the key of the process that runs the host. It may stay registered while the
	// host refuses all others.
	Self string
	// RenewElsewhere, if set, asks other processes to renew a lease that the store does not
	// renew for this one.
	RenewElsewhere func(ctx context.Context, lease platform.LeaseID) error
	// OnError, if set, is called with the error of each failed call.
	OnError func(error)
	Now     func() time.Time

	due wake.Signal

	mu      sync.Mutex // guards all below
	stopped bool
	lease   platform.LeaseID
	// renewedAt is when the lease was granted or last renewed. triedAt is when its last
	// renewal began, and verify asks for one before the next is due.
	renewedAt, triedAt time.Time
	verify             bool
	guests             map[string]*guest
	// gone are the keys of former guests that are still to be deleted.
	gone []writtenKey
}

// guest is a process that a host keeps registered.
type guest struct {
	value       []byte
	confirmedAt time.Time
	// written reports that value is in the store. revision is the revision at which the
	// host last wrote the key, or 0 if it has not under its present lease.
	written  bool
	revision int64
	leaving  bool
	// waiting receive the outcome of the next write.
	waiting []chan error
}

// Register keeps a member registered for LeaseTTL from now on. It returns once its key, and that by
// which it is found if it is a host, are in the store. The error is a RefusedError if the request had
// no effect.
func (h *Host) Register(ctx context.Context, q Request) error {
	value, err := json.Marshal(q.Member)
	if err != nil {
		return err
	}
	pending, err := h.confirmAll(value, q, h.Now())
	if err != nil {
		return err
	}
	for key, written := range pending {
		select {
		case writeErr := <-written:
			err = errors.Join(err, writeErr)
		case <-ctx.Done():
			h.abandon(key, written)
			err = ctx.Err()
		}
	}
	return err
}

// confirmAll records that a process wants to stay registered. It returns the channels that receive
// the outcomes of writing keys, by key, without those that are in the store.
func (h *Host) confirmAll(value []byte, q Request, now time.Time) (map[string]chan error, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	keys := []string{q.Member.Key()}
	if q.Member.Host && !h.stopped {
		keys = append(keys, q.Member.HostKey())
	}
	pending := map[string]chan error{}
	for _, key := range keys {
		written, err := h.confirm(key, value, q, now)
		if err != nil {
			return nil, err
		}
		if written != nil {
			pending[key] = written
		}
	}
	return pending, nil
}

// abandon forgets a guest that no longer waits for its key to be written: it registers
// elsewhere, and its key there must not be replaced.
func (h *Host) abandon(key string, written chan error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if g, ok := h.guests[key]; ok && slices.Contains(g.waiting, written) {
		h.forget(key, g)
	}
}

// confirm records that a key is to stay in the store. It returns a channel that receives the
// outcome of writing the key, or nil if it is in the store. mu must be held.
func (h *Host) confirm(key string, value []byte, q Request, now time.Time) (chan error, error) {
	g, ok := h.guests[key]
	switch {
	case h.stopped && key != h.Self:
		return nil, errHostStopped
	case !ok && len(h.guests) >= maxGuests:
		return nil, errHostFull
	case !ok:
		g = &guest{}
		if h.guests == nil {
			h.guests = map[string]*guest{}
		}
		h.guests[key] = g
	}
	g.confirmedAt, g.leaving = now, false
	if g.written && !q.Rewrite && bytes.Equal(g.value, value) {
		if now.Sub(h.renewedAt) > maxRenewalAge {
			return nil, errNotRenewed
		}
		if q.Verify && now.Sub(h.triedAt) >= verifyInterval {
			h.verify = true
			h.due.Raise()
		}
		return nil, nil
	}
	g.value, g.written = value, false
	written := make(chan error, 1)
	g.waiting = append(g.waiting, written)
	h.due.Raise()
	return written, nil
}

// Leave ends the registration of a member soon.
func (h *Host) Leave(_ context.Context, m Member) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if g, ok := h.guests[m.Key()]; ok {
		g.leaving = true
		h.due.Raise()
	}
	return nil
}

// Deregister ends the registration of a member at once.
func (h *Host) Deregister(ctx context.Context, m Member) error {
	h.mu.Lock()
	var written []writtenKey
	for _, key := range []string{m.Key(), m.HostKey()} {
		if g, ok := h.guests[key]; ok && g.revision != 0 {
			written = append(written, writtenKey{key: key, revision: g.revision})
		}
		delete(h.guests, key)
	}
	h.mu.Unlock()
	return h.deleteKeys(ctx, written)
}

// firstOwnKey reports whether the host has no lease yet and is to write the key of its own
// process. It does so at once: until others see that key, they may become hosts as well.
func (h *Host) firstOwnKey() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, ok := h.guests[h.Self]
	return ok && h.lease == 0
}

// Hosting reports whether the host has a lease and takes guests.
func (h *Host) Hosting() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lease != 0 && !h.stopped
}

// Stop makes the host refuse its guests, so that they register elsewhere. Its lease
// expires unless Run goes on.
func (h *Host) Stop() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stopped = true
}

// Run writes the keys of guests and renews the lease until ctx ends. It always returns
// nil. The lease is left to expire, because guests may not have registered elsewhere yet.
func (h *Host) Run(ctx context.Context) error {
	retryDelay := minRetryDelay
	delay := LeaseTTL / 3
	for ctx.Err() == nil {
		h.due.Wait(ctx, delay)
		if !h.firstOwnKey() {
			pause.For(ctx, batchDelay)
		}
		if err := h.update(ctx, h.Now()); err != nil && ctx.Err() == nil {
			h.reportFailure(err)
			delay = retryDelay
			retryDelay = min(2*retryDelay, maxRetryDelay)
			continue
		}
		delay, retryDelay = h.renewalDelay(h.Now()), minRetryDelay
	}
	return nil
}

// renewalDelay returns the time until the lease is due to be renewed. Guests that cause
// other updates in the meantime do not put it off.
func (h *Host) renewalDelay(now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lease == 0 {
		return LeaseTTL / 3
	}
	return max(0, h.triedAt.Add(renewalInterval).Sub(now))
}

// update brings the store up to date. It returns the first error.
func (h *Host) update(ctx context.Context, now time.Time) error {
	if err := h.renew(ctx, now); err != nil {
		h.notify(h.takeUnwritten(now), err)
		return err
	}
	if err := h.removeGone(ctx, now); err != nil {
		return err
	}
	for {
		batch := h.takeUnwritten(now)
		if len(batch) == 0 {
			return nil
		}
		err := h.write(ctx, batch)
		if platform.IsLeaseMissing(err) {
			h.dropLease()
			err = h.write(ctx, batch)
		}
		h.notify(batch, err)
		if err != nil {
			return err
		}
	}
}

// renew renews the lease if that is due. If the lease has expired, all keys are due to be
// written.
func (h *Host) renew(ctx context.Context, now time.Time) error {
	h.mu.Lock()
	lease, due := h.lease, h.verify || now.Sub(h.triedAt) >= renewalInterval
	if lease != 0 && due {
		h.verify, h.triedAt = false, now
	}
	h.mu.Unlock()
	if lease == 0 || !due {
		return nil
	}
	err := h.keepAlive(ctx, lease)
	if platform.IsLeaseMissing(err) {
		h.dropLease()
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil {
		h.verify = true // the retry is not to wait until the next renewal
		return err
	}
	h.renewedAt = now
	return nil
}

// keepAlive renews a lease, if need be through another process: the store may turn some
// away and serve the others. Guests that moved would each be a write, all at once.
func (h *Host) keepAlive(ctx context.Context, lease platform.LeaseID) error {
	_, err := h.Store.KeepAlive(ctx, lease)
	if err == nil || platform.IsLeaseMissing(err) || h.RenewElsewhere == nil || ctx.Err() != nil {
		return err
	}
	h.reportFailure(err)
	return h.RenewElsewhere(ctx, lease)
}

func (h *Host) reportFailure(err error) {
	if h.OnError != nil {
		h.OnError(err)
	}
}

// dropLease records that the lease has expired, and with it all keys.
func (h *Host) dropLease() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lease, h.gone = 0, nil
	for _, g := range h.guests {
		g.written, g.revision = false, 0
	}
}

// keyWrite is a key to be written.
type keyWrite struct {
	key   string
	value []byte
}

// writtenKey is a key and the revision at which the host wrote it.
type writtenKey struct {
	key      string
	revision int64
}
