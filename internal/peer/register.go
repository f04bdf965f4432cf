package peer

import (
	"context"

	"github.com/hyssoprelay/hyssoprelay/internal/fleet"
	"github.com/hyssoprelay/hyssoprelay/internal/fleet/fleetpb"
)

// RegistrationHost is an entry that keeps other processes registered. It implements
// fleet.RegistrationHost.
type RegistrationHost struct {
	Conns *ConnPool
	Host  fleet.Member
}

// Register implements fleet.RegistrationHost.
func (h RegistrationHost) Register(ctx context.Context, m fleet.Member, verify bool) error {
	q := registerRequest(m)
	q.Verify = verify
	return h.send(ctx, q)
}

// Leave implements fleet.RegistrationHost.
func (h RegistrationHost) Leave(ctx context.Context, m fleet.Member) error {
	q := registerRequest(m)
	q.Leaving = true
	return h.send(ctx, q)
}

func (h RegistrationHost) send(ctx context.Context, q *fleetpb.RegisterRequest) error {
	conn, err := h.Conns.Get(h.Host.Address)
	if err != nil {
		return err
	}
	_, err = fleetpb.NewEntryClient(conn).Register(ctx, q)
	return err
}

func registerRequest(m fleet.Member) *fleetpb.RegisterRequest {
	return &fleetpb.RegisterRequest{
		Kind: string(m.Kind), Name: m.Name, DataCentre: m.DataCentre, Address: m.Address, Endpoint: m.Endpoint, Group: m.Group,
	}
}
