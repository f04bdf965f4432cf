package mirror

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/platform"
)

// history is a service that remembers all that ever happened to a few keys.
type history struct {
	// events holds the change of each revision, and at when it was made.
	events []event
	at     []time.Time
}

func (h *history) revision() int64 { return int64(len(h.events)) }

// change writes or deletes a key.
func (h *history) change(rng *rand.Rand, now time.Time) {
	r := h.revision() + 1
	key := fmt.Sprint("key", rng.IntN(5))
	h.events = append(h.events, event{
		item: platform.NewKeyValue(key, []byte(fmt.Sprint(r)), r, 0), deleted: rng.IntN(3) == 0, revision: r,
	})
	h.at = append(h.at, now)
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

// since is what a poll or a list of the service tells.
func (h *history) since(after int64, known bool, now time.Time) Update {
	u := Update{Whole: !known, Revision: h.revision(), Asked: now}
	if !known {
		after = 0
	}
	var c platform.Changed
	for _, e := range h.events[after:] {
		c.Order(e.item, e.deleted)
	}
	if u.KVs = c.KVs; known {
		u.Deleted = c.Deleted
	}
	return u
}

// follower knows what it was told by anyone.
type follower struct {
	copy     Copy
	state    map[string]string
	revision int64
	known    bool
	asked    time.Time
}

func (f *follower) take(u Update, now time.Time) {
	if u.Whole {
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
	if u.Asked.After(f.asked) {
		f.asked = u.Asked
	}
	f.copy.Take(u, now)
}

// check checks that the follower knows what was so at its revision, and all that was
// changed before the time that it claims.
func (f *follower) check(t *testing.T, seed uint64, h *history) {
	t.Helper()
	if want := h.stateAt(f.revision); fmt.Sprint(f.state) != fmt.Sprint(want) {
		t.Fatalf("seed %d: at revision %d it knows %v, want %v", seed, f.revision, f.state, want)
	}
	if i := int(f.revision); i < len(h.at) && h.at[i].Before(f.asked) {
		t.Fatalf("seed %d: revision %d was made before what is claimed to be known", seed, i+1)
	}
}

// Processes hear from the service and from each other, in any order, of which some
// are behind or ahead. Guards against a change that is lost or comes back, and
// against knowledge that is claimed to be newer than it is.
func TestCopiesTellWhatTheServiceTold(t *testing.T) {
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
				f.take(h.since(f.revision, f.known, now), now)
			case rng.IntN(20) == 0:
				*f = follower{}
				continue
			default:
				if u, ok := from.copy.Since(f.revision, f.known); ok {
					f.take(u, now)
				}
			}
			if f.known {
				f.check(t, seed, h)
			}
		}
	}
}

// Guards against a copy that grows for as long as its process runs, and against a
// process that is far behind and misses what was forgotten.
func TestWhoIsFarBehindIsToldAll(t *testing.T) {
	c := &Copy{}
	if _, ok := c.Since(0, false); ok {
		t.Fatal("a copy that knows nothing tells something")
	}
	now := time.Unix(1000, 0)
	c.Take(Update{Whole: true, Revision: 1}, now)
	for r := int64(2); r < 3*eventsKept; r++ {
		c.Take(Update{KVs: []platform.KeyValue{platform.NewKeyValue(fmt.Sprint(r%7), nil, r, 0)}, Revision: r}, now)
	}
	if len(c.events) > eventsKept {
		t.Errorf("%d changes are kept", len(c.events))
	}
	if u, ok := c.Since(1, true); !ok || !u.Whole || len(u.KVs) != 7 {
		t.Errorf("one that is far behind is told whole %v, %d items", u.Whole, len(u.KVs))
	}
	if u, ok := c.Since(3*eventsKept-2, true); !ok || u.Whole || len(u.KVs) != 1 {
		t.Errorf("one that lacks one change is told whole %v, %d items", u.Whole, len(u.KVs))
	}
}

// Guards against a process that waits for its turn though something new was heard.
func TestTakenIsTold(t *testing.T) {
	c := &Copy{}
	taken := c.Taken()
	if again := c.Taken(); again != taken {
		t.Error("two waits are told differently")
	}
	c.Take(Update{Whole: true, Revision: 1}, time.Unix(1000, 0))
	select {
	case <-taken:
	default:
		t.Error("nobody was told")
	}
}

// A process begins to ask the service in place of another, with old knowledge.
// Guards against keys that count for nothing while its first answer waits for a
// change.
func TestOldKnowledgeIsRenewedAtOnce(t *testing.T) {
	m := &Mirror{Wait: time.Second}
	ages := []time.Duration{0, time.Second, 1700 * time.Millisecond, 2 * time.Second, 3 * time.Second, time.Hour}
	want := []time.Duration{time.Second, time.Second, 300 * time.Millisecond, agedWait, agedWait, agedWait}
	for i, age := range ages {
		if got := m.waitFor(age, false); got != want[i] {
			t.Errorf("a poll waits %v when knowledge is %v old, want %v", got, age, want[i])
		}
	}
}

// The service did not answer the last call. Guards against a process that waits at a
// service which is silent, and hears of nothing from others meanwhile.
func TestSilentServiceIsTriedAndNotWaitedAt(t *testing.T) {
	m := &Mirror{Wait: time.Second}
	if got := m.waitFor(0, true); got != agedWait {
		t.Errorf("a poll waits %v, want %v", got, agedWait)
	}
}

// apartFollower knows what it was told, but for the values of a key that is told apart,
// which it is given later.
type apartFollower struct {
	follower

	lacks bool
	asked time.Time // of the update that lacks
	wants int64
	held  int64
}

// hear takes in what another one tells of everything else.
func (f *apartFollower) hear(u Update, now time.Time) {
	u.Lacking = u.Apart > f.held
	if u.Lacking {
		f.lacks, f.asked, f.wants = true, u.Asked, u.Apart
	}
	u.Apart = f.held
	told := u
	if u.Lacking {
		told.Asked = time.Time{}
	}
	f.copy.Take(u, now)
	f.revision, f.known = max(f.revision, u.Revision), true
	if told.Asked.After(f.follower.asked) {
		f.follower.asked = told.Asked
	}
}

// give gives it the value that another one holds.
func (f *apartFollower) give(from *apartFollower) {
	f.held = max(f.held, from.held)
	if !f.lacks || f.held < f.wants {
		return
	}
	f.lacks = false
	if f.asked.After(f.follower.asked) {
		f.follower.asked = f.asked
	}
	f.copy.CatchUp(f.asked, f.held)
}

// A large value is told apart from all others, later, by processes of which some are
// behind. Guards against one that claims to know all of a time though it lacks the
// value that was in force by then: a key that was taken away would count for longer.
func TestWhatIsToldApartIsNotClaimed(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 4))
		h := &history{}
		followers := []*apartFollower{{}, {}, {}, {}}
		for _, f := range followers {
			f.copy.Apart = "key0"
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
							f.held = max(f.held, item.Revision())
						}
					}
					u.Apart = f.held
					f.hear(u, now)
				}
			case 2:
				if u, ok := from.copy.Since(f.revision, f.known); ok && f != from && f != followers[0] {
					f.hear(u, now)
				}
			default:
				f.give(from)
			}
			f.checkApart(t, seed, h)
		}
	}
}

// checkApart checks that it holds the value that was in force at the time that it
// claims.
func (f *apartFollower) checkApart(t *testing.T, seed uint64, h *history) {
	t.Helper()
	inForce := int64(0)
	for i, e := range h.events {
		switch {
		case e.item.Key() != "key0" || !h.at[i].Before(f.follower.asked):
		case e.deleted:
			inForce = 0
		default:
			inForce = e.revision
		}
	}
	if inForce > f.held {
		t.Fatalf("seed %d: it claims to know all of a time at which revision %d was in force, and holds %d", seed, inForce, f.held)
	}
}

// A process hears from a neighbour of a large value, and asks the service before it was
// given it. Guards against a value that it never hears of, as the service is asked only
// for what came after.
func TestServiceIsAskedFromWhereNothingLacked(t *testing.T) {
	var polled []int64
	told := []Update{
		{Whole: true, Revision: 10},
		{Revision: 20, Lacking: true},
		{Revision: 15}, // another neighbour, which is behind
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	m := &Mirror{
		Reader: pollRecorder{polled: &polled, end: cancel}, Wait: time.Second, Now: time.Now, Apply: func(Update) {},
		Neighbour: func(context.Context, int64, bool) (Update, bool) {
			if len(told) == 0 {
				return Update{}, false
			}
			u := told[0]
			told = told[1:]
			return u, true
		},
	}
	if err := m.Run(ctx); err != nil {
		t.Fatal(err)
	}
	if !slices.Equal(polled, []int64{15}) {
		t.Errorf("the service is asked for what came after %v", polled)
	}
}

// pollRecorder notes from where on it is asked, and ends the run.
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
