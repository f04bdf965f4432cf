package kv

import (
	"errors"
	"io"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/hyssoprelay/hyssoprelay/internal/platform/etcdpb"
)

type watchStream = grpc.BidiStreamingServer[etcdpb.WatchRequest, etcdpb.WatchResponse]

// Watch implements etcdpb.WatchServer. It serves one watch a stream and counts
// it as one read.
func (s *Server) Watch(stream watchStream) error {
	r, err := stream.Recv()
	if errors.Is(err, io.EOF) {
		return nil
	}
	if err != nil {
		return err
	}
	c := r.GetCreateRequest()
	if c == nil {
		return status.Error(codes.InvalidArgument, "etcdserver: the first message must create a watch")
	}
	if err := s.enter(false); err != nil {
		return err
	}
	next, epoch, compacted := s.begin(c)
	if compacted > 0 {
		return stream.Send(&etcdpb.WatchResponse{Canceled: true, CompactRevision: compacted})
	}
	if err := stream.Send(&etcdpb.WatchResponse{Created: true}); err != nil {
		return err
	}
	return s.follow(stream, c, next, epoch)
}

// begin returns the first revision to send, or the revision up to which the
// changes are compacted.
func (s *Server) begin(c *etcdpb.WatchCreateRequest) (next int64, epoch int, compacted int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next = c.GetStartRevision()
	if next == 0 {
		next = s.store.revision + 1
	}
	if next < s.store.compacted {
		compacted = s.store.compacted
	}
	return next, s.epoch, compacted
}

func (s *Server) follow(stream watchStream, c *etcdpb.WatchCreateRequest, next int64, epoch int) error {
	for {
		changes, wait, p, ok := s.look(next, epoch)
		if !ok {
			return errDown
		}
		if p != nil {
			return stream.Send(p)
		}
		for _, ch := range changes {
			next = ch.revision + 1
			if err := sendChange(stream, c, ch); err != nil {
				return err
			}
		}
		select {
		case <-wait:
		case <-stream.Context().Done():
			return nil
		}
	}
}

// look returns the changes from next on and a channel that is closed when there
// may be more. It returns a cancelling response when next was compacted, and
// false when the service went down or was restored.
func (s *Server) look(next int64, epoch int) ([]change, <-chan struct{}, *etcdpb.WatchResponse, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.down || epoch != s.epoch {
		return nil, nil, nil, false
	}
	if s.faults.hold {
		return nil, s.changed, nil, true
	}
	if next < s.store.compacted {
		p := &etcdpb.WatchResponse{Canceled: true, CompactRevision: s.store.compacted}
		return nil, nil, p, true
	}
	return s.store.since(next), s.changed, nil, true
}

func sendChange(stream watchStream, c *etcdpb.WatchCreateRequest, ch change) error {
	p := &etcdpb.WatchResponse{Header: &etcdpb.ResponseHeader{Revision: ch.revision}}
	for _, e := range ch.events {
		if inRange(string(e.GetKv().GetKey()), c.GetKey(), c.GetRangeEnd()) {
			p.Events = append(p.Events, e)
		}
	}
	if len(p.GetEvents()) == 0 {
		return nil
	}
	return stream.Send(p)
}
