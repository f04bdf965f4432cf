package fleet

import (
	"context"
	"encoding/json"
	"errors"
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
	// Host reports that an entry keeps other processes registered.
	Host bool `json:"host,omitempty"`
}

// Key returns the member's key in the store.
func (m Member) Key() string { return KindPrefix(m.Kind) + m.Name }

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

// hostsPrefix is the prefix of the keys by which processes that start find the hosts.
const hostsPrefix = Prefix + "host/"

// HostsPrefix returns the prefix of the keys of a data centre's hosts.
//
// All processes of a fleet that start together look for a host. If they listed all entries for that,
// the store's line would have to carry the square of the fleet; there are few hosts in a data centre.
func HostsPrefix(dataCentre string) string { return hostsPrefix + dataCentre + "/" }

// HostKey returns the key by which processes of its data centre find the member if it is a host.
func (m Member) HostKey() string { return HostsPrefix(m.DataCentre) + m.Name }

// decodeHosts decodes the hosts among items of the store. onError is called with the error of each
// that can't be read.
func decodeHosts(items []platform.KeyValue, onError func(error)) []Member {
	var out []Member
	for _, item := range items {
		var m Member
		err := json.Unmarshal(item.Value(), &m)
		if err == nil && m.HostKey() != item.Key() {
			err = errors.New("it names another host")
		}
		if err != nil {
			onError(result.Newf(result.DocumentUnreadable, "%s: %v", item.Key(), err))
			continue
		}
		out = append(out, m)
	}
	return out
}

// KindPrefix returns the prefix of the keys of all members of a kind.
func KindPrefix(k Kind) string { return Prefix + string(k) + "/" }

// DecodeAll decodes the members among items of the store. onError is called with the error
// of each that can't be read.
func DecodeAll(items []platform.KeyValue, onError func(error)) []Member {
	var out []Member
	for _, item := range items {
		m, ok, err := Decode(item.Key(), item.Value())
		if err != nil {
			onError(err)
		} else if ok {
			out = append(out, m)
		}
	}
	return out
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
	// revokeTimeout bounds the call that ends the registration when the process ends.
	revokeTimeout = 500 * time.Millisecond
	// hostTimeout bounds a call to a host, which may have to write the key first.
	hostTimeout = time.Second
	// maxHostAttempts is the number of hosts that are tried before a process registers
	// by itself.
	maxHostAttempts = 3
)

// Request asks a host to keep a member registered.
type Request struct {
	Member Member
	// Verify asks the host to look whether its lease has expired.
	Verify bool
	// Rewrite asks it to write the key even if it has done so before, because others may
	// have written it since.
	Rewrite bool
}

// RegistrationHost is a Host as seen by a process that registers with it.
type RegistrationHost interface {
	// Register keeps a member registered for LeaseTTL from now. The error is a
	// RefusedError if the request had no effect.
	Register(ctx context.Context, q Request) error
	// Leave ends the registration of a member.
	Leave(ctx context.Context, m Member) error
}

// Registrar keeps a member registered in the store. Set the exported fields before
// Run.
type Registrar struct {
	Store Store
	// Member returns the member as it is to be registered. Its key must not change.
	Member func() Member
	// Hosts, if set, returns the hosts with which the member may register, best first.
	// If none registers it, the Registrar writes the key under a lease of its own.
	Hosts func(ctx context.Context) []RegistrationHost
	// OnError, if set, is called with the error of each failed call.
	OnError func(error)
	// OnRecovered, if set, is called when a call succeeds after others failed.
	OnRecovered func()
	// RenewNow makes Run renew the lease at once. Raise it when leases may have
	// expired. It must not be nil.
	RenewNow *wake.Signal
}

// Run keeps the key registered until ctx ends, and then ends the registration. It always
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
	var current registration
	failed, verify, retryDelay := false, false, minRetryDelay
	for ctx.Err() == nil {
		delay := LeaseTTL / 3
		var err error
		if current, err = r.renew(ctx, current, verify); platform.IsLeaseMissing(err) {
			current, delay = registration{}, 0
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
		verify = r.RenewNow.Wait(ctx, delay)
	}
	r.end(current)
	return nil
}

// registration is how a member is registered: by a host, under a lease of its own, or not
// at all.
type registration struct {
	host  RegistrationHost
	lease platform.LeaseID
	// uncertain reports that another host may still write the key: its lease would then
	// decide when the key vanishes.
	uncertain bool
}

// renew renews a registration, or makes a new one.
func (r *Registrar) renew(ctx context.Context, current registration, verify bool) (registration, error) {
	if current.lease != 0 {
		_, err := r.Store.KeepAlive(ctx, current.lease)
		return current, err
	}
	if next, ok := r.registerWithHost(ctx, current, verify); ok {
		return next, nil
	}
	lease, err := r.register(ctx)
	return registration{lease: lease}, err
}

// registerWithHost registers with the current host or, if that fails, with another one.
// It reports false if all that it tried failed.
func (r *Registrar) registerWithHost(ctx context.Context, current registration, verify bool) (registration, bool) {
	if r.Hosts == nil {
		return registration{}, false
	}
	uncertain := false
	try := func(h RegistrationHost, rewrite bool) bool {
		q := Request{Member: r.Member(), Verify: verify, Rewrite: rewrite}
		err := r.tryHost(ctx, h, q)
		uncertain = uncertain || err != nil && mayBeWritten(q, err)
		return err == nil
	}
	if current.host != nil && try(current.host, current.uncertain) {
		return registration{host: current.host}, true
	}
	attempts := 0
	for _, h := range r.Hosts(ctx) {
		if h == current.host {
			continue
		}
		if try(h, true) {
			return registration{host: h, uncertain: uncertain}, true
		}
		if attempts++; attempts == maxHostAttempts {
			break
		}
	}
	return registration{}, false
}

// mayBeWritten reports whether a host may still write the key after a request that failed.
func mayBeWritten(q Request, err error) bool {
	return platform.IsUnknown(err) || q.Rewrite && !IsRefused(err)
}

func (r *Registrar) tryHost(ctx context.Context, h RegistrationHost, q Request) error {
	ctx, cancel := context.WithTimeout(ctx, hostTimeout)
	defer cancel()
	err := h.Register(ctx, q)
	if err != nil {
		r.reportFailure(err)
	}
	return err
}

// end ends a registration.
func (r *Registrar) end(current registration) {
	ctx, cancel := context.WithTimeout(context.Background(), revokeTimeout)
	defer cancel()
	var err error
	switch {
	case current.lease != 0:
		err = r.Store.Revoke(ctx, current.lease)
	case current.host != nil:
		err = current.host.Leave(ctx, r.Member())
	}
	if err != nil {
		r.reportFailure(err)
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
	m := r.Member()
	value, err := json.Marshal(m)
	if err != nil {
		return 0, err
	}
	_, err = r.Store.Txn(ctx, platform.Txn{Then: []platform.Op{
		platform.Put{Key: m.Key(), Value: value, Lease: lease},
	}})
	if err != nil {
		return 0, err
	}
	return lease, nil
}
