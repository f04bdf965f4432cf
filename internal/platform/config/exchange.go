package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
)

// maxMessageBytes is the maximum size of an exchange message in bytes.
const maxMessageBytes = MaxHeadBytes + maxHolds*1<<10

// maxReplyPartBytes limits the total size in bytes of the parts in one reply, to
// stay below the message size that peers accept. The peer requests the
// remaining parts with its next message.
const maxReplyPartBytes = 2 * MaxPartBytes

// message is sent between peers. It always contains the digest of the sender's
// state. If the receiver lacks something, it also contains the holds and either
// a delta, when the receiver's state is known, or the whole document. While
// both peers agree, only the digest is sent, which keeps anti-entropy at about
// a hundred bytes a round.
type message struct {
	Digest string          `json:"digest"`
	Head   json.RawMessage `json:"head,omitempty"`
	Holds  []holdJSON      `json:"holds,omitempty"`
	// Base is the digest of the state to which Delta applies.
	Base  string     `json:"base,omitempty"`
	Delta *deltaJSON `json:"delta,omitempty"`
	// Whole requests the whole document, because a delta could not be applied.
	Whole bool `json:"whole,omitempty"`
}

// DigestMessage returns the message that starts an exchange, which must not be
// modified. It is encoded once per change of the configuration.
func (s *Store) DigestMessage() []byte { return s.Current().digestMessage }

// FullMessage returns a message with the whole document and all holds.
func (s *Store) FullMessage() []byte { return fullMessage(s.Current()) }

func fullMessage(c *Snapshot) []byte {
	return mustMarshal(message{
		Digest: c.digest,
		Head:   c.head.Encode(),
		Holds:  holdsToJSON(c.holds),
	})
}

// deltaMessage returns the message for a peer whose state is base.
func deltaMessage(base *state, c *Snapshot) []byte {
	return mustMarshal(message{
		Digest: c.digest,
		Holds:  holdsToJSON(c.holds),
		Base:   base.digest,
		Delta:  newDelta(base.head, c.head),
	})
}

// snapshotDigest returns the digest of the snapshot's head and holds.
func snapshotDigest(c *Snapshot) string { return stateDigest(c.head, c.holds) }

func stateDigest(head Head, holds []Hold) string {
	h := sha256.New()
	h.Write(head.Encode())
	h.Write(mustMarshal(holdsToJSON(holds)))
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// HandleMessage processes a peer's message. It joins the peer's state into the
// store and returns the reply and those wanted parts that are known, up to
// maxReplyPartBytes. For a message that cannot be decoded the error wraps
// ErrMalformed or ErrTooLarge.
func (s *Store) HandleMessage(msg []byte, want []string) ([]byte, map[string][]byte, error) {
	r, err := s.receive(msg)
	if err != nil {
		return nil, nil, err
	}
	c := s.Current()
	parts := selectParts(c, want)
	switch {
	case r.digest == c.digest:
		return c.digestMessage, parts, nil
	case r.wholeRequested:
		return fullMessage(c), parts, nil
	case r.deltaRejected:
		return wholeRequest(c), parts, nil
	}
	if base := s.peerState(r); base != nil {
		return deltaMessage(base, c), parts, nil
	}
	// The peer's state is unknown here. The peer replies with a delta if it
	// knows the state with this digest, or else with its whole document.
	return c.digestMessage, parts, nil
}

// HandleReply processes a peer's reply to DigestMessage, FullMessage or an
// earlier result of HandleReply. It returns the message to send next, or nil if
// the exchange is complete. The errors are those of HandleMessage.
func (s *Store) HandleReply(reply []byte, parts map[string][]byte) ([]byte, error) {
	r, err := s.receive(reply)
	if err != nil {
		return nil, err
	}
	for _, b := range parts {
		s.Merge(Head{}, b)
	}
	c := s.Current()
	switch {
	case r.digest == c.digest:
		return nil, nil
	case r.deltaRejected:
		return wholeRequest(c), nil
	}
	if base := s.peerState(r); base != nil && !r.wholeRequested {
		return deltaMessage(base, c), nil
	}
	return fullMessage(c), nil
}

func wholeRequest(c *Snapshot) []byte {
	return mustMarshal(message{Digest: c.digest, Whole: true})
}

// receivedMessage is the decoded content of a message.
type receivedMessage struct {
	digest string
	// state is the peer's state, or nil if the message does not contain it.
	state          *state
	wholeRequested bool
	// deltaRejected reports that the delta of the message could not be applied.
	deltaRejected bool
}

// peerState returns the peer's state, or nil if it is not known.
func (s *Store) peerState(r receivedMessage) *state {
	if r.state != nil {
		return r.state
	}
	return s.findState(r.digest)
}

// receive decodes a message and joins the peer's state into the store.
func (s *Store) receive(b []byte) (receivedMessage, error) {
	if len(b) > maxMessageBytes {
		return receivedMessage{}, fmt.Errorf("%w: %d bytes", ErrTooLarge, len(b))
	}
	var m message
	if err := strictUnmarshal(b, &m); err != nil {
		return receivedMessage{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	r := receivedMessage{digest: m.Digest, wholeRequested: m.Whole}
	if m.Head == nil && m.Delta == nil {
		return r, nil
	}
	holds, err := holdsFromJSON(m.Holds)
	if err != nil {
		return receivedMessage{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if m.Head == nil {
		r.state = s.applyDelta(m, holds)
		r.deltaRejected = r.state == nil
	} else {
		h, err := DecodeHead(m.Head)
		if err != nil {
			return receivedMessage{}, err
		}
		r.state = &state{digest: m.Digest, head: h, holds: holds}
	}
	if r.state != nil {
		s.join(r.state.head, holds, nil)
	}
	return r, nil
}

// applyDelta returns the peer's state that results from the delta of a message.
// It returns nil if the base is not in the history or the result does not match
// the digest of the message.
func (s *Store) applyDelta(m message, holds []Hold) *state {
	base := s.findState(m.Base)
	if base == nil {
		return nil
	}
	h, err := m.Delta.apply(base.head)
	if err != nil || stateDigest(h, holds) != m.Digest {
		return nil
	}
	return &state{digest: m.Digest, head: h, holds: holds}
}

// selectParts returns the wanted parts that are known, up to maxReplyPartBytes.
func selectParts(c *Snapshot, want []string) map[string][]byte {
	parts := make(map[string][]byte)
	size := 0
	for _, d := range want {
		b, ok := c.parts[d]
		if !ok || size+len(b) > maxReplyPartBytes {
			continue
		}
		parts[d] = b
		size += len(b)
	}
	return parts
}
