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

// Prefix begins all keys of the product's own processes.
const Prefix = "hyssoprelay/"

// Kind is what a process does.
type Kind string

// The kinds of processes.
const (
	Entry Kind = "entry"
	Agent Kind = "agent"
)

// Member is one process.
type Member struct {
	Kind       Kind   `json:"kind"`
	Name       string `json:"name"`
	DataCentre string `json:"dataCentre"`
	// Address is the IP:port at which it meets the others.
	Address string `json:"address"`
	// Endpoint is the IP:port of an agent's endpoint, and Group its group of
	// ranks.
	Endpoint string `json:"endpoint,omitempty"`
	Group    string `json:"group,omitempty"`
}

// Key returns the member's key in the store.
func (m Member) Key() string { return Prefix + string(m.Kind) + "/" + m.Name }

// Decode reads a member from its key and value. It reports false for keys that
// are not a member's.
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

// KeyOf reads which member a key is of. It reports false for other keys.
func KeyOf(key string) (Kind, string, bool) {
	rest, ok := strings.CutPrefix(key, Prefix)
	if !ok {
		return "", "", false
	}
	kind, name, ok := strings.Cut(rest, "/")
	if !ok || Kind(kind) != Entry && Kind(kind) != Agent {
		return "", "", false
	}
	return Kind(kind), name, true
}

// Store is what a Registrar needs of the key-value service.
type Store interface {
	Txn(ctx context.Context, t platform.Txn) (platform.TxnReply, error)
	Grant(ctx context.Context, ttl time.Duration) (platform.LeaseID, error)
	KeepAlive(ctx context.Context, id platform.LeaseID) (time.Duration, error)
	Revoke(ctx context.Context, id platform.LeaseID) error
}

const (
	// LeaseTime is how long a process counts as there without a sign of life.
	// The others lose little by a dead entry that still counts, so it is long
	// and costs few calls.
	LeaseTime = 9 * time.Second
	// firstRetry is the pause after a failed call, which doubles up to mostRetry with
	// each further one.
	firstRetry = 500 * time.Millisecond
	mostRetry  = 2 * time.Second
	// endTimeout bounds the call that takes the key back.
	endTimeout = 500 * time.Millisecond
)

// Registrar keeps a member's key in the store. Set the exported fields before
// Run.
type Registrar struct {
	Store  Store
	Member Member
	// Failed, when set, is told of each failed call.
	Failed func(error)
	// Returned, when set, is called when a call succeeds after others failed.
	Returned func()
	// Doubt is raised when leases may have lapsed.
	Doubt *wake.Signal
}

// Run keeps the key until ctx ends, and then takes it back.
//
// Guard: the store lets all leases lapse in an outage. Until a process renews its
// lease again it doesn't notice, and the others don't see it for up to a third of
// the lease. A process that sees a key of the fleet vanish renews its own lease at
// once, and finds out.
//
// Load: the store answers none of hundreds of processes for seconds. Harm prevented:
// each asks it twice a second, and what the store bears as it returns goes to them.
func (r *Registrar) Run(ctx context.Context) error {
	var lease platform.LeaseID
	failed, retry := false, firstRetry
	for ctx.Err() == nil {
		rest := LeaseTime / 3
		var err error
		if lease == 0 {
			lease, err = r.enter(ctx)
		} else if _, err = r.Store.KeepAlive(ctx, lease); platform.IsLeaseMissing(err) {
			lease, rest = 0, 0
		}
		if err != nil && ctx.Err() == nil {
			r.fail(err)
			rest = min(rest, retry)
			retry = min(2*retry, mostRetry)
		} else {
			retry = firstRetry
		}
		if failed && err == nil && r.Returned != nil {
			r.Returned()
		}
		failed = err != nil
		r.rest(ctx, rest)
	}
	if lease == 0 {
		return nil
	}
	end, cancel := context.WithTimeout(context.Background(), endTimeout)
	defer cancel()
	if err := r.Store.Revoke(end, lease); err != nil {
		r.fail(err)
	}
	return nil
}

// rest waits for d, or less when leases may have lapsed.
func (r *Registrar) rest(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-r.Doubt.Raised():
	case <-t.C:
	case <-ctx.Done():
	}
}

func (r *Registrar) fail(err error) {
	if r.Failed != nil {
		r.Failed(err)
	}
}

// enter writes the key. A key that an earlier process of this name left is
// overwritten; its lease takes nothing along, because a key belongs to the lease
// of its last write.
func (r *Registrar) enter(ctx context.Context) (platform.LeaseID, error) {
	lease, err := r.Store.Grant(ctx, LeaseTime)
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
