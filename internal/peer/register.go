package peer

import (
	"context"
	"errors"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/hyssoprelay/hyssoprelay/internal/fleet"
	"github.com/hyssoprelay/hyssoprelay/internal/fleet/fleetpb"
	"github.com/hyssoprelay/hyssoprelay/internal/platform"
)

// RegistrationHost is an entry that keeps other processes registered. It implements
// fleet.RegistrationHost.
type RegistrationHost struct {
	Conns *ConnPool
	Host  fleet.Member
}

// Register implements fleet.RegistrationHost.
func (h RegistrationHost) Register(ctx context.Context, q fleet.Request) error {
	msg := registerRequest(q.Member)
	msg.Verify, msg.Rewrite = q.Verify, q.Rewrite
	err := h.send(ctx, msg)
	switch status.Code(err) {
	case codes.FailedPrecondition:
		return fleet.NewRefusedError(status.Convert(err).Message())
	case codes.Unknown:
		return platform.NewUnknownOutcomeError(status.Convert(err).Message())
	default:
		return err
	}
}

// RenewLease asks the entry to renew a lease. platform.IsLeaseMissing reports whether the
// error is that it does not exist.
func (h RegistrationHost) RenewLease(ctx context.Context, lease platform.LeaseID) error {
	client, err := h.client()
	if err != nil {
		return err
	}
	reply, err := client.RenewLease(ctx, &fleetpb.RenewLeaseRequest{Lease: int64(lease)})
	if err == nil && reply.GetMissing() {
		return platform.NewRejectedError("the lease does not exist", true)
	}
	return err
}

// RegisterStatus returns the status with which a host answers a request to register: it
// was refused, or the key may have been written nevertheless.
func RegisterStatus(err error) error {
	if platform.IsUnknown(err) || errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return status.Error(codes.Unknown, err.Error())
	}
	return status.Error(codes.FailedPrecondition, err.Error())
}

// Leave implements fleet.RegistrationHost.
func (h RegistrationHost) Leave(ctx context.Context, m fleet.Member) error {
	q := registerRequest(m)
	q.Leaving = true
	return h.send(ctx, q)
}

func (h RegistrationHost) send(ctx context.Context, q *fleetpb.RegisterRequest) error {
	client, err := h.client()
	if err != nil {
		return err
	}
	_, err = client.Register(ctx, q)
	return err
}

func (h RegistrationHost) client() (fleetpb.EntryClient, error) {
	conn, err := h.Conns.Get(h.Host.Address)
	if err != nil {
		return nil, err
	}
	return fleetpb.NewEntryClient(conn), nil
}

func registerRequest(m fleet.Member) *fleetpb.RegisterRequest {
	return &fleetpb.RegisterRequest{
		Kind: string(m.Kind), Name: m.Name, DataCentre: m.DataCentre, Address: m.Address, Endpoint: m.Endpoint, Group: m.Group,
	}
}
