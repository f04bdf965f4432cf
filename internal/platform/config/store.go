package config

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Snapshot is the configuration known to a process at one time. It is
// immutable.
type Snapshot struct {
	head   Head
	holds  []Hold
	parts  map[string][]byte // by digest
	preset Preset            // the latest preset in force whose body is known

	digest        string // of head and holds
	digestMessage []byte // the message that starts an exchange
}

var emptySnapshot = (&Snapshot{}).computeDigest()

// computeDigest sets the digest and the digest message once per change, because
// processes compare digests with each load report: at 128 agents that report up
// to 20 times a second, encoding the document for each report would take a
// fifth of a core.
func (s *Snapshot) computeDigest() *Snapshot {
	s.digest = snapshotDigest(s)
	s.digestMessage = mustMarshal(message{Digest: s.digest})
	return s
}

// Head returns the newest known document.
func (s *Snapshot) Head() Head { return s.head }

// Holds returns the local holds that the document does not contain yet.
func (s *Snapshot) Holds() []Hold { return append([]Hold(nil), s.holds...) }

// Preset returns the preset to use and its body, which must not be modified, or
// false if there is none. It is the preset in force or, until the body of that
// one has been received, the previous preset in force.
func (s *Snapshot) Preset() (Preset, []byte, bool) {
	body, ok := s.parts[s.preset.digest]
	return s.preset, body, ok
}

// Part returns the part with the digest, which must not be modified, and
// whether it is known.
func (s *Snapshot) Part(digest string) ([]byte, bool) {
	b, ok := s.parts[digest]
	return b, ok
}

// IsOutOfService reports whether the document or a local hold keeps the target
// itself out of service.
func (s *Snapshot) IsOutOfService(t Target) bool { return s.head.IsOutOfService(t) || s.isHeld(t) }

func (s *Snapshot) isHeld(t Target) bool {
	for _, hold := range s.holds {
		if hold.target == t && !hold.Released() {
			return true
		}
	}
	return false
}

// MissingParts returns the digests of the parts that the document references
// and the store lacks. The part of the preset in force comes first.
func (s *Snapshot) MissingParts() []string {
	var ds []string
	if p, ok := s.head.InForce(); ok && !s.hasPart(p.digest) {
		ds = append(ds, p.digest)
	}
	for _, p := range s.head.presets {
		if p.name != s.head.inForce && !s.hasPart(p.digest) {
			ds = append(ds, p.digest)
		}
	}
	return ds
}

func (s *Snapshot) hasPart(digest string) bool {
	_, ok := s.parts[digest]
	return ok
}

// Store holds the newest configuration that the process has seen, in memory.
// New documents are joined by JoinHeads, so an older document never replaces a
// newer one. The zero Store is empty and ready for use. A Store is safe for
// concurrent use; Current takes no lock.
type Store struct {
	current atomic.Pointer[Snapshot]

	mu            sync.Mutex // guards writes of current and the fields below
	subscribers   map[chan struct{}]bool
	history       []state  // earlier states, newest last
	retainedParts [][]byte // parts of submitted presets, which no document may reference yet
}

// maxRetainedParts limits the parts kept although no document references them.
// It has to cover the presets that operators submit through one process at the
// same time.
const maxRetainedParts = 4

// retainPart keeps a part that a document may reference later. If the write of
// a head takes effect, its response is lost and the service then loses the part
// in a restore, this process has the only copy of the body.
func (s *Store) retainPart(body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retainedParts = append(s.retainedParts, body)
	if len(s.retainedParts) > maxRetainedParts {
		s.retainedParts = s.retainedParts[1:]
	}
}

// Current returns the newest known configuration.
func (s *Store) Current() *Snapshot {
	if c := s.current.Load(); c != nil {
		return c
	}
	return emptySnapshot
}

// Merge joins a document and parts into the store and reports whether that
// changed the configuration. Parts that the document does not reference are
// dropped.
func (s *Store) Merge(h Head, parts ...[]byte) bool {
	return s.join(h, nil, parts)
}

// OnChange calls f immediately and after each change until ctx is done. It
// returns nil.
func (s *Store) OnChange(ctx context.Context, f func(context.Context)) error {
	c := s.Subscribe()
	defer s.Unsubscribe(c)
	for {
		f(ctx)
		select {
		case <-c:
		case <-ctx.Done():
			return nil
		}
	}
}

func (s *Store) addHold(hold Hold) { s.join(Head{}, []Hold{hold}, nil) }

// releaseHolds releases the holds on a target and reports whether there were
// any.
func (s *Store) releaseHolds(t Target, r release) bool {
	var released []Hold
	for _, hold := range s.Current().holds {
		if hold.target != t || hold.Released() {
			continue
		}
		hold.release = &r
		released = append(released, hold)
	}
	s.join(Head{}, released, nil)
	return len(released) > 0
}

func (s *Store) join(h Head, holds []Hold, parts [][]byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.Current()
	next := &Snapshot{head: JoinHeads(old.head, h), preset: old.preset}
	next.holds = joinHolds(old.holds, holds, next.head)
	next.parts = joinParts(old, next.head, slices.Concat(parts, s.retainedParts))
	if p, ok := next.head.InForce(); ok && next.hasPart(p.digest) {
		next.preset = p
	}
	if equalSnapshots(old, next) {
		return false
	}
	s.current.Store(next.computeDigest())
	s.appendHistory(old)
	for c := range s.subscribers {
		notify(c)
	}
	return true
}

// appendHistory adds an earlier state to the history. s.mu must be held.
func (s *Store) appendHistory(c *Snapshot) {
	if len(s.history) == maxHistory {
		s.history = slices.Delete(s.history, 0, 1)
	}
	s.history = append(s.history, state{digest: c.digest, head: c.head, holds: c.holds})
}

// findState returns the current or an earlier state with the digest, or nil.
func (s *Store) findState(digest string) *state {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c := s.Current(); c.digest == digest {
		return &state{digest: c.digest, head: c.head, holds: c.holds}
	}
	for _, old := range s.history {
		if old.digest == digest {
			return &old
		}
	}
	return nil
}

// joinParts returns the known parts that the head references and the part of
// the preset in use.
func joinParts(old *Snapshot, h Head, parts [][]byte) map[string][]byte {
	referenced := map[string]bool{old.preset.digest: true}
	for _, p := range h.presets {
		referenced[p.digest] = true
	}
	m := make(map[string][]byte)
	for d, b := range old.parts {
		if referenced[d] {
			m[d] = b
		}
	}
	for _, b := range parts {
		d := Digest(b)
		if _, ok := m[d]; !ok && referenced[d] {
			m[d] = append([]byte(nil), b...)
		}
	}
	return m
}

func equalSnapshots(a, b *Snapshot) bool {
	if len(a.parts) != len(b.parts) || a.preset != b.preset || len(a.holds) != len(b.holds) {
		return false
	}
	for i := range a.holds {
		if !a.holds[i].equal(b.holds[i]) {
			return false
		}
	}
	for d := range b.parts {
		if !a.hasPart(d) {
			return false
		}
	}
	return a.head.equal(b.head)
}

func (h Hold) equal(o Hold) bool {
	if h.changeID != o.changeID || h.Released() != o.Released() {
		return false
	}
	return !h.Released() || h.release.changeID == o.release.changeID
}

// Subscribe returns a channel that receives a value when the configuration has
// changed since the last receive. The channel is never closed; call Unsubscribe
// to end the subscription.
func (s *Store) Subscribe() chan struct{} {
	c := make(chan struct{}, 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.subscribers == nil {
		s.subscribers = make(map[chan struct{}]bool)
	}
	s.subscribers[c] = true
	if s.current.Load() != nil {
		notify(c)
	}
	return c
}

// Unsubscribe ends the subscription of a channel returned by Subscribe.
func (s *Store) Unsubscribe(c chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.subscribers, c)
}

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// newHold returns the hold for the order o on target t, received at time now.
func newHold(o Order, t Target, now time.Time) Hold {
	return Hold{target: t, changeID: o.ChangeID, by: o.By, at: truncateToMicros(now)}
}
