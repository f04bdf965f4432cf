package frontend

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/hyssoprelay/hyssoprelay/internal/boottime"
	"github.com/hyssoprelay/hyssoprelay/internal/fleet"
	"github.com/hyssoprelay/hyssoprelay/internal/fleet/fanout"
	"github.com/hyssoprelay/hyssoprelay/internal/fleet/fleetpb"
	"github.com/hyssoprelay/hyssoprelay/internal/quarantine"
	"github.com/hyssoprelay/hyssoprelay/internal/relay"
)

const (
	// endedTimeout limits how long a request whose endpoint has ended waits until the other entries
	// know, and endedForwardTimeout the part of it that an entry has for telling its subgroup.
	endedTimeout        = 300 * time.Millisecond
	endedForwardTimeout = 200 * time.Millisecond
	// silentPause is for how long an entry that did not answer in time is told without being waited
	// for.
	silentPause = 3 * time.Second
)

// silentEntries holds the entries that did not answer in time, by name.
type silentEntries struct {
	mu    sync.Mutex // guards since
	since map[string]time.Time
}

// note records whether an entry answered in time.
func (s *silentEntries) note(name string, answered bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if answered {
		delete(s.since, name)
		return
	}
	if s.since == nil {
		s.since = map[string]time.Time{}
	}
	s.since[name] = now
}

// has reports whether an entry did not answer in time lately.
func (s *silentEntries) has(name string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	since, ok := s.since[name]
	return ok && now.Sub(since) < silentPause
}

// announceEnd tells the other entries what is known against a request under which an endpoint has just
// ended, and learns what they know. It returns when they have answered, or the time for that is over.
//
// The caller's next attempt comes to another entry as soon as this one answers, sooner than any report
// that is sent in turn. In a larger fleet the first end is told to one entry, which the request selects,
// so that a failure of many endpoints costs one message for each request; it is the second end that
// all entries are told of. Beyond the end from which on all refuse the request, the reports that they
// exchange anyway are soon enough.
func (f *Frontend) announceEnd(ctx context.Context, c quarantine.Case) {
	if ends := len(c.Crashes); ends == 0 || ends > quarantine.CrashesToRefuse {
		return
	}
	others := f.otherEntries()
	if len(others) < fanout.MaxDirectEntries {
		f.tellEnded(ctx, others, c, fleetpb.Passing_NOBODY)
		return
	}
	if len(c.Crashes) < quarantine.CrashesToShare {
		f.tellEnded(ctx, f.keeperOf(c.Subject, others), c, fleetpb.Passing_NOBODY)
		if c = f.state.KnownOfRequest(c.Subject); len(c.Crashes) < quarantine.CrashesToShare {
			return
		}
	}
	f.tellEnded(ctx, f.subgroupDelegates(), c, fleetpb.Passing_SUBGROUP)
}

// otherEntries returns all other entries that are known.
func (f *Frontend) otherEntries() []fleet.Member {
	all := f.members.all()
	delete(all, f.Settings.Name)
	return slices.Collect(maps.Values(all))
}

// keeperOf returns the entry that the request selects, or none if that is this one.
func (f *Frontend) keeperOf(fingerprint string, others []fleet.Member) []fleet.Member {
	name := f.state.Keeper(fingerprint)
	i := slices.IndexFunc(others, func(m fleet.Member) bool { return m.Name == name })
	if i < 0 {
		return nil
	}
	return others[i : i+1]
}

// subgroupDelegates returns one entry of each subgroup, that of this entry's own subgroup among them.
func (f *Frontend) subgroupDelegates() []fleet.Member {
	to := f.workReporter.peers()
	own := f.workReporter.tree.Delegate(to.subgroup)
	return slices.Concat([]fleet.Member{own}, to.near, to.remote)
}

// tellEnded tells entries of a case and adds what they know. It waits for those that have answered in
// time lately.
func (f *Frontend) tellEnded(ctx context.Context, entries []fleet.Member, c quarantine.Case, to fleetpb.Passing) {
	now := boottime.Now()
	q := &fleetpb.EndedRequest{RequestCases: encodeCases([]quarantine.Case{c}, now), To: to}
	done := make(chan struct{}, len(entries))
	waiting := 0
	for _, m := range entries {
		isWaitedFor := !f.silent.has(m.Name, now)
		if isWaitedFor {
			waiting++
		}
		go func() {
			// The others are to know of it even if the caller has left meanwhile.
			ctx := context.WithoutCancel(ctx)
			if m.Name == f.Settings.Name {
				f.forwardEnded(ctx, []quarantine.Case{c})
			} else {
				f.tellEntryEnded(ctx, m, q)
			}
			if isWaitedFor {
				done <- struct{}{}
			}
		}()
	}
	for range waiting {
		select {
		case <-done:
		case <-ctx.Done():
			return
		}
	}
}

// tellEntryEnded tells one other entry.
func (f *Frontend) tellEntryEnded(ctx context.Context, m fleet.Member, q *fleetpb.EndedRequest) {
	ctx, cancel := context.WithTimeout(ctx, endedTimeout)
	defer cancel()
	conn, err := f.peerConns.Get(m.Address)
	var reply *fleetpb.EndedReply
	if err == nil {
		reply, err = fleetpb.NewEntryClient(conn).Ended(ctx, q)
	}
	now := boottime.Now()
	f.silent.note(m.Name, err == nil, now)
	if err == nil {
		f.state.MergeCases(relay.Cases{Requests: decodeCases(reply.GetRequestCases(), now)}, m.Name, now)
		return
	}
	f.Log.WithFields(logrus.Fields{"entry": m.Name, "cause": err.Error()}).Info("entry not told of an endpoint's end")
	if status.Code(err) == codes.DeadlineExceeded {
		f.workReporter.tree.NoteFailure(m.Name, now)
		f.peerConns.RemoveUnresponsive(m.Address)
	}
}

// forwardEnded tells the other entries of this entry's subgroup of cases.
func (f *Frontend) forwardEnded(ctx context.Context, cases []quarantine.Case) {
	ctx, cancel := context.WithTimeout(ctx, endedForwardTimeout)
	defer cancel()
	others := slices.DeleteFunc(slices.Clone(f.workReporter.subgroup()), func(m fleet.Member) bool { return m.Name == f.Settings.Name })
	for _, c := range cases {
		f.tellEnded(ctx, others, c, fleetpb.Passing_NOBODY)
	}
}

// Ended implements fleetpb.EntryServer.
func (s *service) Ended(ctx context.Context, q *fleetpb.EndedRequest) (*fleetpb.EndedReply, error) {
	f, now := s.frontend, boottime.Now()
	told := decodeCases(q.GetRequestCases(), now)
	f.state.MergeCases(relay.Cases{Requests: told}, "", now)
	if q.GetTo() == fleetpb.Passing_SUBGROUP {
		f.forwardEnded(ctx, told)
	}
	known := make([]quarantine.Case, 0, len(told))
	for _, c := range told {
		known = append(known, f.state.KnownOfRequest(c.Subject))
	}
	return &fleetpb.EndedReply{RequestCases: encodeCases(known, boottime.Now())}, nil
}
