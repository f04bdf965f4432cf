package relay

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/directory"
	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/placement"
	"github.com/hyssoprelay/hyssoprelay/internal/routing"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// unavailableEndpoint is the endpoint that must get no requests in tests with several endpoints.
const unavailableEndpoint = "e1"

// assignedTo returns an assignment to an endpoint, as made at start.
func assignedTo(id string) Assignment {
	ep := directory.Endpoint{Entry: directory.Entry{ID: id, StartMillis: 1, Service: "quotes"}}
	return Assignment{Endpoint: ep, assignedAt: start}
}

// assignmentPaths are the ways in which a request is assigned to an endpoint. Each assigns some
// requests at now and returns the IDs of their endpoints.
var assignmentPaths = map[string]func(t *testing.T, st *State, s *routing.Service, now time.Time) []string{
	"a first attempt": func(t *testing.T, st *State, s *routing.Service, now time.Time) []string {
		return admitSome(t, st, s, now, func(i int) string { return fmt.Sprint("first", i) })
	},
	"an attempt without an ID": func(t *testing.T, st *State, s *routing.Service, now time.Time) []string {
		return admitSome(t, st, s, now, func(int) string { return "" })
	},
	"a further attempt": func(t *testing.T, st *State, s *routing.Service, now time.Time) []string {
		return chooseSome(t, st, s, placement.Query{}, now)
	},
	"a further attempt that must run once": func(t *testing.T, st *State, s *routing.Service, now time.Time) []string {
		return chooseSome(t, st, s, placement.Query{RunOnce: true}, now)
	},
	"a request that waited": func(t *testing.T, st *State, s *routing.Service, now time.Time) []string {
		full := takeAllSlots(t, st, s, now)
		w := &waiter{req: newAdmitRequest("waits", s, now), done: make(chan *result.Error, 1)}
		if waits, e := st.submit(w, now); !waits {
			t.Fatalf("does not wait: %v", e)
		}
		for _, assigned := range full {
			st.Release(assigned, Delivered{}, now)
		}
		if e := <-w.done; e != nil {
			t.Fatal(e)
		}
		return []string{w.assigned.Endpoint.ID}
	},
	"a moved stream": func(t *testing.T, st *State, s *routing.Service, now time.Time) []string {
		st.SetRetry(RetryBudget{Share: 0.2, Slack: 900, Window: 10 * time.Second})
		var out []string
		for range 8 {
			var next Assignment
			r := &movableAttempt{service: s, assigned: assignedTo("e2"), deadline: now.Add(8 * time.Second)}
			r.begin = func(assigned Assignment, _ MoveReason) { next = assigned }
			st.mu.Lock()
			st.refresh(now)
			if moved := st.move(r, EngineSlow, now); !moved {
				t.Error("not moved")
			}
			st.mu.Unlock()
			out = append(out, next.Endpoint.ID)
		}
		return out
	},
}

func admitSome(t *testing.T, st *State, s *routing.Service, now time.Time, id func(i int) string) []string {
	t.Helper()
	var out []string
	for i := range 12 {
		assigned, e := st.Admit(context.Background(), newAdmitRequest(id(i), s, now), fixedClock(now))
		if e != nil {
			t.Fatal(e)
		}
		out = append(out, assigned.Endpoint.ID)
	}
	return out
}

func chooseSome(t *testing.T, st *State, s *routing.Service, q placement.Query, now time.Time) []string {
	t.Helper()
	var out []string
	for range 12 {
		assigned, e := st.Choose(s, q, now)
		if e != nil {
			t.Fatal(e)
		}
		out = append(out, assigned.Endpoint.ID)
	}
	return out
}

// wantUnusedOnEachPath checks that no path assigns a request to unavailableEndpoint at now, at a
// plain service and at model engines, after prepare has been called.
func wantUnusedOnEachPath(t *testing.T, now time.Time, prepare func(st *State)) {
	t.Helper()
	for kind, s := range map[string]*routing.Service{"plain": {Name: "quotes"}, "engine": {Name: "quotes", Engine: testEngine()}} {
		for path, assign := range assignmentPaths {
			t.Run(kind+", "+path, func(t *testing.T) {
				st := newState("me", s)
				listEndpoints(st, 3, s.Name)
				refresh(st, start)
				prepare(st)
				for _, id := range assign(t, st, s, now) {
					if id == unavailableEndpoint {
						t.Fatal("a request was assigned to the endpoint")
					}
				}
			})
		}
	}
}

// An endpoint that turns all requests away asks for three seconds of rest. Guards against an entry
// that sends it requests meanwhile, on any path.
func TestEndpointAtRestIsAssignedNothing(t *testing.T) {
	ask := func(st *State) { st.RecordRest(assignedTo(unavailableEndpoint), 3*time.Second, start) }
	wantUnusedOnEachPath(t, start.Add(3*time.Second-time.Millisecond), ask)
}

// Guards against a rest that ends early, because the endpoint asked for a shorter one as well, was
// taken out of the store or out of service for a moment, or restarted unnoticed just before it
// asked.
func TestRestLastsUntilItsEnd(t *testing.T) {
	for name, meanwhile := range map[string]func(st *State){
		"a shorter rest": func(st *State) {
			st.RecordRest(assignedTo(unavailableEndpoint), time.Second, start.Add(100*time.Millisecond))
		},
		"a lapsed entry":               func(st *State) { lapse(st, start) },
		"a data centre out of service": func(st *State) { takeOutAndBack(st, start) },
		"a restart": func(st *State) {
			st.UpdateDirectory(func(d *directory.Directory) {
				d.Put(directory.Entry{ID: unavailableEndpoint, StartMillis: 2, Service: "quotes", Address: "10.0.0.1:1", DataCentre: "a", Slots: 12}, start)
			})
		},
	} {
		t.Run(name, func(t *testing.T) {
			wantUnusedOnEachPath(t, start.Add(2900*time.Millisecond), func(st *State) {
				st.RecordRest(assignedTo(unavailableEndpoint), 3*time.Second, start)
				meanwhile(st)
			})
		})
	}
}

// Guards against an endpoint that gets no requests after its rest, or after a restart that ended a
// long one.
func TestEndpointIsUsedAfterItsRest(t *testing.T) {
	for name, c := range map[string]struct {
		rest        time.Duration
		incarnation uint64
		after       time.Duration
	}{
		"the rest is over":        {3 * time.Second, 1, 3 * time.Second},
		"the endpoint restarted":  {time.Hour, 2, restartNotice},
		"no rest was asked for":   {0, 1, 0},
		"a negative rest, no one": {-time.Second, 1, 0},
	} {
		t.Run(name, func(t *testing.T) {
			s := &routing.Service{Name: "quotes"}
			st := newState("me", s)
			listEndpoints(st, 1, s.Name)
			assigned := assignedTo("e0")
			st.RecordRest(assigned, c.rest, start)
			st.UpdateDirectory(func(d *directory.Directory) {
				d.Put(directory.Entry{ID: "e0", StartMillis: c.incarnation, Service: s.Name, Address: "10.0.0.0:1", DataCentre: "a", Slots: 12}, start)
			})
			if _, e := st.Choose(s, placement.Query{}, start.Add(c.after)); e != nil {
				t.Fatal(e)
			}
			if n := st.RestingEndpoints(start.Add(c.after)); n != 0 {
				t.Errorf("%d endpoints rest", n)
			}
		})
	}
}

// All endpoints rest for longer than callers wait. Guards against callers that are held until they
// give up, whether they arrive then or waited before.
func TestRequestsThatOutwaitNoRestAreRefusedAtOnce(t *testing.T) {
	s := &routing.Service{Name: "quotes"}
	st := newState("me", s)
	listEndpoints(st, 2, s.Name)
	full := takeAllSlots(t, st, s, start)
	waiting := &waiter{req: newAdmitRequest("waits", s, start), done: make(chan *result.Error, 1)}
	waiting.req.AbandonAt = start.Add(2 * time.Second)
	if waits, e := st.submit(waiting, start); !waits {
		t.Fatalf("does not wait: %v", e)
	}
	st.RecordRest(assignedTo("e0"), 5*time.Second, start)
	st.RecordRest(assignedTo("e1"), 4*time.Second, start)
	st.Release(full[0], NotRun{Sent: true, Code: result.EndpointBusy}, start)
	arriving := newAdmitRequest("arrives", s, start)
	arriving.AbandonAt = start.Add(2 * time.Second)
	_, e := st.Admit(context.Background(), arriving, fixedClock(start))
	if len(waiting.done) == 0 {
		t.Fatal("still waits")
	}
	for name, refusal := range map[string]*result.Error{"waiting": <-waiting.done, "arriving": e} {
		t.Run(name, func(t *testing.T) {
			wantCode(t, refusal, result.EndpointResting)
			if d := refusal.RetryAfter(); d != 4*time.Second {
				t.Errorf("retry after %v, want when the first rest ends", d)
			}
		})
	}
	if n := queued(st); n != 0 {
		t.Errorf("%d requests wait", n)
	}
}

// The last endpoint that did not rest refuses a request and asks for a rest. Guards against a caller
// who is asked back within the rest, and has no further attempt then.
func TestRefusalOfTheLastEndpointNamesTheEndOfTheRest(t *testing.T) {
	s := &routing.Service{Name: "quotes"}
	st := newState("me", s)
	listEndpoints(st, 2, s.Name)
	st.RecordRest(assignedTo("e0"), 2*time.Second, start)
	if d := st.Refusal(s, result.EndpointBusy, start).RetryAfter(); d != retryAfterBusy {
		t.Errorf("retry after %v while another endpoint does not rest", d)
	}
	st.RecordRest(assignedTo("e1"), 3*time.Second, start)
	e := st.Refusal(s, result.EndpointBusy, start)
	wantCode(t, e, result.EndpointResting)
	if d := e.RetryAfter(); d != 2*time.Second {
		t.Errorf("retry after %v", d)
	}
}

// All endpoints rest for a little less than a caller waits. Guards against its refusal, and against
// an assignment that waits for something else to happen after the rest.
func TestRequestWaitsForAShortRest(t *testing.T) {
	s := &routing.Service{Name: "quotes"}
	st := newState("me", s)
	listEndpoints(st, 1, s.Name)
	st.RecordRest(assignedTo("e0"), 100*time.Millisecond, start)
	w := &waiter{req: newAdmitRequest("r", s, start), done: make(chan *result.Error, 1)}
	if waits, e := st.submit(w, start); !waits {
		t.Fatalf("does not wait: %v", e)
	}
	if d := st.untilNextDispatch(start); d != 100*time.Millisecond {
		t.Errorf("looks again after %v, want when the rest ends", d)
	}
	st.DispatchWaiting(start.Add(100 * time.Millisecond))
	select {
	case e := <-w.done:
		if e != nil {
			t.Fatal(e)
		}
	default:
		t.Fatal("still waits after the rest")
	}
}

// One of two endpoints rests and the other one is full for a moment. Guards against a refusal for
// the rest, which lasts longer than the other endpoint takes to free a slot.
func TestRequestWaitsForTheEndpointThatDoesNotRest(t *testing.T) {
	s := &routing.Service{Name: "quotes"}
	st := newState("me", s)
	listEndpoints(st, 2, s.Name)
	st.RecordRest(assignedTo("e0"), 10*time.Second, start)
	full := takeAllSlots(t, st, s, start)
	w := &waiter{req: newAdmitRequest("r", s, start), done: make(chan *result.Error, 1)}
	if waits, e := st.submit(w, start); !waits {
		t.Fatalf("does not wait: %v", e)
	}
	st.Release(full[0], Delivered{}, start)
	if e := <-w.done; e != nil || w.assigned.Endpoint.ID != "e1" {
		t.Fatalf("%v, %s", e, w.assigned.Endpoint.ID)
	}
}
