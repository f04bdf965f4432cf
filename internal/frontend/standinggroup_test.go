package frontend

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/boottime"
	"github.com/hyssoprelay/hyssoprelay/internal/fleet/fleetpb"
)

// reportStood has the leader of a group of two engines report once for how long the group has stood.
func reportStood(t *testing.T, s *system, e *entry, stood time.Duration) {
	t.Helper()
	q := &fleetpb.LoadsRequest{List: 1, StoodMillis: uint32(stood.Milliseconds())}
	for _, ep := range s.endpoints {
		q.Targets = append(q.Targets, &fleetpb.Target{Endpoint: ep.Addr()})
		q.Running = append(q.Running, 1)
	}
	if _, err := (&service{frontend: e.Frontend}).Loads(context.Background(), q); err != nil {
		t.Fatal(err)
	}
}

// All ranks of a group stand at a held step, and streams come. Guards against streams that its engines are sent, where
// nothing runs and whence nothing can be taken back, and against streams that are lost when the group goes on.
func TestStreamsWaitAtTheEntryWhileTheirGroupStands(t *testing.T) {
	t.Parallel()
	s, e := newGroupOfTwo(t, 0)
	s.store.Put("op/config", bytes.Replace(config(3, `"k1"`), []byte(`"maxConnections":100`),
		[]byte(`"maxConnections":100,"engine":{"slots":4,"stride":4,"step_ms":5,"per_seq_ms":1,"expertShare":0.85,"sets":1,"experts":9,"placements":4,"spare":3}`), 1))
	s.eventually("the engines work in lockstep", func() bool {
		table := e.state.Table()
		return table != nil && table.Version() == 3 && table.Service("s").Engine.Experts.Sets == 1
	})
	began := boottime.Now()
	s.eventually("the group counts as standing", func() bool {
		reportStood(t, s, e, boottime.Now().Sub(began)+200*time.Millisecond)
		return e.state.StandingGroups() == 1
	})
	answer := make(chan response, 1)
	go func() { answer <- e.request(context.Background(), "/stream/1", "waits", "k1") }()
	s.eventually("the stream waits", func() bool {
		reportStood(t, s, e, 200*time.Millisecond)
		return len(e.state.WaitingServices()) == 1
	})
	if n := s.runs("waits"); n != 0 {
		t.Errorf("%d engines of a standing group were sent the stream", n)
	}
	reportStood(t, s, e, 0)
	s.wantWholeStream(<-answer, 5)
	if n := s.runs("waits"); n != 1 {
		t.Errorf("the stream ran %d times", n)
	}
}
