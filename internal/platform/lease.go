package platform

import (
	"context"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/platform/etcdpb"
)

// Grant implements KV. The service measures leases in whole seconds, so ttl is
// rounded up. A lease whose grant has an unknown outcome expires on its own.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	conn, err := c.acquire(ctx, &c.writes)
	if err != nil {
		return 0, err
	}
	c.counters.writes.Inc(1)
	secs := int64((ttl + time.Second - 1) / time.Second)
	resp, err := etcdpb.NewLeaseClient(conn).LeaseGrant(ctx, &etcdpb.LeaseGrantRequest{TTL: secs})
	if err != nil {
		return 0, c.handleWriteError(conn, err)
	}
	return LeaseID(resp.GetID()), nil
}

// KeepAlive renews a lease once and returns its time to live, counted from the
// moment at which the call was made. A time of zero means that the lease has
// expired.
func (c *Client) KeepAlive(ctx context.Context, id LeaseID) (time.Duration, error) {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	conn, err := c.acquire(ctx, &c.writes)
	if err != nil {
		return 0, err
	}
	c.counters.writes.Inc(1)
	stream, err := etcdpb.NewLeaseClient(conn).LeaseKeepAlive(ctx)
	if err != nil {
		return 0, c.handleWriteError(conn, err)
	}
	if err := stream.Send(&etcdpb.LeaseKeepAliveRequest{ID: int64(id)}); err != nil {
		return 0, c.handleWriteError(conn, err)
	}
	resp, err := stream.Recv()
	if err != nil {
		return 0, c.handleWriteError(conn, err)
	}
	return time.Duration(resp.GetTTL()) * time.Second, nil
}

// Revoke ends a lease and deletes the keys that are attached to it.
func (c *Client) Revoke(ctx context.Context, id LeaseID) error {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	conn, err := c.acquire(ctx, &c.writes)
	if err != nil {
		return err
	}
	c.counters.writes.Inc(1)
	_, err = etcdpb.NewLeaseClient(conn).LeaseRevoke(ctx, &etcdpb.LeaseRevokeRequest{ID: int64(id)})
	if err != nil {
		return c.handleWriteError(conn, err)
	}
	return nil
}
