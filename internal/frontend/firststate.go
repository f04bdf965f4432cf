package frontend

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/fleet"
	"github.com/hyssoprelay/hyssoprelay/internal/fleet/fleetpb"
	"github.com/hyssoprelay/hyssoprelay/internal/pause"
)

const (
	// maxFirstTransfers is the number of entries to which one sends the complete state at once.
	maxFirstTransfers = 4
	// transferIdleTime is the time without a request for a further page after which such a transfer
	// is taken for broken off.
	transferIdleTime = time.Second
	// busyHold is how long an entry that finds all transfers taken waits for its answer.
	busyHold = 100 * time.Millisecond
	// maxHolders is the number of entries that are recorded as holders of the state, and
	// maxHoldersTold the number of them that one answer names.
	maxHolders, maxHoldersTold = 64, 4
	// holderValidity is how long a holder is named to entries that start: a fleet that starts
	// together has its state within that time.
	holderValidity = 10 * time.Second
)

// firstStateSender decides to which of the entries that start this one sends the complete state, and
// names the others that have it. It is safe for concurrent use.
//
// A data centre has few hosts. If a hundred entries without state got it from these at once, all would
// have it only when the last one has. Sent to a few at a time, it is soon held by more that send it on.
type firstStateSender struct {
	mu sync.Mutex // guards all below
	// transfers holds when the entries to which the state is being sent last asked for a page, and
	// sent when it was sent completely, by name.
	transfers, sent map[string]time.Time
}

// begin reports whether the next page is sent to an entry.
func (s *firstStateSender) begin(name string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.transfers == nil {
		s.transfers, s.sent = map[string]time.Time{}, map[string]time.Time{}
	}
	dropOlder(s.transfers, now.Add(-transferIdleTime))
	if _, ok := s.transfers[name]; !ok && len(s.transfers) >= maxFirstTransfers {
		return false
	}
	s.transfers[name] = now
	return true
}

// end records that the last page is sent to an entry.
func (s *firstStateSender) end(name string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.transfers, name)
	dropOlder(s.sent, now.Add(-holderValidity))
	if len(s.sent) < maxHolders {
		s.sent[name] = now
	}
}

func dropOlder(times map[string]time.Time, limit time.Time) {
	maps.DeleteFunc(times, func(_ string, at time.Time) bool { return at.Before(limit) })
}

// holders returns some of those who got the state, of the given members and other than except.
func (s *firstStateSender) holders(members map[string]fleet.Member, except string, now time.Time) []*fleetpb.Holder {
	s.mu.Lock()
	defer s.mu.Unlock()
	dropOlder(s.sent, now.Add(-holderValidity))
	known := slices.Collect(maps.Keys(s.sent))
	rand.Shuffle(len(known), func(i, j int) { known[i], known[j] = known[j], known[i] })
	var out []*fleetpb.Holder
	for _, name := range known {
		if m, ok := members[name]; ok && name != except && len(out) < maxHoldersTold {
			out = append(out, &fleetpb.Holder{Name: name, Address: m.Address})
		}
	}
	return out
}

// busy returns the answer to an entry without state for which no transfer is free.
func (s *service) busy(ctx context.Context, asker string, now time.Time) (*fleetpb.FollowReply, error) {
	pause.For(ctx, busyHold)
	return &fleetpb.FollowReply{Away: true, Starting: true, Holders: s.holders(asker, now)}, ctx.Err()
}

func (s *service) holders(asker string, now time.Time) []*fleetpb.Holder {
	f := s.frontend
	return f.firstStates.holders(f.members.inDataCentre(f.Settings.DataCentre), asker, now)
}
