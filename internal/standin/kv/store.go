package kv

import (
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/hyssoprelay/hyssoprelay/internal/platform/etcdpb"
)

// lease is a lease with its end and keys.
type lease struct {
	ttl time.Duration
	end time.Time
}

// change is what one revision did.
type change struct {
	revision int64
	events   []*etcdpb.Event
}

// store holds the keys. It is not safe for concurrent use.
type store struct {
	revision  int64
	compacted int64
	keys      map[string]*etcdpb.KeyValue
	leases    map[int64]lease
	nextLease int64
	history   []change
	keep      int
}

func newStore(keep int) *store {
	return &store{
		revision: 1,
		keys:     make(map[string]*etcdpb.KeyValue),
		leases:   make(map[int64]lease),
		keep:     keep,
	}
}

// copy returns a deep copy.
func (s *store) copy() *store {
	c := *s
	c.keys = make(map[string]*etcdpb.KeyValue, len(s.keys))
	for k, kv := range s.keys {
		c.keys[k] = proto.CloneOf(kv)
	}
	c.leases = make(map[int64]lease, len(s.leases))
	for id, l := range s.leases {
		c.leases[id] = l
	}
	c.history = append([]change(nil), s.history...)
	return &c
}

// record closes a revision.
func (s *store) record(events []*etcdpb.Event) {
	if len(events) == 0 {
		return
	}
	s.revision++
	s.history = append(s.history, change{revision: s.revision, events: events})
	if s.keep > 0 && len(s.history) > s.keep {
		s.compact(s.history[len(s.history)-s.keep].revision)
	}
}

// compact forgets the changes before the revision.
func (s *store) compact(revision int64) {
	n := sort.Search(len(s.history), func(i int) bool { return s.history[i].revision >= revision })
	s.history = s.history[n:]
	s.compacted = max(s.compacted, revision)
}

// since returns the changes from the revision on.
func (s *store) since(revision int64) []change {
	n := sort.Search(len(s.history), func(i int) bool { return s.history[i].revision >= revision })
	return s.history[n:]
}

// expire ends the leases whose time has come.
func (s *store) expire(now time.Time) {
	var events []*etcdpb.Event
	for id, l := range s.leases {
		if !l.end.After(now) {
			events = append(events, s.dropLease(id)...)
		}
	}
	s.record(events)
}

// lapse takes d from the time that each lease has left.
func (s *store) lapse(d time.Duration) {
	for id, l := range s.leases {
		l.end = l.end.Add(-d)
		s.leases[id] = l
	}
}

func (s *store) dropLease(id int64) []*etcdpb.Event {
	delete(s.leases, id)
	var events []*etcdpb.Event
	for k, kv := range s.keys {
		if kv.GetLease() == id {
			events = append(events, s.remove(k))
		}
	}
	return events
}

// remove deletes a key at the revision that is being made.
func (s *store) remove(k string) *etcdpb.Event {
	delete(s.keys, k)
	kv := &etcdpb.KeyValue{Key: []byte(k), ModRevision: s.revision + 1}
	return &etcdpb.Event{Type: etcdpb.Event_DELETE, Kv: kv}
}

// put writes a key at the revision that is being made.
func (s *store) put(p *etcdpb.PutRequest) *etcdpb.Event {
	k := string(p.GetKey())
	kv := &etcdpb.KeyValue{
		Key:            p.GetKey(),
		Value:          p.GetValue(),
		Lease:          p.GetLease(),
		CreateRevision: s.revision + 1,
		ModRevision:    s.revision + 1,
		Version:        1,
	}
	if old, ok := s.keys[k]; ok {
		kv.CreateRevision = old.GetCreateRevision()
		kv.Version = old.GetVersion() + 1
	}
	s.keys[k] = kv
	return &etcdpb.Event{Type: etcdpb.Event_PUT, Kv: kv}
}

// match returns the keys that a key and range end name, in order.
func (s *store) match(key, end []byte) []string {
	if len(end) == 0 {
		if _, ok := s.keys[string(key)]; ok {
			return []string{string(key)}
		}
		return nil
	}
	var ks []string
	for k := range s.keys {
		if inRange(k, key, end) {
			ks = append(ks, k)
		}
	}
	sort.Strings(ks)
	return ks
}

// inRange follows the protocol: no end is the key alone, an end of one zero
// byte is everything from the key on.
func inRange(k string, key, end []byte) bool {
	if len(end) == 0 {
		return k == string(key)
	}
	if k < string(key) {
		return false
	}
	return len(end) == 1 && end[0] == 0 || k < string(end)
}

func (s *store) header() *etcdpb.ResponseHeader {
	return &etcdpb.ResponseHeader{Revision: s.revision}
}

func (s *store) read(r *etcdpb.RangeRequest) *etcdpb.RangeResponse {
	ks := s.match(r.GetKey(), r.GetRangeEnd())
	p := &etcdpb.RangeResponse{Header: s.header(), Count: int64(len(ks))}
	for _, k := range ks {
		if r.GetLimit() > 0 && int64(len(p.GetKvs())) == r.GetLimit() {
			p.More = true
			break
		}
		p.Kvs = append(p.Kvs, s.keys[k])
	}
	return p
}
