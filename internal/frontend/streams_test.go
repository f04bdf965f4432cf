package frontend

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/fleet/fleetpb"
	"github.com/hyssoprelay/hyssoprelay/platform/standin"
)

// wantWholeStream checks that each event arrived exactly once.
func (s *system) wantWholeStream(resp response, events int) {
	s.t.Helper()
	s.wantStatus(resp, http.StatusOK)
	if strings.Contains(resp.body, "HTTP/1.") {
		s.t.Fatalf("a head within the stream:\n%s", resp.body)
	}
	for i := 1; i <= events; i++ {
		if n := strings.Count(resp.body, fmt.Sprintf("id: %d\n", i)); n != 1 {
			s.t.Fatalf("event %d arrived %d times:\n%s", i, n, resp.body)
		}
	}
}

// An engine crashes in the middle of an event. The caller's stream must continue at
// another engine, with each event once and the seal of the first engine.
func TestInterruptedStreamContinuesElsewhere(t *testing.T) {
	t.Parallel()
	s := newSystem(t, 2)
	e := s.start("entry1", s.store.Addr())
	s.endpoints[0].Behave(standin.Tears)
	interrupted := 0
	for i := range 6 {
		id := fmt.Sprint("s", i)
		a := e.request(context.Background(), "/stream/1", id, "k1")
		s.wantWholeStream(a, 5)
		if s.endpoints[0].Runs(id) > 0 {
			interrupted++
			if seal := a.header.Get("X-Hyssoprelay-Replica-Seal"); seal != "seal-i-0" {
				t.Fatalf("seal %q", seal)
			}
		}
	}
	if interrupted == 0 {
		t.Fatal("no stream was sent to the crashing engine")
	}
}

// One of two engines becomes twelve times slower in the middle of a stream, and
// delays its whole group for as long as it generates output. The stream must continue at the
// other engine, and its caller must receive each event once, without a second start
// of the stream.
func TestStreamIsMovedOffASlowEngine(t *testing.T) {
	t.Parallel()
	s, e := newGroupOfTwo(t, 0)
	responses := make(chan response, 1)
	go func() { responses <- e.request(context.Background(), "/stream/1", "s1", "k1") }()
	s.moveStream(e, "s1")
	s.wantWholeStream(<-responses, 5)
	s.eventually("the move is logged", func() bool { return e.log.Has(`"outcome":"moved"`) })
}

// newGroupOfTwo starts an entry and two engines of one group, which pause for 200 ms between events. A
// moved stream waits for the other engine for handoverTime, or as usual if it is zero.
func newGroupOfTwo(t *testing.T, handoverTime time.Duration) (*system, *entry) {
	t.Helper()
	s := newSystem(t, 2)
	s.handoverTime = handoverTime
	s.store.Put("op/config", bytes.Replace(config(2, `"k1"`), []byte(`"maxConnections":100`),
		[]byte(`"maxConnections":100,"engine":{"slots":4,"stride":4,"step_ms":5,"per_seq_ms":1,"expertShare":0.85}`), 1))
	for _, ep := range s.endpoints {
		ep.Pause = 200 * time.Millisecond
	}
	return s, s.start("entry1", s.store.Addr())
}

// moveStream waits until a stream runs, reports its engine as twelve times slower, and returns when
// the stream has reached the other engine.
func (s *system) moveStream(e *entry, id string) {
	s.t.Helper()
	s.eventually("an engine serves the stream", func() bool { return s.runs(id) == 1 })
	q := &fleetpb.LoadsRequest{List: 1}
	for _, ep := range s.endpoints {
		pace, running := uint32(100), uint32(0)
		if ep.Runs(id) > 0 {
			pace, running = 1200, 1
		}
		q.Targets = append(q.Targets, &fleetpb.Target{Endpoint: ep.Addr()})
		q.Pace, q.Running = append(q.Pace, pace), append(q.Running, running)
	}
	svc := &service{frontend: e.Frontend}
	s.eventually("the other engine serves the stream", func() bool {
		if _, err := svc.Loads(context.Background(), q); err != nil {
			s.t.Error(err)
		}
		return s.endpoints[0].Runs(id) == 1 && s.endpoints[1].Runs(id) == 1
	})
}

// A caller disconnects. Guards against an engine that goes on generating output that
// nobody reads.
func TestDisconnectFreesEndpoint(t *testing.T) {
	t.Parallel()
	s := newSystem(t, 1)
	e := s.start("entry1", s.store.Addr())
	s.endpoints[0].Behave(standin.Hangs)
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(100*time.Millisecond, cancel)
	if a := e.request(ctx, "/stream/1", "s1", "k1"); a.err == nil {
		t.Fatalf("status %d", a.status)
	}
	s.eventually("the endpoint noticed the disconnect", func() bool { return s.endpoints[0].Left() == 1 })
}
