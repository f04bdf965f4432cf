package config

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Snapshot is what a process knows of the configuration. It does not change.
type Snapshot struct {
	head   Head
	holds  []Hold
	parts  map[string][]byte // by digest
	preset Preset            // the newest in force whose body is known

	digest  string // names head and holds
	summary []byte // the message that begins an exchange
}

var emptySnapshot = (&Snapshot{}).seal()

// seal works out the digest once for each change. Processes compare digests at
// each report of load: at 128 agents that report up to 20 times a second,
// encoding the document for each report would take a fifth of a core.
func (s *Snapshot) seal() *Snapshot {
	s.digest = digestOf(s)
	s.summary = mustMarshal(message{Digest: s.digest})
	return s
}

// Head returns the newest document.
func (s *Snapshot) Head() Head { return s.head }

// Holds returns the local holds that the document has not taken in.
func (s *Snapshot) Holds() []Hold { return append([]Hold(nil), s.holds...) }

// Preset returns the preset to act by and its body, which must not be changed,
// or false when none is known. It is the one in force, or, until the body of
// that one has arrived, the one that was in force before.
func (s *Snapshot) Preset() (Preset, []byte, bool) {
	body, ok := s.parts[s.preset.digest]
	return s.preset, body, ok
}

// Part returns the part with the digest, which must not be changed.
func (s *Snapshot) Part(digest string) ([]byte, bool) {
	b, ok := s.parts[digest]
	return b, ok
}

// IsOut reports whether the target itself is out of service, by the document or
// by a local hold.
func (s *Snapshot) IsOut(t Target) bool { return s.head.IsOut(t) || s.held(t) }

func (s *Snapshot) held(t Target) bool {
	for _, d := range s.holds {
		if d.target == t && !d.Released() {
			return true
		}
	}
	return false
}

// Missing returns the digests of the parts that the document names and that are
// not known, the one of the preset in force first.
func (s *Snapshot) Missing() []string {
	var ds []string
	if p, ok := s.head.InForce(); ok && !s.has(p.digest) {
		ds = append(ds, p.digest)
	}
	for _, p := range s.head.presets {
		if p.name != s.head.inForce && !s.has(p.digest) {
			ds = append(ds, p.digest)
		}
	}
	return ds
}

func (s *Snapshot) has(digest string) bool {
	_, ok := s.parts[digest]
	return ok
}

// Store keeps the newest configuration that the process has seen, in memory.
// What it holds only grows in the sense of Newer: an older document never
// replaces a newer one. The zero Store is empty and ready for use; it may be
// used by several goroutines. Readers take no lock.
type Store struct {
	current atomic.Pointer[Snapshot]

	mu     sync.Mutex // guards writes of current, and all below
	subs   map[chan struct{}]bool
	past   []past   // earlier states, the newest last
	parked [][]byte // parts of orders whose outcome may still be open
}

// maxParked bounds the parts that are kept although no document names them: as
// many as operators have under way through one process.
const maxParked = 4

// keep keeps a part that a document may name later. It guards against a head
// without its body: the write of the head took effect, its answer was lost, and
// then the service lost the part to a restore; nobody else has it.
func (s *Store) keep(body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.parked = append(s.parked, body)
	if len(s.parked) > maxParked {
		s.parked = s.parked[1:]
	}
}

// Current returns the newest configuration.
func (s *Store) Current() *Snapshot {
	if c := s.current.Load(); c != nil {
		return c
	}
	return emptySnapshot
}

// Offer joins a document and parts into the store and reports whether anything
// changed. Parts are named by their digests here; those that the document does
// not name are dropped.
func (s *Store) Offer(h Head, parts ...[]byte) bool {
	return s.join(h, nil, parts)
}

// EachChange calls f now and after each change until ctx ends.
func (s *Store) EachChange(ctx context.Context, f func(context.Context)) error {
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

// hold adds a local hold.
func (s *Store) hold(d Hold) { s.join(Head{}, []Hold{d}, nil) }

// releaseHolds releases the holds of a target and reports whether there was
// one.
func (s *Store) releaseHolds(t Target, r release) bool {
	var ds []Hold
	for _, d := range s.Current().holds {
		if d.target != t || d.Released() {
			continue
		}
		d.release = &r
		ds = append(ds, d)
	}
	s.join(Head{}, ds, nil)
	return len(ds) > 0
}

func (s *Store) join(h Head, holds []Hold, parts [][]byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.Current()
	next := &Snapshot{head: Newer(old.head, h), preset: old.preset}
	next.holds = joinHolds(old.holds, holds, next.head)
	next.parts = joinParts(old, next.head, slices.Concat(parts, s.parked))
	if p, ok := next.head.InForce(); ok && next.has(p.digest) {
		next.preset = p
	}
	if same(old, next) {
		return false
	}
	s.current.Store(next.seal())
	s.remember(old)
	for c := range s.subs {
		notify(c)
	}
	return true
}

// remember keeps an earlier state. s.mu must be held.
func (s *Store) remember(c *Snapshot) {
	if len(s.past) == maxPast {
		s.past = slices.Delete(s.past, 0, 1)
	}
	s.past = append(s.past, past{digest: c.digest, head: c.head, holds: c.holds})
}

// recall returns an earlier or the current state by its digest, or nil.
func (s *Store) recall(digest string) *past {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c := s.Current(); c.digest == digest {
		return &past{digest: c.digest, head: c.head, holds: c.holds}
	}
	for _, p := range s.past {
		if p.digest == digest {
			return &p
		}
	}
	return nil
}

// joinParts keeps the parts that the head names and the one that is acted by.
func joinParts(old *Snapshot, h Head, parts [][]byte) map[string][]byte {
	named := map[string]bool{old.preset.digest: true}
	for _, p := range h.presets {
		named[p.digest] = true
	}
	m := make(map[string][]byte)
	for d, b := range old.parts {
		if named[d] {
			m[d] = b
		}
	}
	for _, b := range parts {
		d := Digest(b)
		if _, ok := m[d]; !ok && named[d] {
			m[d] = append([]byte(nil), b...)
		}
	}
	return m
}

func same(a, b *Snapshot) bool {
	if len(a.parts) != len(b.parts) || a.preset != b.preset || len(a.holds) != len(b.holds) {
		return false
	}
	for i := range a.holds {
		if !a.holds[i].equal(b.holds[i]) {
			return false
		}
	}
	for d := range b.parts {
		if !a.has(d) {
			return false
		}
	}
	return a.head.equal(b.head)
}

func (d Hold) equal(o Hold) bool {
	if d.changeID != o.changeID || d.Released() != o.Released() {
		return false
	}
	return !d.Released() || d.release.changeID == o.release.changeID
}

// Subscribe returns a channel that holds a token whenever the configuration has
// changed since the last receive. The channel is never closed; end the
// subscription with Unsubscribe.
func (s *Store) Subscribe() chan struct{} {
	c := make(chan struct{}, 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.subs == nil {
		s.subs = make(map[chan struct{}]bool)
	}
	s.subs[c] = true
	if s.current.Load() != nil {
		notify(c)
	}
	return c
}

// Unsubscribe ends a subscription.
func (s *Store) Unsubscribe(c chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.subs, c)
}

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// newHold makes the hold of an order that was met at now.
func newHold(o Order, t Target, now time.Time) Hold {
	return Hold{target: t, changeID: o.ChangeID, by: o.By, at: micros(now)}
}
