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

// process is one process with its own knowledge of the configuration.
type process struct {
	*Writer
	cut bool
}

// site is a stand-in with processes, in a bubble with a fake clock.
type site struct {
	*testing.T
	server *kv.Server
	ps     []*process
}

func withSite(t *testing.T, processes int, f func(*site)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &site{T: t, server: &kv.Server{}}
		for range processes {
			s.start()
		}
		f(s)
		time.Sleep(time.Minute) // late calls end in the bubble
	})
}

// start adds a process that knows nothing yet.
func (s *site) start() {
	p := &process{}
	d := &kv.Direct{Server: s.server, Timeout: time.Second, Cut: func() bool { return p.cut }}
	p.Writer = &Writer{KV: d, Store: &Store{}}
	s.ps = append(s.ps, p)
}

func (s *site) submit(p int, id string, generation uint64, c Change) (Head, error) {
	ctx, cancel := context.WithTimeout(s.Context(), 3*time.Second)
	defer cancel()
	o := Order{ChangeID: id, By: "op", IfGeneration: generation, Change: c}
	return s.ps[p].Submit(ctx, o, time.Now())
}

func (s *site) accept(p int, id string, c Change) Head {
	s.Helper()
	h, err := s.submit(p, id, 0, c)
	if err != nil {
		s.Fatalf("%s: %v", id, err)
	}
	return h
}

func (s *site) repair(p int) {
	s.Helper()
	ctx, cancel := context.WithTimeout(s.Context(), time.Minute)
	defer cancel()
	if err := s.ps[p].Repair(ctx, time.Now()); err != nil {
		s.Errorf("process %d: %v", p, err)
	}
}

// exchange lets two processes synchronise as peers do.
func (s *site) exchange(a, b int) {
	s.Helper()
	x, y := s.ps[a].Store, s.ps[b].Store
	msg := x.Summary()
	for round := 0; msg != nil || round < 2; round++ {
		if round == 10 {
			s.Fatalf("processes %d and %d never agree", a, b)
		}
		if msg == nil {
			msg = x.Summary() // once more, for the parts
		}
		reply, parts, err := y.Exchange(msg, x.Current().Missing())
		if err != nil {
			s.Fatal(err)
		}
		if msg, err = x.Finish(reply, parts); err != nil {
			s.Fatal(err)
		}
	}
}

func (s *site) wantOut(p int, t Target, want bool) {
	s.Helper()
	if got := s.ps[p].Store.Current().IsOut(t); got != want {
		s.Errorf("process %d: %v is out: %v, want %v", p, t, got, want)
	}
}

func (s *site) wantStored(p int) Head {
	s.Helper()
	cur, err := s.ps[p].read(s.Context())
	if err != nil {
		s.Fatal(err)
	}
	return cur.head
}

var dc = DataCentre("north")

// Two operators read generation 1 and switch to different presets. Without the
// generation's check the later one would undo the other without a word.
func TestRacingOperatorsConflict(t *testing.T) {
	withSite(t, 2, func(s *site) {
		s.accept(0, "day", PutPreset{Name: "day", Body: []byte("d")})
		g := s.accept(0, "peak", PutPreset{Name: "peak", Body: []byte("p")}).Generation()
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
		if h := s.wantStored(0); h.Generation() != g+1 {
			t.Errorf("generation %d, want %d", h.Generation(), g+1)
		}
	})
}

func TestRacingOrdersAreAllMade(t *testing.T) {
	withSite(t, 3, func(s *site) {
		var wg sync.WaitGroup
		for i := range 30 {
			wg.Go(func() { s.accept(i%3, fmt.Sprint("c", i), TakeOut{Target: Endpoint(fmt.Sprint(i))}) })
		}
		wg.Wait()
		if h := s.wantStored(0); h.Generation() != 30 || len(h.Outs()) != 30 {
			t.Errorf("generation %d, %d out", h.Generation(), len(h.Outs()))
		}
	})
}

// The answer to the write of a change is lost. Doing the change again would
// make it twice, refusing it would be untrue; the change id tells.
func TestLostAnswerIsSettledByChangeID(t *testing.T) {
	withSite(t, 1, func(s *site) {
		s.accept(0, "a", TakeOut{Target: dc})
		s.server.LoseAnswers(1)
		s.accept(0, "b", BringIn{Target: dc})
		if h := s.wantStored(0); h.Generation() != 2 || h.IsOut(dc) {
			t.Errorf("generation %d, out %v", h.Generation(), h.IsOut(dc))
		}
		s.accept(0, "b", BringIn{Target: dc})
		if h := s.wantStored(0); h.Generation() != 2 {
			t.Errorf("a repeated order made generation %d", h.Generation())
		}
	})
}

// The write's answer is lost and then the service is gone: nobody can say
// whether the switch was made. The same order, given again, finds it.
func TestUnsettledChangeIsUnknown(t *testing.T) {
	withSite(t, 1, func(s *site) {
		s.accept(0, "a", PutPreset{Name: "day", Body: []byte("d")})
		s.server.LoseAnswers(1)
		down := time.AfterFunc(retryPause/2, func() { s.server.SetDown(true) })
		defer down.Stop()
		_, err := s.submit(0, "b", 0, SwitchPreset{Name: "day"})
		wantCode(t, err, result.WriteUnknown)
		s.server.SetDown(false)
		s.accept(0, "b", SwitchPreset{Name: "day"})
		if h := s.wantStored(0); h.Generation() != 2 {
			t.Errorf("generation %d, want 2", h.Generation())
		}
	})
}

func TestDownRefusesTruly(t *testing.T) {
	withSite(t, 1, func(s *site) {
		s.accept(0, "a", PutPreset{Name: "day", Body: []byte("d")})
		s.server.SetDown(true)
		_, err := s.submit(0, "b", 0, SwitchPreset{Name: "day"})
		wantCode(t, err, result.PlatformRefused)
		_, err = s.submit(0, "c", 0, BringIn{Target: dc})
		wantCode(t, err, result.PlatformRefused)
		s.server.SetDown(false)
		if h := s.wantStored(0); h.Generation() != 1 {
			t.Errorf("generation %d, want 1", h.Generation())
		}
	})
}

// A head names a preset whose body is not there yet: new VMs could not start.
func TestPartsAreWrittenFirst(t *testing.T) {
	withSite(t, 1, func(s *site) {
		s.accept(0, "a", PutPreset{Name: "day", Body: []byte("d")})
		head, _ := s.ps[0].KV.Get(s.Context(), HeadKey)
		part, _ := s.ps[0].KV.Get(s.Context(), PartsPrefix+Digest([]byte("d")))
		h, _ := head.First()
		p, ok := part.First()
		if !ok || p.Revision() >= h.Revision() {
			t.Errorf("part at revision %d, head at %d", p.Revision(), h.Revision())
		}
	})
}

// A preset's write takes effect, its answer is lost, the service goes down and
// comes back from an older copy. Another process has read the document but not
// the body, which only the process that met the order still has.
func TestBodySurvivesUnknownWrite(t *testing.T) {
	withSite(t, 2, func(s *site) {
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
		if _, _, ok := s.ps[1].Store.Current().Preset(); !ok {
			t.Error("the preset's body is lost")
		}
	})
}

// The service is restored from a copy older than the order to take a data
// centre out, and a process that has not seen that order makes another change.
// Without the join the data centre would get work again.
func TestRestoreRevertsNothing(t *testing.T) {
	withSite(t, 3, func(s *site) {
		s.accept(0, "day", PutPreset{Name: "day", Body: []byte("d")})
		s.repair(1)
		s.repair(2)
		old := s.server.Copy()
		s.accept(0, "out", TakeOut{Target: dc})
		g := s.accept(0, "late", PutPreset{Name: "late", Body: []byte("l")}).Generation()
		s.server.Restore(old)
		s.accept(1, "fork", TakeOut{Target: Endpoint("x")})
		s.repair(0)
		s.repair(1)
		h := s.wantStored(2)
		if !h.IsOut(dc) || !h.IsOut(Endpoint("x")) || h.Generation() <= g || !h.Accepted("late") {
			t.Errorf("after the restore the service has %s", h.Encode())
		}
		body, err := s.ps[2].KV.Get(s.Context(), PartsPrefix+Digest([]byte("l")))
		if _, ok := body.First(); err != nil || !ok {
			t.Error("the part that the restore lost was not written again")
		}
		s.wantOut(1, dc, true)
	})
}

// A change is ordered through a process that knows more than the restored
// service: it repairs the document first, so nothing is undone.
func TestChangeAfterRestoreRepairsFirst(t *testing.T) {
	withSite(t, 1, func(s *site) {
		old := s.server.Copy()
		s.accept(0, "out", TakeOut{Target: dc})
		s.server.Restore(old)
		s.accept(0, "b", TakeOut{Target: Endpoint("x")})
		if h := s.wantStored(0); !h.IsOut(dc) || h.Generation() != 2 {
			t.Errorf("the service has %s", h.Encode())
		}
	})
}
