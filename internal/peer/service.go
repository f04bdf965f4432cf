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
	// maxEventsPerMessage keeps the messages of a time line well below
	// maxMessageBytes.
	maxEventsPerMessage = 512
	// maxPartsPerMessage keeps a message with parts of up to a megabyte each below
	// maxMessageBytes.
	maxPartsPerMessage = 4
	// maxSyncRounds bounds the calls of one exchange. An exchange transfers the
	// digests, then a delta of the head or, if that can't be applied, the whole head,
	// and the parts.
	maxSyncRounds = 8
)

// Service implements the Peer service. Set the fields before use.
type Service struct {
	peerpb.UnimplementedPeerServer

	Name       string
	DataCentre string
	Clock      *timeline.Clock
	Events     *timeline.Ring
	Store      *config.Store
	// State returns the status of the process; it must not be nil.
	State func() *peerpb.StatusReply
	// Now returns the current time.
	Now func() time.Time
}

var _ peerpb.PeerServer = (*Service)(nil)

// Sync implements peerpb.PeerServer.
func (s *Service) Sync(_ context.Context, r *peerpb.SyncRequest) (*peerpb.SyncReply, error) {
	s.Clock.Observe(timeline.Stamp(r.GetHlc()), s.Now())
	msg, parts, err := s.Store.HandleMessage(r.GetHead(), r.GetWantParts())
	if err != nil {
		return nil, result.New(result.MalformedMsg, err.Error())
	}
	storeParts(s.Store, r.GetParts())
	return &peerpb.SyncReply{
		Hlc:       uint64(s.Clock.Next(s.Now())),
		Head:      msg,
		Parts:     limitParts(parts),
		WantParts: s.Store.Current().MissingParts(),
	}, nil
}

func storeParts(s *config.Store, parts map[string][]byte) {
	for _, b := range parts {
		s.Merge(config.Head{}, b)
	}
}

func limitParts(parts map[string][]byte) map[string][]byte {
	if len(parts) <= maxPartsPerMessage {
		return parts
	}
	limited := map[string][]byte{}
	for d, b := range parts {
		limited[d] = b
		if len(limited) == maxPartsPerMessage {
			break
		}
	}
	return limited
}

// ConfigDigest returns a digest of everything that a store holds. Two processes whose
// digests differ have data to exchange.
func ConfigDigest(s *config.Store) uint64 {
	h := xxhash.Sum64(s.DigestMessage())
	return h + uint64(len(s.Current().MissingParts()))
}

// SyncConfig synchronizes the configurations of this process and a peer: both then
// hold the join of the two. It stops after maxSyncRounds calls.
func SyncConfig(ctx context.Context, c peerpb.PeerClient, s *config.Store, clock *timeline.Clock, now func() time.Time) error {
	msg := s.DigestMessage()
	var partsToSend map[string][]byte
	for range maxSyncRounds {
		req := &peerpb.SyncRequest{
			Hlc:       uint64(clock.Next(now())),
			Head:      msg,
			WantParts: s.Current().MissingParts(),
			Parts:     partsToSend,
		}
		reply, err := c.Sync(ctx, req)
		if err != nil {
			return err
		}
		clock.Observe(timeline.Stamp(reply.GetHlc()), now())
		msg, err = s.HandleReply(reply.GetHead(), reply.GetParts())
		if err != nil {
			return err
		}
		partsToSend = knownParts(s.Current(), reply.GetWantParts())
		if msg == nil && len(partsToSend) == 0 && len(reply.GetParts()) == 0 {
			return nil
		}
		if msg == nil {
			msg = s.DigestMessage()
		}
	}
	return nil
}

func knownParts(c *config.Snapshot, digests []string) map[string][]byte {
	parts := map[string][]byte{}
	for _, d := range digests {
		b, ok := c.Part(d)
		if ok && len(parts) < maxPartsPerMessage {
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
	events := s.Events.Select(timeline.Filter{
		RequestID: r.GetRequestId(),
		Endpoint:  r.GetEndpoint(),
		Kind:      timeline.Kind(r.GetKind()),
		Since:     timeline.StampAt(time.UnixMicro(max(0, r.GetSinceUnixMicros()))),
	})
	for len(events) > 0 {
		n := min(len(events), maxEventsPerMessage)
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
