package kv

import (
	"context"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/platform"
	"github.com/hyssoprelay/hyssoprelay/internal/platform/etcdpb"
)

// Direct calls a Server without sockets, with the same errors as the client of
// the platform. A call that outlasts Timeout goes on in the server, as one does
// that is on its way, and may take effect later. It implements platform.KV.
type Direct struct {
	// Server is the stand-in, which need not run.
	Server *Server
	// Timeout is the time limit of each call.
	Timeout time.Duration
	// Cut, when set, reports whether the caller is cut off from the service.
	Cut func() bool
}

// reachable returns the error of a call that can't be sent.
func (d *Direct) reachable() error {
	d.Server.init()
	d.Server.mu.Lock()
	down := d.Server.faults.down
	d.Server.mu.Unlock()
	if down || d.Cut != nil && d.Cut() {
		return platform.NewNotSentError("no connection to the service")
	}
	return nil
}

// call waits for f, which runs on when ctx ends.
func (d *Direct) call(ctx context.Context, f func() error) error {
	ctx, cancel := context.WithTimeout(ctx, d.Timeout)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- f() }()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Get implements platform.KV.
func (d *Direct) Get(ctx context.Context, key string) (platform.RangeReply, error) {
	return d.read(ctx, &etcdpb.RangeRequest{Key: []byte(key)})
}

// List implements platform.KV.
func (d *Direct) List(ctx context.Context, prefix, after string, limit int) (platform.RangeReply, error) {
	return d.read(ctx, platform.ListRequest(prefix, after, limit))
}

func (d *Direct) read(ctx context.Context, r *etcdpb.RangeRequest) (platform.RangeReply, error) {
	if err := d.reachable(); err != nil {
		return platform.RangeReply{}, err
	}
	answer := make(chan *etcdpb.RangeResponse, 1)
	err := d.call(ctx, func() error {
		p, err := d.Server.Range(ctx, r)
		answer <- p
		return err
	})
	if err != nil {
		return platform.RangeReply{}, platform.ClassifyReadError(err)
	}
	return platform.RangeReplyFrom(<-answer), nil
}

// Txn implements platform.KV.
func (d *Direct) Txn(ctx context.Context, t platform.Txn) (platform.TxnReply, error) {
	if err := d.reachable(); err != nil {
		return platform.TxnReply{}, err
	}
	answer := make(chan *etcdpb.TxnResponse, 1)
	err := d.call(ctx, func() error {
		p, err := d.Server.Txn(ctx, t.Request())
		answer <- p
		return err
	})
	if err != nil {
		return platform.TxnReply{}, platform.ClassifyWriteError(err)
	}
	return platform.TxnReplyFrom(<-answer), nil
}

// Grant implements platform.KV.
func (d *Direct) Grant(ctx context.Context, ttl time.Duration) (platform.LeaseID, error) {
	if err := d.reachable(); err != nil {
		return 0, err
	}
	answer := make(chan *etcdpb.LeaseGrantResponse, 1)
	err := d.call(ctx, func() error {
		p, err := d.Server.LeaseGrant(ctx, &etcdpb.LeaseGrantRequest{TTL: int64(ttl / time.Second)})
		answer <- p
		return err
	})
	if err != nil {
		return 0, platform.ClassifyWriteError(err)
	}
	return platform.LeaseID((<-answer).GetID()), nil
}
