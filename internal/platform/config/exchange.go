package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
)

// maxMessage is the largest message of an exchange in bytes.
const maxMessage = MaxHead + maxHolds*1<<10

// maxReplyParts bounds the parts of one reply in bytes, so that a reply stays
// below the size that peers accept; the rest is asked for next time.
const maxReplyParts = 2 * MaxPart

// message is what peers send each other: always the digest of what they know;
// what the other side lacks, when it is known what it has; the whole document
// with the holds when it is not. Sending the digest alone while both agree
// keeps anti-entropy at about a hundred bytes a round.
type message struct {
	Digest string          `json:"digest"`
	Head   json.RawMessage `json:"head,omitempty"`
	Holds  []holdJSON      `json:"holds,omitempty"`
	// Base is the digest of the state that Delta changes.
	Base  string     `json:"base,omitempty"`
	Delta *deltaJSON `json:"delta,omitempty"`
	// Whole asks for the whole document, because a delta could not be used.
	Whole bool `json:"whole,omitempty"`
}

// Summary returns the message that begins an exchange, which must not be
// changed. It costs nothing while the configuration stays.
func (s *Store) Summary() []byte { return s.Current().summary }

// State returns the message with all that the store knows except parts.
func (s *Store) State() []byte { return stateOf(s.Current()) }

func stateOf(c *Snapshot) []byte {
	return mustMarshal(message{
		Digest: c.digest,
		Head:   c.head.Encode(),
		Holds:  holdsToJSON(c.holds),
	})
}

// deltaFor returns the message for a peer that has the base.
func deltaFor(base *past, c *Snapshot) []byte {
	return mustMarshal(message{
		Digest: c.digest,
		Holds:  holdsToJSON(c.holds),
		Base:   base.digest,
		Delta:  deltaOf(base.head, c.head),
	})
}

// digestOf names the knowledge of a snapshot without its parts.
func digestOf(c *Snapshot) string { return digestOfState(c.head, c.holds) }

func digestOfState(head Head, holds []Hold) string {
	h := sha256.New()
	h.Write(head.Encode())
	h.Write(mustMarshal(holdsToJSON(holds)))
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// Exchange answers a peer's message: it takes in what the message holds and
// returns a message for the peer and the parts that it wants and that are known
// here. The error, for a message that can't be read, wraps ErrMalformed or
// ErrTooLarge.
func (s *Store) Exchange(msg []byte, want []string) ([]byte, map[string][]byte, error) {
	r, err := s.receive(msg)
	if err != nil {
		return nil, nil, err
	}
	c := s.Current()
	parts := partsOf(c, want)
	switch {
	case r.digest == c.digest:
		return c.summary, parts, nil
	case r.whole:
		return stateOf(c), parts, nil
	case r.unusable:
		return wholeWanted(c), parts, nil
	}
	if base := s.base(r); base != nil {
		return deltaFor(base, c), parts, nil
	}
	// The peer may know what this process has; if not it sends all.
	return c.summary, parts, nil
}

// Finish takes in a peer's reply to Summary or State. When the peer lacks
// something it returns the message to send next, else nil.
func (s *Store) Finish(reply []byte, parts map[string][]byte) ([]byte, error) {
	r, err := s.receive(reply)
	if err != nil {
		return nil, err
	}
	for _, b := range parts {
		s.Offer(Head{}, b)
	}
	c := s.Current()
	switch {
	case r.digest == c.digest:
		return nil, nil
	case r.unusable:
		return wholeWanted(c), nil
	}
	if base := s.base(r); base != nil && !r.whole {
		return deltaFor(base, c), nil
	}
	return stateOf(c), nil
}

func wholeWanted(c *Snapshot) []byte {
	return mustMarshal(message{Digest: c.digest, Whole: true})
}

// received is what a message told.
type received struct {
	digest string
	// state is what the peer has, or nil when the message does not hold it.
	state *past
	whole bool
	// unusable says that the message's delta could not be applied.
	unusable bool
}

// base returns what the peer has, or nil when it is not known here.
func (s *Store) base(r received) *past {
	if r.state != nil {
		return r.state
	}
	return s.recall(r.digest)
}

// receive reads a message and joins its state.
func (s *Store) receive(b []byte) (received, error) {
	if len(b) > maxMessage {
		return received{}, fmt.Errorf("%w: %d bytes", ErrTooLarge, len(b))
	}
	var m message
	if err := strictUnmarshal(b, &m); err != nil {
		return received{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	r := received{digest: m.Digest, whole: m.Whole}
	if m.Head == nil && m.Delta == nil {
		return r, nil
	}
	holds, err := holdsFromJSON(m.Holds)
	if err != nil {
		return received{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if m.Head == nil {
		r.state = s.applied(m, holds)
		r.unusable = r.state == nil
	} else {
		h, err := DecodeHead(m.Head)
		if err != nil {
			return received{}, err
		}
		r.state = &past{digest: m.Digest, head: h, holds: holds}
	}
	if r.state != nil {
		s.join(r.state.head, holds, nil)
	}
	return r, nil
}

// applied returns the peer's state by a message's delta, or nil when the base
// is not known here any more or the outcome is not what the peer has.
func (s *Store) applied(m message, holds []Hold) *past {
	base := s.recall(m.Base)
	if base == nil {
		return nil
	}
	h, err := m.Delta.apply(base.head)
	if err != nil || digestOfState(h, holds) != m.Digest {
		return nil
	}
	return &past{digest: m.Digest, head: h, holds: holds}
}

func partsOf(c *Snapshot, want []string) map[string][]byte {
	parts := make(map[string][]byte)
	size := 0
	for _, d := range want {
		b, ok := c.parts[d]
		if !ok || size+len(b) > maxReplyParts {
			continue
		}
		parts[d] = b
		size += len(b)
	}
	return parts
}
