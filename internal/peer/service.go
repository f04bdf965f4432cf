package peer

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/grpc"

	"github.com/hyssoprelay/hyssoprelay/internal/peer/peerpb"
	"github.com/hyssoprelay/hyssoprelay/internal/platform/config"
	"github.com/hyssoprelay/hyssoprelay/internal/timeline"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

const (
	// eventsPerMessage keeps a time line's messages well under the limit.
	eventsPerMessage = 512
	// partsPerMessage keeps the parts of one message, of a megabyte each,
	// under the limit.
	partsPerMessage = 4
	// syncRounds bounds one exchange: head, rest of the head, parts.
	syncRounds = 8
)

// Service answers what every process answers. Set the fields before use.
type Service struct {
	peerpb.UnimplementedPeerServer

	Name       string
	DataCentre string
	Clock      *timeline.Clock
	Ring       *timeline.Ring
	Store      *config.Store
	// State describes the process; it must not be nil.
	State func() *peerpb.StatusReply
	// Now is the clock.
	Now func() time.Time
}

var _ peerpb.PeerServer = (*Service)(nil)

// Sync implements peerpb.PeerServer.
func (s *Service) Sync(_ context.Context, r *peerpb.SyncRequest) (*peerpb.SyncReply, error) {
	s.Clock.Observe(timeline.Stamp(r.GetHlc()), s.Now())
	msg, parts, err := s.Store.Exchange(r.GetHead(), r.GetWantParts())
	if err != nil {
		return nil, result.New(result.MalformedMsg, err.Error())
	}
	offer(s.Store, r.GetParts())
	return &peerpb.SyncReply{
		Hlc:       uint64(s.Clock.Next(s.Now())),
		Head:      msg,
		Parts:     firstParts(parts),
		WantParts: s.Store.Current().Missing(),
	}, nil
}

func offer(s *config.Store, parts map[string][]byte) {
	for _, b := range parts {
		s.Offer(config.Head{}, b)
	}
}

func firstParts(parts map[string][]byte) map[string][]byte {
	if len(parts) <= partsPerMessage {
		return parts
	}
	some := map[string][]byte{}
	for d, b := range parts {
		some[d] = b
		if len(some) == partsPerMessage {
			break
		}
	}
	return some
}

// ConfigDigest names all that a store knows. Two processes whose digests differ
// have something to exchange.
func ConfigDigest(s *config.Store) uint64 {
	h := xxhash.Sum64(s.Summary())
	return h + uint64(len(s.Current().Missing()))
}

// Exchange brings both sides to the join of their configurations.
func Exchange(ctx context.Context, c peerpb.PeerClient, s *config.Store, clock *timeline.Clock, now func() time.Time) error {
	msg := s.Summary()
	var give map[string][]byte
	for range syncRounds {
		req := &peerpb.SyncRequest{
			Hlc:       uint64(clock.Next(now())),
			Head:      msg,
			WantParts: s.Current().Missing(),
			Parts:     give,
		}
		reply, err := c.Sync(ctx, req)
		if err != nil {
			return err
		}
		clock.Observe(timeline.Stamp(reply.GetHlc()), now())
		msg, err = s.Finish(reply.GetHead(), reply.GetParts())
		if err != nil {
			return err
		}
		give = wanted(s.Current(), reply.GetWantParts())
		if msg == nil && len(give) == 0 && len(reply.GetParts()) == 0 {
			return nil
		}
		if msg == nil {
			msg = s.Summary()
		}
	}
	return nil
}

func wanted(c *config.Snapshot, digests []string) map[string][]byte {
	parts := map[string][]byte{}
	for _, d := range digests {
		b, ok := c.Part(d)
		if ok && len(parts) < partsPerMessage {
			parts[d] = b
		}
	}
	return parts
}

// Timeline implements peerpb.PeerServer.
func (s *Service) Timeline(r *peerpb.TimelineRequest, stream grpc.ServerStreamingServer[peerpb.TimelineReply]) error {
	s.Clock.Observe(timeline.Stamp(r.GetHlc()), s.Now())
	if d := r.GetDataCentre(); d != "" && d != s.DataCentre {
		return nil
	}
	events := s.Ring.Select(timeline.Filter{
		RequestID: r.GetRequestId(),
		Endpoint:  r.GetEndpoint(),
		Kind:      timeline.Kind(r.GetKind()),
		Since:     timeline.StampAt(time.UnixMicro(max(0, r.GetSinceUnixMicros()))),
	})
	for len(events) > 0 {
		n := min(len(events), eventsPerMessage)
		if err := stream.Send(s.timelineReply(events[:n])); err != nil {
			return err
		}
		events = events[n:]
	}
	return nil
}

func (s *Service) timelineReply(events []timeline.Event) *peerpb.TimelineReply {
	reply := &peerpb.TimelineReply{Hlc: uint64(s.Clock.Next(s.Now()))}
	for _, e := range events {
		reply.Events = append(reply.Events, &peerpb.TimelineEvent{
			Hlc:        uint64(e.Stamp()),
			Process:    s.Name,
			DataCentre: s.DataCentre,
			Kind:       string(e.Kind()),
			RequestId:  e.RequestID(),
			Endpoint:   e.Endpoint(),
			Detail:     e.Detail(),
			Number:     e.Number(),
		})
	}
	return reply
}

// Status implements peerpb.PeerServer.
func (s *Service) Status(_ context.Context, r *peerpb.StatusRequest) (*peerpb.StatusReply, error) {
	s.Clock.Observe(timeline.Stamp(r.GetHlc()), s.Now())
	reply := s.State()
	reply.Hlc = uint64(s.Clock.Next(s.Now()))
	return reply, nil
}
