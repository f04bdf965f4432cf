package kv

import (
	"context"
	"time"

	"google.golang.org/grpc"

	"github.com/hyssoprelay/hyssoprelay/internal/platform/etcdpb"
)

// LeaseGrant implements etcdpb.LeaseServer.
func (s *Server) LeaseGrant(_ context.Context, r *etcdpb.LeaseGrantRequest) (*etcdpb.LeaseGrantResponse, error) {
	if err := s.enter(true); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	id := r.GetID()
	if id == 0 {
		s.store.nextLease++
		id = s.store.nextLease
	}
	ttl := time.Duration(r.GetTTL()) * time.Second
	s.store.leases[id] = lease{ttl: ttl, end: s.Now().Add(ttl)}
	if err := s.leave(); err != nil {
		return nil, err
	}
	return &etcdpb.LeaseGrantResponse{Header: s.store.header(), ID: id, TTL: r.GetTTL()}, nil
}

// LeaseRevoke implements etcdpb.LeaseServer.
func (s *Server) LeaseRevoke(_ context.Context, r *etcdpb.LeaseRevokeRequest) (*etcdpb.LeaseRevokeResponse, error) {
	if err := s.enter(true); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.store.leases[r.GetID()]; !ok {
		return nil, errNoLease
	}
	s.store.record(s.store.dropLease(r.GetID()))
	s.wake()
	return &etcdpb.LeaseRevokeResponse{Header: s.store.header()}, s.leave()
}

// LeaseKeepAlive implements etcdpb.LeaseServer.
func (s *Server) LeaseKeepAlive(stream grpc.BidiStreamingServer[etcdpb.LeaseKeepAliveRequest, etcdpb.LeaseKeepAliveResponse]) error {
	for {
		r, err := stream.Recv()
		if err != nil {
			return nil
		}
		p, err := s.renew(r.GetID())
		if err != nil {
			return err
		}
		if err := stream.Send(p); err != nil {
			return err
		}
	}
}

// renew answers with a TTL of zero when the lease has ended.
func (s *Server) renew(id int64) (*etcdpb.LeaseKeepAliveResponse, error) {
	if err := s.enter(true); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	p := &etcdpb.LeaseKeepAliveResponse{Header: s.store.header(), ID: id}
	l, ok := s.store.leases[id]
	if ok {
		l.end = s.Now().Add(l.ttl)
		s.store.leases[id] = l
		p.TTL = int64(l.ttl / time.Second)
	}
	return p, s.leave()
}
