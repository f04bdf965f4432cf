package platform

import (
	"context"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/platform/etcdpb"
)

// Grant implements KV. The service counts in whole seconds; ttl is rounded up.
// A lease whose grant has an unknown outcome ends by itself.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	ctx, cancel := c.limit(ctx)
	defer cancel()
	conn, err := c.acquire(ctx, &c.writes)
	if err != nil {
		return 0, err
	}
	c.counts.writes.Inc(1)
	secs := int64((ttl + time.Second - 1) / time.Second)
	p, err := etcdpb.NewLeaseClient(conn).LeaseGrant(ctx, &etcdpb.LeaseGrantRequest{TTL: secs})
	if err != nil {
		return 0, c.writeFailed(conn, err)
	}
	return LeaseID(p.GetID()), nil
}

// KeepAlive renews a lease once and returns the time to live that it has from
// the moment the call was made. Zero means that the lease has lapsed.
func (c *Client) KeepAlive(ctx context.Context, id LeaseID) (time.Duration, error) {
	ctx, cancel := c.limit(ctx)
	defer cancel()
	conn, err := c.acquire(ctx, &c.writes)
	if err != nil {
		return 0, err
	}
	c.counts.writes.Inc(1)
	s, err := etcdpb.NewLeaseClient(conn).LeaseKeepAlive(ctx)
	if err != nil {
		return 0, c.writeFailed(conn, err)
	}
	if err := s.Send(&etcdpb.LeaseKeepAliveRequest{ID: int64(id)}); err != nil {
		return 0, c.writeFailed(conn, err)
	}
	p, err := s.Recv()
	if err != nil {
		return 0, c.writeFailed(conn, err)
	}
	return time.Duration(p.GetTTL()) * time.Second, nil
}

// Revoke ends a lease and deletes its keys.
func (c *Client) Revoke(ctx context.Context, id LeaseID) error {
	ctx, cancel := c.limit(ctx)
	defer cancel()
	conn, err := c.acquire(ctx, &c.writes)
	if err != nil {
		return err
	}
	c.counts.writes.Inc(1)
	_, err = etcdpb.NewLeaseClient(conn).LeaseRevoke(ctx, &etcdpb.LeaseRevokeRequest{ID: int64(id)})
	if err != nil {
		return c.writeFailed(conn, err)
	}
	return nil
}
