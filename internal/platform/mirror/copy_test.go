package mirror

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/platform"
)

// history is a service that keeps all changes of a few keys.
type history struct {
	// events holds the change of each revision, and changedAt its time.
	events    []event
	changedAt []time.Time
}

func (h *history) revision() int64 { return int64(len(h.events)) }

// change writes or deletes a key.
func (h *history) change(rng *rand.Rand, now time.Time) {
	r := h.revision() + 1
	key := fmt.Sprint("key", rng.IntN(5))
	h.events = append(h.events, event{
		item: platform.NewKeyValue(key, []byte(fmt.Sprint(r)), r, 0), deleted: rng.IntN(3) == 0, revision: r,
	})
	h.changedAt = append(h.changedAt, now)
}

// stateAt returns the values of all keys at a revision.
func (h *history) stateAt(revision int64) map[string]string {
	out := map[string]string{}
	for _, e := range h.events[:revision] {
		if e.deleted {
			delete(out, e.item.Key())
		} else {
			out[e.item.Key()] = string(e.item.Value())
		}
	}
	return out
}

// since returns the answer of the service to a poll, or to a list if known is false.
func (h *history) since(after int64, known bool, now time.Time) Update {
	u := Update{Complete: !known, Revision: h.revision(), Coverage: Coverage{CoveredRevision: h.revision(), RequestedAt: now}}
	if !known {
		after = 0
	}
	var c platform.Changed
	for _, e := range h.events[after:] {
		c.Apply(e.item, e.deleted)
	}
	if u.KVs = c.KVs; known {
		u.Deleted = c.Deleted
	}
	return u
}

// follower is a process that applies updates from the service and from others.
type follower struct {
	copy     Copy
	state    map[string]string
	revision int64
	known    bool
	knownAt  time.Time
}

func (f *follower) apply(u Update, now time.Time) {
	if u.Complete {
		f.state = map[string]string{}
	}
	for _, item := range u.KVs {
		f.state[item.Key()] = string(item.Value())
	}
	for _, key := range u.Deleted {
		delete(f.state, key)
	}
	u.Revision = max(u.Revision, f.revision)
	f.revision, f.known = u.Revision, true
	if u.RequestedAt.After(f.knownAt) {
		f.knownAt = u.RequestedAt
	}
	f.copy.Apply(u, now)
}

// check verifies that the state of the follower is that of its revision, and that it
// includes all changes made before knownAt.
func (f *follower) check(t *testing.T, seed uint64, h *history) {
	t.Helper()
	if want := h.stateAt(f.revision); fmt.Sprint(f.state) != fmt.Sprint(want) {
		t.Fatalf("seed %d: at revision %d its state is %v, want %v", seed, f.revision, f.state, want)
	}
	if i := int(f.revision); i < len(h.changedAt) && h.changedAt[i].Before(f.knownAt) {
		t.Fatalf("seed %d: revision %d is missing though made before knownAt", seed, i+1)
	}
}

// Processes get updates from the service and from each other in random order, and some
// of them are behind or ahead of others. Guards against a change that is lost or
// undone, and against a process that lacks a change made before its knownAt.
func TestUpdatesFromCopiesKeepStateCorrect(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 3))
		h := &history{}
		followers := []*follower{{}, {}, {}, {}}
		now := time.Unix(1000, 0)
		for range 300 {
			now = now.Add(time.Millisecond)
			f := followers[rng.IntN(len(followers))]
			from := followers[rng.IntN(len(followers))]
			switch {
			case rng.IntN(2) == 0:
				h.change(rng, now)
				continue
			case rng.IntN(3) == 0 || f == from:
				f.apply(h.since(f.revision, f.known, now), now)
			case rng.IntN(20) == 0:
				*f = follower{}
				continue
			case rng.IntN(10) == 0:
				f.apply(h.since(0, false, now), now)
			default:
				if u, ok := from.copy.Since(Request{After: f.revision, Known: f.known}); ok {
					f.apply(u.Update, now)
				}
			}
			if f.known {
				f.check(t, seed, h)
			}
		}
	}
}

// Processes get the complete state and changes in pages, from changing sources, while
// keys change. Guards against a key that is lost between two pages, one that comes back
// after its deletion, and a process that counts as current before the last page.
func TestPagesFromSeveralCopiesKeepStateCorrect(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 5))
		h := &history{}
		now := time.Unix(1000, 0)
		sources := []*follower{{}, {}, {}}
		f, transfer := &follower{}, Transfer{}
		for range 400 {
			now = now.Add(time.Millisecond)
			switch rng.IntN(4) {
			case 0:
				h.change(rng, now)
			case 1:
				s := sources[rng.IntN(len(sources))]
				s.apply(h.since(s.revision, s.known, now), now)
			default:
				s := sources[rng.IntN(len(sources))]
				p, ok := s.copy.Since(transfer.Request(f.revision, f.known, 1))
				if !ok {
					continue
				}
				if u, ok := transfer.Add(p); ok {
					f.apply(f.copy.WithoutOlder(u), now)
				}
			}
			f.checkKnown(t, seed, h)
		}
		last := sources[0]
		last.apply(h.since(last.revision, last.known, now), now)
		for range 2 * len(h.events) {
			p, _ := last.copy.Since(transfer.Request(f.revision, f.known, 1))
			if u, ok := transfer.Add(p); ok {
				f.apply(f.copy.WithoutOlder(u), now)
			}
		}
		f.check(t, seed, h)
	}
}

// checkKnown verifies that the state of the follower includes each key's newest change
// of those made before knownAt, or a later one.
func (f *follower) checkKnown(t *testing.T, seed uint64, h *history) {
	t.Helper()
	newest := map[string]event{}
	for i, e := range h.events {
		if h.changedAt[i].Before(f.knownAt) {
			newest[e.item.Key()] = e
		}
	}
	for key, e := range newest {
		held, ok := f.state[key]
		value, _ := strconv.Atoi(held)
		if !e.deleted && (!ok && !h.deletedAfter(key, e.revision) || ok && int64(value) < e.revision) {
			t.Fatalf("seed %d: revision %d of %s was made before knownAt, and it holds %q", seed, e.revision, key, held)
		}
		if e.deleted && ok && int64(value) < e.revision {
			t.Fatalf("seed %d: %s was deleted by revision %d before knownAt, and it holds %q", seed, key, e.revision, held)
		}
	}
}

// deletedAfter reports whether a key was deleted after a revision.
func (h *history) deletedAfter(key string, revision int64) bool {
	return slices.ContainsFunc(h.events[revision:], func(e event) bool { return e.deleted && e.item.Key() == key })
}

// Guards against a copy that grows without bound, and against a process far behind that
// misses changes which were dropped.
func TestProcessFarBehindGetsCompleteState(t *testing.T) {
	c := &Copy{}
	if _, ok := c.Since(Request{}); ok {
		t.Fatal("an empty copy returns an update")
	}
	now := time.Unix(1000, 0)
	c.Apply(Update{Complete: true, Revision: 1}, now)
	for r := int64(2); r < 3*minEvents; r++ {
		c.Apply(Update{KVs: []platform.KeyValue{platform.NewKeyValue(fmt.Sprint(r%7), nil, r, 0)}, Revision: r}, now)
	}
	if len(c.events) > minEvents {
		t.Errorf("%d changes are kept", len(c.events))
	}
	if u, ok := c.Since(Request{After: 1, Known: true}); !ok || !u.Complete || len(u.KVs) != 7 {
		t.Errorf("a process far behind gets complete %v, %d items", u.Complete, len(u.KVs))
	}
	if u, ok := c.Since(Request{After: 3*minEvents - 2, Known: true}); !ok || u.Complete || len(u.KVs) != 1 {
		t.Errorf("a process that lacks one change gets complete %v, %d items", u.Complete, len(u.KVs))
	}
}

// Guards against a request that keeps waiting although an update has arrived.
func TestUpdateClosesUpdatedChannel(t *testing.T) {
	c := &Copy{}
	updated := c.Updated()
	if again := c.Updated(); again != updated {
		t.Error("two waiters get different channels")
	}
	c.Apply(Update{Complete: true, Revision: 1}, time.Unix(1000, 0))
	select {
	case <-updated:
	default:
		t.Error("the channel was not closed")
	}
}

// A process starts to poll the service in place of another while its own state is old.
// Guards against account keys that are no longer accepted while the first poll waits for
// a change.
func TestPollWaitShrinksWithAge(t *testing.T) {
	m := &Mirror{Wait: time.Second}
	ages := []time.Duration{0, time.Second, 1700 * time.Millisecond, 2 * time.Second, 3 * time.Second, time.Hour}
	want := []time.Duration{time.Second, time.Second, 300 * time.Millisecond, minPollWait, minPollWait, minPollWait}
	for i, age := range ages {
		if got := m.pollWait(age, false); got != want[i] {
			t.Errorf("a poll waits %v when the state is %v old, want %v", got, age, want[i])
		}
	}
}

// The service did not answer the last call. Guards against a process that waits for an
// unreachable service and gets no updates from its peers meanwhile.
func TestPollWaitIsShortAfterFailure(t *testing.T) {
	m := &Mirror{Wait: time.Second}
	if got := m.pollWait(0, true); got != minPollWait {
		t.Errorf("a poll waits %v, want %v", got, minPollWait)
	}
}

// separateFollower is a follower to which the value of Copy.SeparateKey is transferred
// separately and later than the update that announces it.
type separateFollower struct {
	follower

	separateMissing bool
	pendingKnownAt  time.Time // RequestedAt of the update that announced pendingRevision
	pendingRevision int64
	heldRevision    int64
}

// receive applies an update, which contains no value of Copy.SeparateKey.
func (f *separateFollower) receive(u Update, now time.Time) {
	u.SeparateMissing = u.SeparateRevision > f.heldRevision
	if u.SeparateMissing {
		f.separateMissing, f.pendingKnownAt, f.pendingRevision = true, u.RequestedAt, u.SeparateRevision
	}
	u.SeparateRevision = f.heldRevision
	accepted := u
	if u.SeparateMissing {
		accepted.RequestedAt = time.Time{}
	}
	f.copy.Apply(u, now)
	f.revision, f.known = max(f.revision, u.Revision), true
	if accepted.RequestedAt.After(f.follower.knownAt) {
		f.follower.knownAt = accepted.RequestedAt
	}
}

// transferFrom copies the value of Copy.SeparateKey from another follower.
func (f *separateFollower) transferFrom(from *separateFollower) {
	f.heldRevision = max(f.heldRevision, from.heldRevision)
	if !f.separateMissing || f.heldRevision < f.pendingRevision {
		return
	}
	f.separateMissing = false
	if f.pendingKnownAt.After(f.follower.knownAt) {
		f.follower.knownAt = f.pendingKnownAt
	}
	f.copy.AdvanceSeparate(Coverage{RequestedAt: f.pendingKnownAt, SeparateRevision: f.heldRevision})
}

// A large value is transferred separately and later, also by processes that are behind.
// Guards against a process that lacks a value which was in force before its knownAt: an
// account key that the value revokes would be accepted for longer.
func TestKnownAtWaitsForSeparateValue(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 4))
		h := &history{}
		followers := []*separateFollower{{}, {}, {}, {}}
		for _, f := range followers {
			f.copy.SeparateKey = "key0"
		}
		now := time.Unix(1000, 0)
		for range 400 {
			now = now.Add(time.Millisecond)
			f, from := followers[rng.IntN(4)], followers[rng.IntN(4)]
			switch rng.IntN(4) {
			case 0:
				h.change(rng, now)
			case 1:
				if f == followers[0] {
					u := h.since(f.revision, f.known, now)
					for _, item := range u.KVs {
						if item.Key() == "key0" {
							f.heldRevision = max(f.heldRevision, item.Revision())
						}
					}
					u.SeparateRevision = f.heldRevision
					f.receive(u, now)
				}
			case 2:
				if u, ok := from.copy.Since(Request{After: f.revision, Known: f.known}); ok && f != from && f != followers[0] {
					f.receive(u.Update, now)
				}
			default:
				f.transferFrom(from)
			}
			f.checkSeparate(t, seed, h)
		}
	}
}

// checkSeparate verifies that the follower holds the value of key0 that was in force at
// its knownAt, or a later one.
func (f *separateFollower) checkSeparate(t *testing.T, seed uint64, h *history) {
	t.Helper()
	inForce := int64(0)
	for i, e := range h.events {
		switch {
		case e.item.Key() != "key0" || !h.changedAt[i].Before(f.follower.knownAt):
		case e.deleted:
			inForce = 0
		default:
			inForce = e.revision
		}
	}
	if inForce > f.heldRevision {
		t.Fatalf("seed %d: revision %d was in force at its knownAt, but it holds %d", seed, inForce, f.heldRevision)
	}
}

// A peer announces a large value, and the process polls the service before the value has
// been transferred. Guards against a poll from the revision of the announcement, which
// would never return the value.
func TestPollStartsBeforeMissingSeparateValue(t *testing.T) {
	var polled []int64
	updates := []Update{
		{Complete: true, Revision: 10, Coverage: Coverage{CoveredRevision: 10}},
		{Revision: 20, Coverage: Coverage{CoveredRevision: 20}, SeparateMissing: true},
		{Revision: 15, Coverage: Coverage{CoveredRevision: 15}}, // from another peer, which is behind
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	m := &Mirror{
		Reader: pollRecorder{polled: &polled, end: cancel}, Wait: time.Second, Now: time.Now, Apply: func(Update) {},
		Peer: func(context.Context, int64, bool) (Update, bool) {
			if len(updates) == 0 {
				return Update{}, false
			}
			u := updates[0]
			updates = updates[1:]
			return u, true
		},
	}
	if err := m.Run(ctx); err != nil {
		t.Fatal(err)
	}
	if !slices.Equal(polled, []int64{15}) {
		t.Errorf("the service is polled from revisions %v", polled)
	}
}

// pollRecorder records the revisions from which it is polled, and ends the run.
type pollRecorder struct {
	polled *[]int64
	end    func()
}

func (r pollRecorder) List(context.Context, string, string, int) (platform.RangeReply, error) {
	return platform.RangeReply{}, ErrCompacted
}

func (r pollRecorder) Poll(_ context.Context, _ string, after int64, _ time.Duration) (platform.Changed, error) {
	*r.polled = append(*r.polled, after)
	r.end()
	return platform.Changed{Revision: after}, nil
}
