package document

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

const (
	// lineRate is the line of an entry in bytes a second, and linePart what copies
	// may take of it.
	lineRate = 40e6 / 8
	linePart = 0.5
	// wayTime is the time between two entries, and againAfter the pause of one that
	// was named an entry which has no copy yet.
	wayTime    = time.Millisecond
	againAfter = 50 * time.Millisecond
	tick       = time.Millisecond
	// urgentBytes is the size of what tells of an endpoint that leaves.
	urgentBytes = 400
)

// node is an entry of the model. Its line sends in the order in which it is given.
type node struct {
	holder Holder
	pace   Pace
	sender Sender
	// sent is when its line has sent all that it was given.
	sent time.Time
	// asks is when it asks next, and whom; it holds the newest from has on.
	asks time.Time
	whom int
	has  time.Time
}

// send gives the line so many bytes at a time and returns when they are through.
func (n *node) send(bytes int, at time.Time) time.Time {
	if n.sent.Before(at) {
		n.sent = at
	}
	n.sent = n.sent.Add(time.Duration(float64(bytes) / lineRate * float64(time.Second)))
	return n.sent
}

// model is a data centre whose first entry hears of a new version.
type model struct {
	nodes []*node
	now   time.Time
}

// newModel returns entries which hold the version base, unless it is nil, of which the
// first has heard of value.
func newModel(entries int, base, value []byte) *model {
	m := &model{now: time.Unix(1000, 0)}
	for i := range entries {
		n := &node{pace: Pace{BytesPerSecond: linePart * lineRate}, asks: m.now}
		n.sender = Sender{Holder: &n.holder, Pace: &n.pace}
		if base != nil {
			n.holder.Put(Version{Revision: 1, Value: base})
		}
		if i == 0 {
			n.holder.Put(Version{Revision: 2, Value: value})
			n.has = m.now
		}
		m.nodes = append(m.nodes, n)
	}
	return m
}

// step lets all who lack the new version ask for it.
func (m *model) step(t *testing.T) {
	t.Helper()
	for i, n := range m.nodes {
		if !n.has.IsZero() || n.asks.After(m.now) {
			continue
		}
		from := m.nodes[n.whom]
		if from.has.IsZero() || from.has.After(m.now) {
			n.whom, n.asks = 0, m.now.Add(againAfter)
			continue
		}
		a, err := from.sender.Ask(fmt.Sprint(i), n.holder.Newest().Revision, m.now)
		if err != nil {
			t.Fatal(err)
		}
		switch a := a.(type) {
		case Copy:
			n.has = from.send(len(a.Packed.Bytes), m.now.Add(a.After)).Add(wayTime)
			n.holder.Put(Version{Revision: 2, Value: m.nodes[0].holder.Newest().Value})
		case Elsewhere:
			if _, err := fmt.Sscan(a.Address, &n.whom); err != nil {
				t.Fatal(err)
			}
			n.asks = m.now.Add(2 * wayTime)
		}
	}
	m.now = m.now.Add(tick)
}

// run returns when the last entry holds the new version, and how long the slowest
// urgent word took that the first entry sent to all each tenth of a second.
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
		if n.has.IsZero() {
			t.Fatal("an entry has no copy")
		}
		last = max(last, n.has.Sub(began))
	}
	return last, urgent
}

// A configuration grows while endpoints leave, and all entries of a data centre hear of
// both over the line of one. Guards against a leaving that is known seconds later, and
// against a configuration that isn't in force in time at the last entry.
func TestUrgentWordPassesALargeValue(t *testing.T) {
	const (
		mostUrgent = 150 * time.Millisecond
		mostLast   = 1500 * time.Millisecond
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
				t.Logf("%d routes, %d entries, grows %v: last copy after %v, slowest urgent word %v", routes, entries, grows, last, urgent)
				if last > mostLast || urgent > mostUrgent {
					t.Errorf("%d routes, %d entries: last copy after %v, urgent word after %v", routes, entries, last, urgent)
				}
			}
		}
	}
}

// Guards against an entry that names others for ever, or one that isn't there.
func TestWhoWouldWaitIsSentToOneThatHasIt(t *testing.T) {
	now := time.Unix(1000, 0)
	h := &Holder{}
	h.Put(Version{Revision: 1, Value: document(1500, 1)})
	s := &Sender{Holder: h, Pace: &Pace{BytesPerSecond: 100e3}}
	ask := func(asker string) Answer {
		a, err := s.Ask(asker, 0, now)
		if err != nil {
			t.Fatal(err)
		}
		return a
	}
	if _, ok := ask("a").(Copy); !ok {
		t.Fatal("the first is sent away")
	}
	named := []string{}
	for range 4 {
		if e, ok := ask("b").(Elsewhere); ok {
			named = append(named, e.Address)
		}
	}
	if !slices.Equal(named, []string{"a", "a", "a", "a"}) {
		t.Errorf("named %v", named)
	}
	now = now.Add(time.Minute)
	if _, ok := ask("b").(Copy); !ok {
		t.Error("sent away though the line is free")
	}
	h.Put(Version{Revision: 2, Value: document(1500, 2)})
	if _, ok := ask("c").(Copy); !ok {
		t.Error("sent to one that has the version before")
	}
}
