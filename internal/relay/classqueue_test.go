package relay

import (
	"fmt"
	"testing"

	"github.com/hyssoprelay/hyssoprelay/internal/directory"
	"github.com/hyssoprelay/hyssoprelay/internal/routing"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// submitClass submits a request of a class and reports whether it waits.
func submitClass(m *loadModel, id string, class routing.Class) (*waiter, bool) {
	w := &waiter{done: make(chan *result.Error, 1), req: newAdmitRequest(id, m.table.Service("quotes"), start)}
	w.req.Class, w.req.AbandonAt, w.req.Wait = class, start.Add(loadPatience), &Wait{}
	waits, _ := m.st.submit(w, start)
	return w, waits
}

// An entry starts during a burst: its slots are taken at once, and it has measured no drain rate.
// Guards against the refusal of an urgent request because less urgent ones fill the queue, and
// against a displaced request of which the log doesn't say why.
func TestEntryThatStartsInABurstServesUrgentRequests(t *testing.T) {
	m := newLoadModel(true, 1)
	running := takeAllSlots(t, m.st, m.table.Service("quotes"), start)
	var others []*waiter
	for i := range 2 * maxWaiting {
		if w, waits := submitClass(m, fmt.Sprint("other", i), routing.Class(1+i%5)); waits {
			others = append(others, w)
		}
	}
	if n := queued(m.st); n != maxWaiting {
		t.Fatalf("%d requests wait, want %d", n, maxWaiting)
	}
	urgent, waits := submitClass(m, "urgent", 0)
	if !waits {
		t.Fatal("the urgent request was refused")
	}
	m.st.Release(running[0], Delivered{}, start)
	if len(urgent.done) != 1 || urgent.refusal != nil {
		t.Error("the free slot was not given to the urgent request")
	}
	byUrgent := 0
	for _, w := range others {
		if w.refusal == nil {
			continue
		}
		if w.refusal.Code() != result.Displaced || !w.req.Wait.displaced || w.refusal.RetryAfter() <= 0 {
			t.Errorf("class %d ended with %v", w.req.Class, w.refusal)
		}
		if w.req.Wait.displacedBy == 0 {
			byUrgent++
		}
	}
	if byUrgent != 1 {
		t.Errorf("%d requests were displaced by the urgent one, want 1", byUrgent)
	}
}

// Orders fill the queue of an entry. Guards against a service that is kept out of the queue.
func TestServiceIsNotKeptOutOfTheQueue(t *testing.T) {
	m := newLoadModel(true, 1)
	orders := &routing.Service{Name: "orders"}
	routes := append([]*routing.Route{{Name: "orders", Host: "h", Prefix: "/orders", Splits: []routing.Split{{Service: "orders", Weight: 1}}}}, m.routes...)
	m.st.SetTable(routing.NewTable(3, routes, []*routing.Service{m.table.Service("quotes"), orders}, loadAccountKeys(), routing.Limits{}), start)
	m.st.UpdateDirectory(func(d *directory.Directory) {
		d.Put(directory.Entry{ID: "o0", StartMillis: 1, Service: "orders", Address: "10.0.1.0:1", DataCentre: "a", Slots: 1}, start)
	})
	takeAllSlots(t, m.st, m.table.Service("quotes"), start)
	takeAllSlots(t, m.st, orders, start)
	waiting := func(s *routing.Service, n int) (held int) {
		for i := range n {
			w := &waiter{done: make(chan *result.Error, 1), req: newAdmitRequest(fmt.Sprint(s.Name, i), s, start)}
			if waits, _ := m.st.submit(w, start); waits {
				held++
			}
		}
		return held
	}
	waiting(orders, 3*maxWaiting)
	if held := waiting(m.table.Service("quotes"), maxWaiting/2); held != maxWaiting/2 || queued(m.st) != maxWaiting {
		t.Errorf("%d of %d requests got a place in a queue full of orders", held, maxWaiting/2)
	}
}
