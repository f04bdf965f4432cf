package fleet

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/platform"
	"github.com/hyssoprelay/hyssoprelay/internal/wake"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// Prefix is the prefix of the keys of the product's own processes.
const Prefix = "hyssoprelay/"

// Kind is the role of a process.
type Kind string

// The kinds of processes.
const (
	Entry Kind = "entry"
	Agent Kind = "agent"
)

// Member describes one process of the fleet.
type Member struct {
	Kind       Kind   `json:"kind"`
	Name       string `json:"name"`
	DataCentre string `json:"dataCentre"`
	// Address is the IP:port at which it serves the other processes.
	Address string `json:"address"`
	// Endpoint is the IP:port of an agent's endpoint, and Group its group of
	// ranks.
	Endpoint string `json:"endpoint,omitempty"`
	Group    string `json:"group,omitempty"`
}

// Key returns the member's key in the store.
func (m Member) Key() string { return Prefix + string(m.Kind) + "/" + m.Name }

// Decode decodes a member from its key and value. It reports false if the key isn't
// that of a member, and fails with result.DocumentUnreadable if the value isn't valid
// JSON.
func Decode(key string, value []byte) (Member, bool, error) {
	kind, name, ok := KeyOf(key)
	if !ok {
		return Member{}, false, nil
	}
	var m Member
	if err := json.Unmarshal(value, &m); err != nil {
		return Member{}, true, result.Newf(result.DocumentUnreadable, "%s: %v", key, err)
	}
	m.Kind, m.Name = kind, name
	return m, true, nil
}

// KeyOf returns the kind and name of the member that a key belongs to. It reports
// false if the key isn't that of a member.
func KeyOf(key string) (Kind, string, bool) {
	path, ok := strings.CutPrefix(key, Prefix)
	if !ok {
		return "", "", false
	}
	kind, name, ok := strings.Cut(path, "/")
	if !ok || Kind(kind) != Entry && Kind(kind) != Agent {
		return "", "", false
	}
	return Kind(kind), name, true
}

// Store is the part of the platform's store that a Registrar uses.
type Store interface {
	Txn(ctx context.Context, t platform.Txn) (platform.TxnReply, error)
	Grant(ctx context.Context, ttl time.Duration) (platform.LeaseID, error)
	KeepAlive(ctx context.Context, id platform.LeaseID) (time.Duration, error)
	Revoke(ctx context.Context, id platform.LeaseID) error
}

const (
	// LeaseTTL is the time after which a process that no longer renews its lease
	// counts as gone. A dead process that is still listed does little harm, so the
	// time is long and renewals cost few calls.
	LeaseTTL = 9 * time.Second
	// minRetryDelay is the delay after the first failed call. It doubles with each
	// further failure, up to maxRetryDelay.
	minRetryDelay = 500 * time.Millisecond
	maxRetryDelay = 2 * time.Second
	// revokeTimeout bounds the call that revokes the lease when the process ends.
	revokeTimeout = 500 * time.Millisecond
)

// Registrar keeps a member registered in the store. Set the exported fields before
// Run.
type Registrar struct {
	Store  Store
	Member Member
	// OnError, if set, is called with the error of each failed call.
	OnError func(error)
	// OnRecovered, if set, is called when a call succeeds after others failed.
	OnRecovered func()
	// RenewNow makes Run renew the lease at once. Raise it when leases may have
	// expired. It must not be nil.
	RenewNow *wake.Signal
}

// Run keeps the key registered until ctx ends, and then revokes its lease. It always
// returns nil.
//
// All leases expire in an outage of the store. A process notices that its own lease has
// expired only at the next renewal, up to a third of LeaseTTL later, and is invisible to
// the others until then. A process that sees a key of the fleet vanish therefore raises
// RenewNow to renew its own lease at once.
//
// The delay between retries grows because in an outage hundreds of processes would
// otherwise each call the store twice a second, and use up the capacity that it has
// while it recovers.
func (r *Registrar) Run(ctx context.Context) error {
	var lease platform.LeaseID
	failed, retryDelay := false, minRetryDelay
	for ctx.Err() == nil {
		delay := LeaseTTL / 3
		var err error
		if lease == 0 {
			lease, err = r.register(ctx)
		} else if _, err = r.Store.KeepAlive(ctx, lease); platform.IsLeaseMissing(err) {
			lease, delay = 0, 0
		}
		if err != nil && ctx.Err() == nil {
			r.reportFailure(err)
			delay = min(delay, retryDelay)
			retryDelay = min(2*retryDelay, maxRetryDelay)
		} else {
			retryDelay = minRetryDelay
		}
		if failed && err == nil && r.OnRecovered != nil {
			r.OnRecovered()
		}
		failed = err != nil
		r.wait(ctx, delay)
	}
	if lease == 0 {
		return nil
	}
	revokeCtx, cancel := context.WithTimeout(context.Background(), revokeTimeout)
	defer cancel()
	if err := r.Store.Revoke(revokeCtx, lease); err != nil {
		r.reportFailure(err)
	}
	return nil
}

// wait returns after d, or earlier if RenewNow is raised or ctx ends.
func (r *Registrar) wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-r.RenewNow.Raised():
	case <-t.C:
	case <-ctx.Done():
	}
}

func (r *Registrar) reportFailure(err error) {
	if r.OnError != nil {
		r.OnError(err)
	}
}

// register writes the key under a new lease. It overwrites the key of an earlier
// process of the same name. The expiry of that process's lease doesn't delete the key,
// because a key belongs to the lease of its last write.
func (r *Registrar) register(ctx context.Context) (platform.LeaseID, error) {
	lease, err := r.Store.Grant(ctx, LeaseTTL)
	if err != nil {
		return 0, err
	}
	value, err := json.Marshal(r.Member)
	if err != nil {
		return 0, err
	}
	_, err = r.Store.Txn(ctx, platform.Txn{Then: []platform.Op{
		platform.Put{Key: r.Member.Key(), Value: value, Lease: lease},
	}})
	if err != nil {
		return 0, err
	}
	return lease, nil
}
