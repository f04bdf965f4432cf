package readers

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/platform"
	"github.com/hyssoprelay/hyssoprelay/internal/platform/mirror"
)

const (
	// linkTick is the step of a linkSimulation. itemBytes is the size of a key and its
	// value, as many as four of the product's are on average.
	linkTick  = 5 * time.Millisecond
	itemBytes = 1000
	// replyTimeout is the time after which a process gives up a request.
	replyTimeout = MaxFollowWait + 250*time.Millisecond
)

// linkSimulation is a data centre whose processes start together and get the state of
// the store from each other, over links of which each carries all replies of its sender.
type linkSimulation struct {
	names       []string
	processes   map[string]*linkedProcess
	bytesPerSec float64
	pageBytes   int
	revision    int64
	now         time.Time
	storeCalls  int
}

// linkedProcess is a process with its copy of the state.
type linkedProcess struct {
	selector  SourceSelector
	freshness Freshness
	copy      mirror.Copy
	transfer  mirror.Transfer
	startsAt  time.Time
	revision  int64
	known     bool
	// pending is the reply that is being sent to the process, or nil, and replies are
	// those that it is sending.
	pending *linkReply
	replies []*linkReply
	// backOffUntil is when the process asks again after an answer without an update.
	backOffUntil time.Time
}

// linkReply is a request and, once the source has something to send, the reply on the
// link of the source.
type linkReply struct {
	source    string
	page      *mirror.Page
	bytesLeft float64
	sentAt    time.Time
}

// newLinkSimulation returns a data centre of n processes that start within half a
// second. The store holds 2.5 kB for each of them: in five data centres an entry and an
// endpoint each.
func newLinkSimulation(n int, bytesPerSec float64, pageBytes int) *linkSimulation {
	s := &linkSimulation{processes: map[string]*linkedProcess{}, bytesPerSec: bytesPerSec, pageBytes: pageBytes, now: start, revision: int64(5 * n / 2)}
	rng := rand.New(rand.NewPCG(uint64(n), 1))
	for i := range n {
		name := fmt.Sprint("entry", i)
		s.names = append(s.names, name)
		p := &linkedProcess{startsAt: start.Add(time.Duration(rng.Int64N(int64(500 * time.Millisecond))))}
		p.selector.Self = name
		p.freshness = Freshness{Self: name, Wait: Wait(5 * time.Second)}
		p.freshness.NoteProgress(p.startsAt)
		s.processes[name] = p
	}
	return s
}

// run advances the simulation until all processes have the state, and returns how long
// that took, at most d.
func (s *linkSimulation) run(d time.Duration) time.Duration {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(linkTick) {
		for _, name := range s.names {
			s.send(s.processes[name])
		}
		missing := 0
		for _, name := range s.names {
			p := s.processes[name]
			if !s.now.Before(p.startsAt) {
				s.step(p)
			}
			if p.revision < s.revision {
				missing++
			}
		}
		if missing == 0 {
			break
		}
	}
	return s.now.Sub(start)
}

// send divides a tick of a process's link among its replies.
func (s *linkSimulation) send(p *linkedProcess) {
	var active []*linkReply
	for _, r := range p.replies {
		if r.page != nil && r.bytesLeft > 0 {
			active = append(active, r)
		}
	}
	for _, r := range active {
		r.bytesLeft -= s.bytesPerSec * linkTick.Seconds() / float64(len(active))
	}
}

func (s *linkSimulation) step(p *linkedProcess) {
	if p.pending != nil {
		s.await(p)
		return
	}
	if s.now.Before(p.backOffUntil) {
		return
	}
	source := p.selector.Source(s.names, s.now)
	if source == "" {
		s.readStore(p)
		return
	}
	r := &linkReply{source: source, sentAt: s.now}
	p.pending = r
	s.processes[source].replies = append(s.processes[source].replies, r)
}

// await continues the pending request of a process.
func (s *linkSimulation) await(p *linkedProcess) {
	r := p.pending
	source := s.processes[r.source]
	waited := s.now.Sub(r.sentAt)
	if r.page == nil {
		s.answer(p, source, r, waited)
	}
	switch {
	case waited >= replyTimeout:
		s.end(p, NoAnswer)
	case r.page != nil && r.bytesLeft <= 0:
		s.end(p, Fresh)
	}
}

// answer gives a request its reply, if the source has one now.
func (s *linkSimulation) answer(p, source *linkedProcess, r *linkReply, waited time.Duration) {
	switch {
	case s.now.Before(source.startsAt):
	case !source.known && waited >= MaxFollowWait:
		s.end(p, source.freshness.AnswerWithoutState(s.now))
	case source.known && (source.revision > p.revision || waited >= MaxFollowWait):
		page, _ := source.copy.Since(p.transfer.Request(p.revision, p.known, s.pageBytes))
		r.page, r.bytesLeft = &page, float64(itemBytes*len(page.KVs))
	}
}

// end ends the pending request of a process.
func (s *linkSimulation) end(p *linkedProcess, o Outcome) {
	r := p.pending
	p.pending = nil
	source := s.processes[r.source]
	for i, other := range source.replies {
		if other == r {
			source.replies = append(source.replies[:i], source.replies[i+1:]...)
			break
		}
	}
	p.selector.NoteAnswer(r.source, o, s.now)
	if o != Fresh {
		return
	}
	p.freshness.NoteProgress(s.now)
	if u, ok := p.transfer.Add(*r.page); ok {
		p.copy.Apply(u, s.now)
		p.revision, p.known = max(p.revision, u.Revision), true
		p.freshness.NoteUpdate(source.freshness.Origin())
	}
}

// readStore makes a process read the store.
func (s *linkSimulation) readStore(p *linkedProcess) {
	s.storeCalls++
	p.transfer.Reset()
	u := mirror.Update{Complete: !p.known, Revision: s.revision, Coverage: mirror.Coverage{RequestedAt: s.now}}
	for r := p.revision + 1; r <= s.revision; r++ {
		u.KVs = append(u.KVs, platform.NewKeyValue(fmt.Sprintf("key%06d", r), make([]byte, itemBytes-len("key000000")), r, 0))
	}
	p.copy.Apply(u, s.now)
	p.revision, p.known = s.revision, true
	p.freshness.NoteUpdate(p.selector.Self)
	p.selector.NoteStore(true, s.now)
	p.backOffUntil = s.now.Add(time.Second)
}

// All processes of a data centre start together over links of 40 Mbit/s, either without
// any state or with that of a moment at which the fleet had not registered yet. Guards
// against one process that has to send it to all others: at a hundred processes no reply
// arrived in time, all gave their source up together and began anew with the next one,
// and none knew which endpoints were leaving.
func TestProcessesThatStartTogetherGetTheStateInTime(t *testing.T) {
	const (
		bytesPerSec = 40e6 / 8
		pageBytes   = 32 << 10
		// within is the time in which a change has to be in force everywhere.
		within = 5 * time.Second
	)
	for _, n := range []int{8, 36, 107, 214} {
		for name, known := range map[string]bool{"without state": false, "before all others registered": true} {
			s := newLinkSimulation(n, bytesPerSec, pageBytes)
			for _, p := range s.processes {
				p.known = known
				if known {
					p.copy.Apply(mirror.Update{Complete: true, Coverage: mirror.Coverage{RequestedAt: start}}, start)
				}
			}
			took := s.run(2 * within)
			if took >= within {
				t.Errorf("%d processes %s: the last one has the state after %v", n, name, took)
			}
			t.Logf("%d processes %s: %v, %d calls", n, name, took, s.storeCalls)
			if maxCalls := 2 * maxReaders; s.storeCalls > maxCalls {
				t.Errorf("%d processes %s: %d calls to the store, want at most %d", n, name, s.storeCalls, maxCalls)
			}
		}
	}
}
