package document

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

const (
	// linkRate is the bandwidth of an entry's link in bytes per second, and
	// linkFraction the fraction of it that is available to copies.
	linkRate     = 40e6 / 8
	linkFraction = 0.5
	// hopLatency is the latency between two entries, and retryDelay the delay after
	// which an entry retries if the one that it was redirected to has no copy yet.
	hopLatency = time.Millisecond
	retryDelay = 50 * time.Millisecond
	tick       = time.Millisecond
	// urgentBytes is the size of a message that reports the removal of an endpoint.
	urgentBytes = 400
)

// node is an entry of the model. Its link sends messages in the order of the calls of
// send.
type node struct {
	versions Versions
	pacer    Pacer
	sender   Sender
	// linkFreeAt is the end of the transmission of all messages so far.
	linkFreeAt time.Time
	// nextRequest is the time of the next request, source the index of the node that
	// it goes to, and heldFrom the time from which this node holds the new version.
	nextRequest time.Time
	source      int
	heldFrom    time.Time
}

// send queues a number of bytes at a time and returns the end of their transmission.
func (n *node) send(bytes int, at time.Time) time.Time {
	if n.linkFreeAt.Before(at) {
		n.linkFreeAt = at
	}
	n.linkFreeAt = n.linkFreeAt.Add(time.Duration(float64(bytes) / linkRate * float64(time.Second)))
	return n.linkFreeAt
}

// model is a data centre whose first entry receives a new version.
type model struct {
	nodes []*node
	now   time.Time
}

// newModel returns a model of entries that hold the version base, unless it is nil. The
// first one also holds the new version value.
func newModel(entries int, base, value []byte) *model {
	m := &model{now: time.Unix(1000, 0)}
	for i := range entries {
		n := &node{pacer: Pacer{BytesPerSecond: linkFraction * linkRate}, nextRequest: m.now}
		n.sender = Sender{Versions: &n.versions, Pacer: &n.pacer}
		if base != nil {
			n.versions.Put(Version{Revision: 1, Value: base})
		}
		if i == 0 {
			n.versions.Put(Version{Revision: 2, Value: value})
			n.heldFrom = m.now
		}
		m.nodes = append(m.nodes, n)
	}
	return m
}

// step lets each entry that doesn't have the new version request it if its nextRequest
// has come, and advances the clock by a tick.
func (m *model) step(t *testing.T) {
	t.Helper()
	for i, n := range m.nodes {
		if !n.heldFrom.IsZero() || n.nextRequest.After(m.now) {
			continue
		}
		from := m.nodes[n.source]
		if from.heldFrom.IsZero() || from.heldFrom.After(m.now) {
			n.source, n.nextRequest = 0, m.now.Add(retryDelay)
			continue
		}
		resp, err := from.sender.Answer(fmt.Sprint(i), n.versions.Newest().Revision, m.now)
		if err != nil {
			t.Fatal(err)
		}
		switch resp := resp.(type) {
		case Copy:
			n.heldFrom = from.send(len(resp.Encoded.Bytes), m.now.Add(resp.Delay)).Add(hopLatency)
			n.versions.Put(Version{Revision: 2, Value: m.nodes[0].versions.Newest().Value})
		case Redirect:
			if _, err := fmt.Sscan(resp.Address, &n.source); err != nil {
				t.Fatal(err)
			}
			n.nextRequest = m.now.Add(2 * hopLatency)
		}
	}
	m.now = m.now.Add(tick)
}

// run simulates 10 s. It returns the time until the last entry holds the new version,
// and the longest transmission delay of the urgent messages that the first entry sends
// to all others every 100 ms.
func (m *model) run(t *testing.T) (last, urgent time.Duration) {
	t.Helper()
	began := m.now
	for m.now.Sub(began) < 10*time.Second {
		if m.now.Sub(began)%(100*time.Millisecond) == 0 {
			for range m.nodes[1:] {
				urgent = max(urgent, m.nodes[0].send(urgentBytes, m.now).Sub(m.now))
			}
		}
		m.step(t)
	}
	for _, n := range m.nodes {
		if n.heldFrom.IsZero() {
			t.Fatal("an entry has no copy")
		}
		last = max(last, n.heldFrom.Sub(began))
	}
	return last, urgent
}

// A configuration grows while endpoints are removed, and all entries of a data centre
// receive the configuration and the removals over the link of one entry. Guards against a
// removal that is known seconds late, and against a configuration that reaches the last
// entry too late.
func TestCopiesDoNotDelayUrgentMessages(t *testing.T) {
	const (
		maxUrgent = 150 * time.Millisecond
		maxLast   = 1500 * time.Millisecond
	)
	for _, routes := range []int{1500, 15000} {
		for _, entries := range []int{3, 12, 60, 150} {
			for _, grows := range []bool{false, true} {
				base := document(routes, 1)
				if grows {
					base = document(240, 1)
				}
				m := newModel(entries, base, document(routes, routes/2))
				last, urgent := m.run(t)
				t.Logf("%d routes, %d entries, grows %v: last copy after %v, slowest urgent message %v", routes, entries, grows, last, urgent)
				if last > maxLast || urgent > maxUrgent {
					t.Errorf("%d routes, %d entries: last copy after %v, slowest urgent message %v", routes, entries, last, urgent)
				}
			}
		}
	}
}

// Guards against a sender that redirects although its link is free, or to a process that
// has no copy of the newest version.
func TestSenderRedirectsInsteadOfQueueing(t *testing.T) {
	now := time.Unix(1000, 0)
	vs := &Versions{}
	vs.Put(Version{Revision: 1, Value: document(1500, 1)})
	s := &Sender{Versions: vs, Pacer: &Pacer{BytesPerSecond: 100e3}}
	request := func(addr string) Response {
		resp, err := s.Answer(addr, 0, now)
		if err != nil {
			t.Fatal(err)
		}
		return resp
	}
	if _, ok := request("a").(Copy); !ok {
		t.Fatal("the first request is redirected")
	}
	redirects := []string{}
	for range 4 {
		if r, ok := request("b").(Redirect); ok {
			redirects = append(redirects, r.Address)
		}
	}
	if !slices.Equal(redirects, []string{"a", "a", "a", "a"}) {
		t.Errorf("named %v", redirects)
	}
	now = now.Add(time.Minute)
	if _, ok := request("b").(Copy); !ok {
		t.Error("redirected though the link is free")
	}
	vs.Put(Version{Revision: 2, Value: document(1500, 2)})
	if _, ok := request("c").(Copy); !ok {
		t.Error("redirected to a process that has the previous version")
	}
}
