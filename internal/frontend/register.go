package frontend

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/hyssoprelay/hyssoprelay/internal/fleet"
	"github.com/hyssoprelay/hyssoprelay/internal/fleet/fleetpb"
	"github.com/hyssoprelay/hyssoprelay/internal/peer"
	kv "github.com/hyssoprelay/hyssoprelay/internal/platform"
)

const (
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
