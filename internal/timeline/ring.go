package timeline

import (
	"sync"
	"time"
)

// Kind names what happened.
type Kind string

// The kinds of events.
const (
	Admitted          Kind = "admitted"
	Placed            Kind = "placed"
	Accepted          Kind = "accepted"
	Claimed           Kind = "claimed"
	Dispatched        Kind = "dispatched"
	FirstPiece        Kind = "firstPiece"
	PieceLost         Kind = "pieceLost"
	Retried           Kind = "retried"
	Refused           Kind = "refused"
	Answered          Kind = "answered"
	Failed            Kind = "failed"
	CancelledByCaller Kind = "cancelled"
	Fetched           Kind = "fetched"
	EndpointCold      Kind = "endpointCold"
	LeaseTaken        Kind = "leaseTaken"
	LeaseLost         Kind = "leaseLost"
	MapStaged         Kind = "mapStaged"
	MapNamed          Kind = "mapNamed"
	GenerationApplied Kind = "generationApplied"
	PeerJoined        Kind = "peerJoined"
	PeerLost          Kind = "peerLost"
	Leaving           Kind = "leaving"
)

// Event is one entry of a time line.
type Event struct {
	stamp     Stamp
	kind      Kind
	requestID string
	endpoint  string
	detail    string
	number    uint64
}

// NewEvent returns an event. The request id, the endpoint and the detail may
// be empty; the meaning of number depends on the kind, such as a generation,
// an attempt or a result code.
func NewEvent(s Stamp, k Kind, requestID, endpoint, detail string, number uint64) Event {
	return Event{stamp: s, kind: k, requestID: requestID, endpoint: endpoint, detail: detail, number: number}
}

// Stamp returns when the event happened.
func (e Event) Stamp() Stamp { return e.stamp }

// Kind returns what happened.
func (e Event) Kind() Kind { return e.kind }

// RequestID returns the request concerned, or "".
func (e Event) RequestID() string { return e.requestID }

// Endpoint returns the endpoint concerned, or "".
func (e Event) Endpoint() string { return e.endpoint }

// Detail returns a short text, or "".
func (e Event) Detail() string { return e.detail }

// Number returns the event's number, whose meaning depends on the kind.
func (e Event) Number() uint64 { return e.number }

// DefaultCapacity is how many events a ring keeps when its Capacity is zero:
// at some 150 bytes an event it takes 1.2 MB, well inside a node's 32 MB.
const DefaultCapacity = 8192

// Ring keeps the newest events of one process. Set the exported fields before
// the first use. It may be used by several goroutines.
type Ring struct {
	// Clock stamps the events. It must not be nil.
	Clock *Clock
	// Capacity is how many events are kept; zero means DefaultCapacity.
	Capacity int

	mu     sync.Mutex
	events []Event
	next   int
}

// Add records an event at time now, in place of the oldest when the ring is
// full.
func (r *Ring) Add(k Kind, requestID, endpoint, detail string, number uint64, now time.Time) {
	s := r.Clock.Next(now)
	r.mu.Lock()
	defer r.mu.Unlock()
	e := NewEvent(s, k, requestID, endpoint, detail, number)
	if len(r.events) < r.capacity() {
		r.events = append(r.events, e)
		return
	}
	r.events[r.next] = e
	r.next = (r.next + 1) % len(r.events)
}

func (r *Ring) capacity() int {
	if r.Capacity > 0 {
		return r.Capacity
	}
	return DefaultCapacity
}

// Filter selects events. Empty fields select all.
type Filter struct {
	RequestID string
	Endpoint  string
	Kind      Kind
	Since     Stamp
}

// Matches reports whether the filter selects e.
func (f Filter) Matches(e Event) bool {
	if f.RequestID != "" && f.RequestID != e.requestID {
		return false
	}
	if f.Endpoint != "" && f.Endpoint != e.endpoint {
		return false
	}
	if f.Kind != "" && f.Kind != e.kind {
		return false
	}
	return e.stamp >= f.Since
}

// Select returns the kept events that f selects, oldest first.
func (r *Ring) Select(f Filter) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var es []Event
	for i := range r.events {
		e := r.events[(r.next+i)%len(r.events)]
		if f.Matches(e) {
			es = append(es, e)
		}
	}
	return es
}
