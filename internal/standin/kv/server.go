package kv

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/hyssoprelay/hyssoprelay/internal/platform/etcdpb"
)

// defaultHistory is how many revisions a watch can begin in the past.
const defaultHistory = 10000

// leaseTick is how often leases are ended while no call comes in.
const leaseTick = 100 * time.Millisecond

// Server is the stand-in. Set the fields, then Run it. The protocol's methods
// may also be called directly, without Run and without sockets.
type Server struct {
	// Listen is the address to listen on; empty means 127.0.0.1:0.
	Listen string
	// Now is the clock of the leases; nil means the system's.
	Now func() time.Time
	// History is how many revisions are kept for watches; zero means 10000.
	History int
	// WritesPerSecond and ReadsPerSecond are limits beyond which calls are
	// refused; zero means none.
	WritesPerSecond int
	ReadsPerSecond  int
	// Events, if not nil, receives a line for each call that has been answered, and for each time
	// that the service goes down or comes back.
	Events *logrus.Logger

	etcdpb.UnimplementedKVServer
	etcdpb.UnimplementedLeaseServer
	etcdpb.UnimplementedWatchServer

	once  sync.Once
	ready chan struct{}
	ended chan struct{} // closed when Run ends

	mu      sync.Mutex // guards all below
	gate    *gate
	store   *store
	faults  faults
	counts  Counts
	writes  meter
	reads   meter
	changed chan struct{} // closed and replaced when watches have to look
	epoch   int           // grows with each restore, which breaks watches
}

func (s *Server) init() {
	s.once.Do(func() {
		if s.Now == nil {
			s.Now = time.Now
		}
		if s.History == 0 {
			s.History = defaultHistory
		}
		s.store = newStore(s.History)
		s.writes.limit = s.WritesPerSecond
		s.reads.limit = s.ReadsPerSecond
		s.ready = make(chan struct{})
		s.ended = make(chan struct{})
		s.changed = make(chan struct{})
	})
}

// Addr waits until the server listens and returns its address.
func (s *Server) Addr() string {
	s.init()
	<-s.ready
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate.Addr().String()
}

// Run serves until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	s.init()
	addr := s.Listen
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	gate := newGate(l)
	s.mu.Lock()
	s.gate = gate
	gate.set(s.faults.down)
	s.mu.Unlock()
	close(s.ready)
	g := grpc.NewServer(grpc.MaxRecvMsgSize(2*maxValue), grpc.WaitForHandlers(true), grpc.UnaryInterceptor(s.logCall))
	etcdpb.RegisterKVServer(g, s)
	etcdpb.RegisterLeaseServer(g, s)
	etcdpb.RegisterWatchServer(g, s)
	done := make(chan error, 1)
	go func() { done <- g.Serve(gate) }()
	s.tick(ctx, done)
	close(s.ended)
	g.Stop()
	if err := <-done; err != nil && !errors.Is(err, grpc.ErrServerStopped) {
		return err
	}
	return nil
}

// logCall calls handler and writes a line about the call to Events.
func (s *Server) logCall(ctx context.Context, req any, info *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (any, error) {
	begun := time.Now()
	resp, err := handler(ctx, req)
	if s.Events != nil {
		s.Events.WithFields(logrus.Fields{
			"process": "kv", "method": info.FullMethod, "took": time.Since(begun).Milliseconds(), "code": status.Code(err).String(),
		}).Info("call answered")
	}
	return resp, err
}

// tick ends leases until ctx or the serving goroutine ends.
func (s *Server) tick(ctx context.Context, done chan error) {
	t := time.NewTicker(leaseTick)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case err := <-done:
			done <- err
			return
		case <-t.C:
			s.mu.Lock()
			s.expire()
			s.mu.Unlock()
		}
	}
}

// expire ends leases and wakes watches. The caller holds mu.
func (s *Server) expire() {
	before := s.store.revision
	s.store.expire(s.Now())
	if s.store.revision != before {
		s.wake()
	}
}

// wake tells the watches to look again. The caller holds mu.
func (s *Server) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

var errDown = status.Error(codes.Unavailable, "the stand-in is down")

// enter applies the faults that come before the effect of a call.
func (s *Server) enter(write bool) error {
	s.init()
	s.mu.Lock()
	d := s.faults.slow
	down := s.faults.down
	ok := s.count(write)
	s.mu.Unlock()
	if down {
		return errDown
	}
	if !ok {
		return errTooMany
	}
	return s.delay(d)
}

// delay lets the call wait. A call whose caller has gone still takes effect
// later, as a request that was on its way does.
func (s *Server) delay(d time.Duration) error {
	if d <= 0 {
		return nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-s.ended:
		return errDown
	}
}

func (s *Server) count(write bool) bool {
	now := s.Now()
	if write {
		s.counts.writes++
		return s.writes.take(now)
	}
	s.counts.reads++
	return s.reads.take(now)
}

// leave applies the faults that come after the effect of a write.
func (s *Server) leave() error {
	if s.faults.lose == 0 {
		return nil
	}
	s.faults.lose--
	s.counts.lost++
	return status.Error(codes.Unavailable, "the answer was lost")
}

// Range implements etcdpb.KVServer.
func (s *Server) Range(_ context.Context, r *etcdpb.RangeRequest) (*etcdpb.RangeResponse, error) {
	if err := s.enter(false); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	return s.store.read(r), nil
}

// Txn implements etcdpb.KVServer.
func (s *Server) Txn(_ context.Context, t *etcdpb.TxnRequest) (*etcdpb.TxnResponse, error) {
	if err := s.enter(true); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	r, err := s.store.txn(t)
	if err != nil {
		return nil, err
	}
	s.wake()
	return r, s.leave()
}

// Put implements etcdpb.KVServer.
func (s *Server) Put(ctx context.Context, p *etcdpb.PutRequest) (*etcdpb.PutResponse, error) {
	o := &etcdpb.RequestOp{Request: &etcdpb.RequestOp_RequestPut{RequestPut: p}}
	r, err := s.Txn(ctx, &etcdpb.TxnRequest{Success: []*etcdpb.RequestOp{o}})
	if err != nil {
		return nil, err
	}
	return &etcdpb.PutResponse{Header: r.GetHeader()}, nil
}

// DeleteRange implements etcdpb.KVServer.
func (s *Server) DeleteRange(ctx context.Context, d *etcdpb.DeleteRangeRequest) (*etcdpb.DeleteRangeResponse, error) {
	o := &etcdpb.RequestOp{Request: &etcdpb.RequestOp_RequestDeleteRange{RequestDeleteRange: d}}
	r, err := s.Txn(ctx, &etcdpb.TxnRequest{Success: []*etcdpb.RequestOp{o}})
	if err != nil {
		return nil, err
	}
	p := r.GetResponses()[0].GetResponseDeleteRange()
	p.Header = r.GetHeader()
	return p, nil
}
