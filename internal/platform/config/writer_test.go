package config

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/standin/kv"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// process is one process with its own store.
type process struct {
	*Writer
	partitioned bool
}

// system is a simulated service with several processes, in a synctest bubble
// with a fake clock.
type system struct {
	*testing.T
	server    *kv.Server
	processes []*process
}

func withSystem(t *testing.T, processes int, f func(*system)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &system{T: t, server: &kv.Server{}}
		for range processes {
			s.startProcess()
		}
		f(s)
		time.Sleep(time.Minute) // lets pending calls end inside the bubble
	})
}

// startProcess adds a process with an empty store.
func (s *system) startProcess() {
	p := &process{}
	d := &kv.Direct{Server: s.server, Timeout: time.Second, Cut: func() bool { return p.partitioned }}
	p.Writer = &Writer{KV: d, Store: &Store{}}
	s.processes = append(s.processes, p)
}

func (s *system) submit(p int, id string, generation uint64, c Change) (Head, error) {
	ctx, cancel := context.WithTimeout(s.Context(), 3*time.Second)
	defer cancel()
	o := Order{ChangeID: id, By: "op", IfGeneration: generation, Change: c}
	return s.processes[p].Submit(ctx, o, time.Now())
}

func (s *system) mustSubmit(p int, id string, c Change) Head {
	s.Helper()
	h, err := s.submit(p, id, 0, c)
	if err != nil {
		s.Fatalf("%s: %v", id, err)
	}
	return h
}

func (s *system) repair(p int) {
	s.Helper()
	ctx, cancel := context.WithTimeout(s.Context(), time.Minute)
	defer cancel()
	if err := s.processes[p].Repair(ctx, time.Now()); err != nil {
		s.Errorf("process %d: %v", p, err)
	}
}

// exchange synchronises two processes as peers do.
func (s *system) exchange(a, b int) {
	s.Helper()
	x, y := s.processes[a].Store, s.processes[b].Store
	msg := x.DigestMessage()
	for round := 0; msg != nil || round < 2; round++ {
		if round == 10 {
			s.Fatalf("processes %d and %d do not agree after 10 rounds", a, b)
		}
		if msg == nil {
			msg = x.DigestMessage() // another round to get the parts
		}
		reply, parts, err := y.HandleMessage(msg, x.Current().MissingParts())
		if err != nil {
			s.Fatal(err)
		}
		if msg, err = x.HandleReply(reply, parts); err != nil {
			s.Fatal(err)
		}
	}
}

func (s *system) wantOutOfService(p int, t Target, want bool) {
	s.Helper()
	if got := s.processes[p].Store.Current().IsOutOfService(t); got != want {
		s.Errorf("process %d: %v is out of service: %v, want %v", p, t, got, want)
	}
}

func (s *system) readStored(p int) Head {
	s.Helper()
	cur, err := s.processes[p].read(s.Context())
	if err != nil {
		s.Fatal(err)
	}
	return cur.head
}

var north = DataCentre("north")

// Two operators read the same generation and both switch the preset. Without
// the check of the generation, the later switch would silently undo the earlier
// one.
func TestConcurrentSwitchesConflict(t *testing.T) {
	withSystem(t, 2, func(s *system) {
		s.mustSubmit(0, "day", PutPreset{Name: "day", Body: []byte("d")})
		g := s.mustSubmit(0, "peak", PutPreset{Name: "peak", Body: []byte("p")}).Generation()
		codes := make([]result.Code, 2)
		var wg sync.WaitGroup
		for p := range 2 {
			wg.Go(func() {
				_, err := s.submit(p, fmt.Sprint("switch", p), g, SwitchPreset{Name: "peak"})
				codes[p] = result.CodeOf(err)
			})
		}
		wg.Wait()
		if codes[0]+codes[1] != result.Conflict {
			t.Errorf("codes %v, want one ok and one conflict", codes)
		}
		if h := s.readStored(0); h.Generation() != g+1 {
			t.Errorf("generation %d, want %d", h.Generation(), g+1)
		}
	})
}

func TestConcurrentOrdersAreAllApplied(t *testing.T) {
	withSystem(t, 3, func(s *system) {
		var wg sync.WaitGroup
		for i := range 30 {
			wg.Go(func() { s.mustSubmit(i%3, fmt.Sprint("c", i), TakeOutOfService{Target: Endpoint(fmt.Sprint(i))}) })
		}
		wg.Wait()
		if h := s.readStored(0); h.Generation() != 30 || len(h.OutOfService()) != 30 {
			t.Errorf("generation %d, %d targets out of service, want 30 of each", h.Generation(), len(h.OutOfService()))
		}
	})
}

// The response to the write of a change is lost. Repeating the change would
// apply it twice, and refusing it would be wrong; the change id shows that it
// was made.
func TestLostResponseIsResolvedByChangeID(t *testing.T) {
	withSystem(t, 1, func(s *system) {
		s.mustSubmit(0, "a", TakeOutOfService{Target: north})
		s.server.LoseAnswers(1)
		s.mustSubmit(0, "b", ReturnToService{Target: north})
		if h := s.readStored(0); h.Generation() != 2 || h.IsOutOfService(north) {
			t.Errorf("generation %d, out of service: %v, want 2 and false", h.Generation(), h.IsOutOfService(north))
		}
		s.mustSubmit(0, "b", ReturnToService{Target: north})
		if h := s.readStored(0); h.Generation() != 2 {
			t.Errorf("a repeated order created generation %d", h.Generation())
		}
	})
}

// The response to a write is lost and the service goes down, so that the
// outcome is unknown. When the same order is submitted again, it must be found
// in the document.
func TestUnconfirmedWriteIsUnknown(t *testing.T) {
	withSystem(t, 1, func(s *system) {
		s.mustSubmit(0, "a", PutPreset{Name: "day", Body: []byte("d")})
		s.server.LoseAnswers(1)
		down := time.AfterFunc(retryDelay/2, func() { s.server.SetDown(true) })
		defer down.Stop()
		_, err := s.submit(0, "b", 0, SwitchPreset{Name: "day"})
		wantCode(t, err, result.WriteUnknown)
		s.server.SetDown(false)
		s.mustSubmit(0, "b", SwitchPreset{Name: "day"})
		if h := s.readStored(0); h.Generation() != 2 {
			t.Errorf("generation %d, want 2", h.Generation())
		}
	})
}

func TestUnavailableServiceRefusesChange(t *testing.T) {
	withSystem(t, 1, func(s *system) {
		s.mustSubmit(0, "a", PutPreset{Name: "day", Body: []byte("d")})
		s.server.SetDown(true)
		_, err := s.submit(0, "b", 0, SwitchPreset{Name: "day"})
		wantCode(t, err, result.PlatformRefused)
		_, err = s.submit(0, "c", 0, ReturnToService{Target: north})
		wantCode(t, err, result.PlatformRefused)
		s.server.SetDown(false)
		if h := s.readStored(0); h.Generation() != 1 {
			t.Errorf("generation %d, want 1", h.Generation())
		}
	})
}

// The body of a preset must be written before the head that references it,
// since new VMs could not start without it.
func TestPartsAreWrittenFirst(t *testing.T) {
	withSystem(t, 1, func(s *system) {
		s.mustSubmit(0, "a", PutPreset{Name: "day", Body: []byte("d")})
		head, _ := s.processes[0].KV.Get(s.Context(), HeadKey)
		part, _ := s.processes[0].KV.Get(s.Context(), PartsPrefix+Digest([]byte("d")))
		h, _ := head.First()
		p, ok := part.First()
		if !ok || p.Revision() >= h.Revision() {
			t.Errorf("part at revision %d, head at %d", p.Revision(), h.Revision())
		}
	})
}

// The write of a preset takes effect, its response is lost, and the service
// goes down and is restored from an older copy. Another process has read the
// document but not the body, of which the process that received the order has
// the only copy.
func TestBodySurvivesUnknownWrite(t *testing.T) {
	withSystem(t, 2, func(s *system) {
		old := s.server.Copy()
		s.server.SetSlow(100 * time.Millisecond)
		lose := time.AfterFunc(250*time.Millisecond, func() { s.server.LoseAnswers(1) })
		down := time.AfterFunc(310*time.Millisecond, func() { s.server.SetDown(true) })
		defer lose.Stop()
		defer down.Stop()
		_, err := s.submit(0, "day", 0, PutPreset{Name: "day", Body: []byte("d")})
		wantCode(t, err, result.WriteUnknown)
		s.server.SetDown(false)
		s.repair(1)
		s.server.Restore(old)
		s.repair(1)
		s.exchange(0, 1)
		s.exchange(1, 0)
		if _, _, ok := s.processes[1].Store.Current().Preset(); !ok {
			t.Error("the body of the preset is missing")
		}
	})
}

// The service is restored from a copy older than an order to take a data centre
// out, and a process that has not seen that order makes another change. Without
// the join the data centre would get work again.
func TestRestoreRevertsNothing(t *testing.T) {
	withSystem(t, 3, func(s *system) {
		s.mustSubmit(0, "day", PutPreset{Name: "day", Body: []byte("d")})
		s.repair(1)
		s.repair(2)
		old := s.server.Copy()
		s.mustSubmit(0, "out", TakeOutOfService{Target: north})
		g := s.mustSubmit(0, "late", PutPreset{Name: "late", Body: []byte("l")}).Generation()
		s.server.Restore(old)
		s.mustSubmit(1, "fork", TakeOutOfService{Target: Endpoint("x")})
		s.repair(0)
		s.repair(1)
		h := s.readStored(2)
		if !h.IsOutOfService(north) || !h.IsOutOfService(Endpoint("x")) || h.Generation() <= g || !h.ListsChange("late") {
			t.Errorf("document after the restore: %s", h.Encode())
		}
		body, err := s.processes[2].KV.Get(s.Context(), PartsPrefix+Digest([]byte("l")))
		if _, ok := body.First(); err != nil || !ok {
			t.Error("the part lost by the restore was not written again")
		}
		s.wantOutOfService(1, north, true)
	})
}

// A change is submitted through a process that has newer changes than the
// restored service. The process must repair the document first, so that nothing
// is undone.
func TestChangeAfterRestoreRepairsFirst(t *testing.T) {
	withSystem(t, 1, func(s *system) {
		old := s.server.Copy()
		s.mustSubmit(0, "out", TakeOutOfService{Target: north})
		s.server.Restore(old)
		s.mustSubmit(0, "b", TakeOutOfService{Target: Endpoint("x")})
		if h := s.readStored(0); !h.IsOutOfService(north) || h.Generation() != 2 {
			t.Errorf("stored document: %s", h.Encode())
		}
	})
}
