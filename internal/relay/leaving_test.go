package relay

import (
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/directory"
	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/placement"
	"github.com/hyssoprelay/hyssoprelay/internal/routing"
)

// Guards against requests on any path to an endpoint that has said in an answer that it is leaving,
// while its entry in the store, which may be out of reach, says that it is ready.
func TestLeavingEndpointIsAssignedNothing(t *testing.T) {
	for name, meanwhile := range map[string]func(st *State){
		"nothing else is heard":     func(*State) {},
		"its entry is read again":   func(st *State) { listEndpoints(st, 3, "quotes") },
		"its entry lapses for long": func(st *State) { lapse(st, start.Add(time.Minute)) },
		"its data centre is out":    func(st *State) { takeOutAndBack(st, start) },
	} {
		t.Run(name, func(t *testing.T) {
			wantUnusedOnEachPath(t, start.Add(2*time.Minute), func(st *State) {
				st.RecordLeaving(assignedTo(unavailableEndpoint), start)
				meanwhile(st)
			})
		})
	}
}

// lapse removes the entries of all endpoints and lists them again.
func lapse(st *State, now time.Time) {
	st.UpdateDirectory(func(d *directory.Directory) { d.ApplyListing(nil, now) })
	refresh(st, now)
	listEndpoints(st, 3, "quotes")
	refresh(st, now)
}

// takeOutAndBack takes the data centre of all endpoints out of service and puts it back.
func takeOutAndBack(st *State, now time.Time) {
	for _, out := range []bool{true, false} {
		st.UpdateDirectory(func(d *directory.Directory) { d.SetOutOfService("a", out, now) })
		refresh(st, now)
	}
}

// refresh applies the changes of the directory at once.
func refresh(st *State, now time.Time) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.refresh(now)
}

// An endpoint that was leaving starts again under its ID. Guards against an instance that gets no
// requests for its predecessor's shutdown.
func TestRestartedEndpointIsNotLeaving(t *testing.T) {
	s := &routing.Service{Name: "quotes"}
	st := newState("me", s)
	listEndpoints(st, 1, s.Name)
	st.RecordLeaving(assignedTo("e0"), start)
	if n := st.Endpoints(start); n != 0 {
		t.Fatalf("%d endpoints are left", n)
	}
	st.UpdateDirectory(func(d *directory.Directory) {
		d.Put(directory.Entry{ID: "e0", StartMillis: 2, Service: s.Name, Address: "10.0.0.0:1", DataCentre: "a", Slots: 12}, start)
	})
	if _, e := st.Choose(s, placement.Query{}, start); e != nil {
		t.Fatal(e)
	}
}
