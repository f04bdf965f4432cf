package frontend

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/hyssoprelay/hyssoprelay/internal/boottime"
	"github.com/hyssoprelay/hyssoprelay/internal/fleet"
	"github.com/hyssoprelay/hyssoprelay/internal/fleet/fleetpb"
	"github.com/hyssoprelay/hyssoprelay/internal/pause"
	"github.com/hyssoprelay/hyssoprelay/internal/peer"
	kv "github.com/hyssoprelay/hyssoprelay/internal/platform"
)

const (
	// maxHostWait is the longest time that a starting entry that sees no other entry of
	// its data centre waits for one before it registers by itself. Each entry waits for a
	// random part of it: of a hundred that start together, only the first few then write
	// keys of their own.
	maxHostWait = 2 * time.Second
	// hostPollInterval is how often it looks whether it knows another entry meanwhile, and
	// discoveryInterval the mean time between two lists of the store's entries.
	hostPollInterval  = 20 * time.Millisecond
	discoveryInterval = 150 * time.Millisecond
	// renewalAttempts is the number of entries that are asked to renew a lease, and
	// renewalTimeout bounds each request.
	renewalAttempts = 3
	renewalTimeout  = 300 * time.Millisecond
)

// member describes this entry to the fleet.
func (f *Frontend) member() fleet.Member {
	return fleet.Member{
		Kind: fleet.Entry, Name: f.Settings.Name, DataCentre: f.Settings.DataCentre,
		Address: f.peerServer.ListenAddr(), Host: f.host.Hosting(),
	}
}

// registrationHosts returns the hosts with which this entry may register, best first. The
// last one is the entry itself.
func (f *Frontend) registrationHosts(ctx context.Context) []fleet.RegistrationHost {
	f.awaitOtherEntry(ctx)
	var out []fleet.RegistrationHost
	for _, m := range f.hostCandidates() {
		if m.Host {
			out = append(out, peer.RegistrationHost{Conns: f.peerConns, Host: m})
		}
	}
	return append(out, localHost{f.host})
}

// renewElsewhere asks other entries of the data centre to renew a lease.
func (f *Frontend) renewElsewhere(ctx context.Context, lease kv.LeaseID) error {
	var err error = kv.NewNotSentError("no other entry of the data centre is known")
	candidates := f.hostCandidates()
	for _, m := range candidates[:min(renewalAttempts, len(candidates))] {
		if err = f.renewThrough(ctx, m, lease); err == nil || kv.IsLeaseMissing(err) {
			f.Log.WithFields(logrus.Fields{"entry": m.Name, "expired": err != nil}).Info("lease renewed by another entry")
			return err
		}
	}
	return err
}

func (f *Frontend) renewThrough(ctx context.Context, m fleet.Member, lease kv.LeaseID) error {
	ctx, cancel := context.WithTimeout(ctx, renewalTimeout)
	defer cancel()
	return peer.RegistrationHost{Conns: f.peerConns, Host: m}.RenewLease(ctx, lease)
}

func (f *Frontend) hostCandidates() []fleet.Member {
	return fleet.HostCandidates(slices.Collect(maps.Values(f.members.all())), f.Settings.DataCentre, f.Settings.Name)
}

// localHost is the host in this process.
type localHost struct{ *fleet.Host }

// Register implements fleet.RegistrationHost. Other processes learn that they may register
// here.
func (h localHost) Register(ctx context.Context, q fleet.Request) error {
	q.Member.Host = true
	return h.Host.Register(ctx, q)
}

// Leave implements fleet.RegistrationHost. The host ends together with the registration.
func (h localHost) Leave(ctx context.Context, m fleet.Member) error { return h.Deregister(ctx, m) }

// awaitOtherEntry waits until another entry of the data centre is known, at most until
// aloneUntil.
func (f *Frontend) awaitOtherEntry(ctx context.Context) {
	for f.startingAlone(boottime.Now()) && ctx.Err() == nil {
		pause.For(ctx, hostPollInterval)
	}
}

// startingAlone reports whether this entry has just started, knows no other one of its
// data centre, and still waits for one.
func (f *Frontend) startingAlone(now time.Time) bool {
	return now.Before(f.aloneUntil) && !f.fleetRuns.Load() && !f.members.hasOther(f.Settings.DataCentre, f.Settings.Name)
}

// discoverEntries looks for other entries of the data centre while this entry has no state
// and is starting alone. It does not wait for one if the fleet runs already.
//
// An entry that reads the complete state from the store, and polls it until it sees
// another entry, makes several calls. In a fleet that starts as a whole, each entry made
// them. A list that may be some seconds old costs a tenth of a call.
func (f *Frontend) discoverEntries(ctx context.Context) {
	for first := true; f.startingAlone(boottime.Now()) && ctx.Err() == nil; first = false {
		kvs, err := f.store.ListStale(ctx, fleet.KindPrefix(fleet.Entry))
		if err != nil {
			f.callFailed(err)
			return
		}
		if first && len(kvs) > 0 {
			f.fleetRuns.Store(true)
		}
		for _, m := range fleet.DecodeAll(kvs, f.logMalformed) {
			if m.Name != f.Settings.Name {
				f.members.put(m)
			}
		}
		if f.startingAlone(boottime.Now()) {
			pause.For(ctx, discoveryInterval/2+rand.N(discoveryInterval))
		}
	}
}

// RenewLease implements fleetpb.EntryServer.
func (s *service) RenewLease(ctx context.Context, q *fleetpb.RenewLeaseRequest) (*fleetpb.RenewLeaseReply, error) {
	_, err := s.frontend.store.KeepAlive(ctx, kv.LeaseID(q.GetLease()))
	if err != nil && !kv.IsLeaseMissing(err) {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return &fleetpb.RenewLeaseReply{Missing: err != nil}, nil
}

// Register implements fleetpb.EntryServer.
func (s *service) Register(ctx context.Context, q *fleetpb.RegisterRequest) (*fleetpb.RegisterReply, error) {
	m := fleet.Member{
		Kind: fleet.Kind(q.GetKind()), Name: q.GetName(), DataCentre: q.GetDataCentre(),
		Address: q.GetAddress(), Endpoint: q.GetEndpoint(), Group: q.GetGroup(),
	}
	if kind, name, ok := fleet.KeyOf(m.Key()); !ok || kind != m.Kind || name != m.Name || name == "" {
		return nil, status.Error(codes.InvalidArgument, "not a process of the fleet")
	}
	var err error
	if q.GetLeaving() {
		err = s.frontend.host.Leave(ctx, m)
	} else {
		err = s.frontend.host.Register(ctx, fleet.Request{Member: m, Verify: q.GetVerify(), Rewrite: q.GetRewrite()})
	}
	if err != nil {
		return nil, peer.RegisterStatus(err)
	}
	return &fleetpb.RegisterReply{}, nil
}
