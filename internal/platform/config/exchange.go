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

// message is what peers send each other: always the digest of what they know,
// and the document with the holds when the other side may lack it. Sending the
// digest alone while both agree keeps anti-entropy at about a hundred bytes a
// round instead of the whole document.
type message struct {
	Digest string          `json:"digest"`
	Head   json.RawMessage `json:"head,omitempty"`
	Holds  []holdJSON      `json:"holds,omitempty"`
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

// digestOf names the knowledge of a snapshot without its parts.
func digestOf(c *Snapshot) string {
	h := sha256.New()
	h.Write(c.head.Encode())
	h.Write(mustMarshal(holdsToJSON(c.holds)))
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// Exchange answers a peer's message: it takes in what the message holds and
// returns a message for the peer and the parts that it wants and that are known
// here. The error, for a message that can't be read, wraps ErrMalformed or
// ErrTooLarge.
func (s *Store) Exchange(msg []byte, want []string) ([]byte, map[string][]byte, error) {
	m, err := s.receive(msg)
	if err != nil {
		return nil, nil, err
	}
	c := s.Current()
	parts := partsOf(c, want)
	if m.Digest == c.digest {
		return c.summary, parts, nil
	}
	return stateOf(c), parts, nil
}

// Finish takes in a peer's reply to Summary or State. When the peer lacks
// something it returns the message to send next, else nil.
func (s *Store) Finish(reply []byte, parts map[string][]byte) ([]byte, error) {
	m, err := s.receive(reply)
	if err != nil {
		return nil, err
	}
	for _, b := range parts {
		s.Offer(Head{}, b)
	}
	if c := s.Current(); m.Digest != c.digest {
		return stateOf(c), nil
	}
	return nil, nil
}

// receive reads a message and joins its state.
func (s *Store) receive(b []byte) (message, error) {
	if len(b) > maxMessage {
		return message{}, fmt.Errorf("%w: %d bytes", ErrTooLarge, len(b))
	}
	var m message
	if err := strictUnmarshal(b, &m); err != nil {
		return message{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if m.Head == nil {
		return m, nil
	}
	h, err := DecodeHead(m.Head)
	if err != nil {
		return message{}, err
	}
	holds, err := holdsFromJSON(m.Holds)
	if err != nil {
		return message{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	s.join(h, holds, nil)
	return m, nil
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
