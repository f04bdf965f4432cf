package config

import (
	"bytes"
	"context"
	"fmt"
	"math/rand"
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

// A data centre is cut off from the platform and its operator takes it out.
// The order must hold there at once, reach the document when the cut heals, and
// not come back after others have brought the data centre in again, even from a
// process that slept through hundreds of changes.
func TestHoldJoinsOnHeal(t *testing.T) {
	withSite(t, 3, func(s *site) {
		s.ps[0].cut, s.ps[1].cut = true, true
		_, err := s.submit(0, "hold", 0, TakeOut{Target: dc})
		wantCode(t, err, result.HeldLocally)
		s.exchange(0, 1)
		s.wantOut(0, dc, true)
		s.wantOut(1, dc, true)
		s.accept(2, "other", TakeOut{Target: Endpoint("x")})
		s.ps[0].cut = false
		s.repair(0)
		if h := s.wantStored(2); !h.IsOut(dc) || !h.IsOut(Endpoint("x")) {
			t.Errorf("the hold did not join: %s", h.Encode())
		}
		s.accept(2, "in", BringIn{Target: dc})
		for i := range 2 * maxRecent {
			s.accept(2, fmt.Sprint("c", i), PutPreset{Name: "day", Body: []byte{byte(i)}})
		}
		s.wantOut(1, dc, true)
		s.ps[1].cut = false
		s.repair(1)
		s.wantOut(1, dc, false)
		if h := s.wantStored(2); h.IsOut(dc) {
			t.Error("the hold came back after the data centre was brought in")
		}
	})
}

// Inside a cut-off data centre a hold is released while another process has
// written it into the document already, and an operator elsewhere has taken the
// same data centre out as well. The release ends the hold's order alone.
func TestReleaseEndsOnlyItsHold(t *testing.T) {
	withSite(t, 3, func(s *site) {
		s.ps[0].cut, s.ps[1].cut = true, true
		_, err := s.submit(0, "hold", 0, TakeOut{Target: dc})
		wantCode(t, err, result.HeldLocally)
		_, err = s.submit(0, "hold2", 0, TakeOut{Target: Endpoint("x")})
		wantCode(t, err, result.HeldLocally)
		s.exchange(0, 1)
		s.ps[1].cut = false
		s.repair(1)
		s.accept(2, "theirs", TakeOut{Target: Endpoint("x")})
		for _, target := range []Target{dc, Endpoint("x")} {
			_, err = s.submit(0, "in-"+target.Name(), 0, BringIn{Target: target})
			wantCode(t, err, result.HeldLocally)
			s.wantOut(0, target, false)
		}
		s.ps[0].cut = false
		s.repair(0)
		if h := s.wantStored(2); h.IsOut(dc) || !h.IsOut(Endpoint("x")) {
			t.Errorf("after the release: %s", h.Encode())
		}
	})
}

// A released hold must not be written by a peer that missed the release.
func TestReleasedHoldStaysReleased(t *testing.T) {
	withSite(t, 2, func(s *site) {
		s.ps[0].cut, s.ps[1].cut = true, true
		_, _ = s.submit(0, "hold", 0, TakeOut{Target: dc})
		s.exchange(0, 1)
		_, err := s.submit(0, "in", 0, BringIn{Target: dc})
		wantCode(t, err, result.HeldLocally)
		s.ps[0].cut = false
		s.repair(0)
		s.ps[1].cut = false
		s.repair(1)
		if h := s.wantStored(0); h.IsOut(dc) {
			t.Errorf("the released hold was written: %s", h.Encode())
		}
		s.wantOut(1, dc, false)
	})
}

func TestExchangeSendsLittleWhenEqual(t *testing.T) {
	withSite(t, 2, func(s *site) {
		s.accept(0, "a", PutPreset{Name: "day", Body: []byte("d")})
		s.exchange(1, 0)
		p, body, ok := s.ps[1].Store.Current().Preset()
		if !ok || p.Name() != "day" || string(body) != "d" {
			t.Errorf("preset %v, body %q", p, body)
		}
		reply, _, err := s.ps[0].Store.Exchange(s.ps[1].Store.Summary(), nil)
		if err != nil || len(reply) > 100 {
			t.Errorf("%d bytes between equals, error %v", len(reply), err)
		}
		if _, _, err := s.ps[0].Store.Exchange([]byte(`{"digest":"","head":{}}`), nil); err != nil {
			t.Errorf("an empty head was refused: %v", err)
		}
		if _, _, err := s.ps[0].Store.Exchange([]byte("x"), nil); err == nil {
			t.Error("garbage was accepted")
		}
	})
}

// storm gives unique orders to random processes while links are cut, answers
// are lost and the service is restored from older copies.
func (s *site) storm(rng *rand.Rand) (outs []Target, presets []string) {
	copies := []kv.Copy{s.server.Copy()}
	seen := make(map[int]map[Target]bool)
	for i := range 60 {
		s.wantNothingReverted(seen)
		p := rng.Intn(len(s.ps))
		switch rng.Intn(8) {
		case 0:
			s.ps[p].cut = !s.ps[p].cut
		case 1:
			s.server.LoseAnswers(rng.Intn(4))
		case 2:
			copies = append(copies, s.server.Copy())
		case 3:
			s.server.Restore(copies[rng.Intn(len(copies))])
		case 4:
			s.exchange(p, rng.Intn(len(s.ps)))
		case 5:
			target := Endpoint(fmt.Sprint("e", i))
			if _, err := s.submit(p, fmt.Sprint("out", i), 0, TakeOut{Target: target}); result.CodeOf(err) != result.WriteUnknown {
				outs = append(outs, target)
			}
		case 6:
			name := fmt.Sprint("p", i)
			if _, err := s.submit(p, name, 0, PutPreset{Name: name, Body: []byte(name)}); err == nil {
				presets = append(presets, name)
			}
		default:
			s.server.SetSlow(time.Duration(rng.Intn(1500)) * time.Millisecond)
		}
	}
	return outs, presets
}

// wantNothingReverted checks that what a process has seen out is still out: the
// storm brings nothing in.
func (s *site) wantNothingReverted(seen map[int]map[Target]bool) {
	for p := range s.ps {
		c := s.ps[p].Store.Current()
		for target := range seen[p] {
			if !c.IsOut(target) {
				s.Errorf("process %d: %v came back", p, target)
			}
		}
		seen[p] = make(map[Target]bool)
		for _, o := range c.Head().Outs() {
			seen[p][o.Target()] = true
		}
		for _, d := range c.Holds() {
			seen[p][d.Target()] = true
		}
	}
}

// heal ends all faults, starts one more process and lets everyone synchronise.
func (s *site) heal() {
	s.server.SetSlow(0)
	s.server.LoseAnswers(0)
	time.Sleep(time.Minute)
	s.start()
	for range 3 {
		for p := range s.ps {
			s.ps[p].cut = false
			s.repair(p)
			if err := s.ps[p].FetchParts(s.Context()); err != nil {
				s.Error(err)
			}
			s.exchange(p, (p+1)%len(s.ps))
		}
	}
}

// Operators give orders through any process while everything fails. Each order
// that was accepted or held must be in force everywhere in the end, in all
// processes and in the service alike, and a VM that starts then must find all
// presets with their bodies.
func TestAcceptedOrdersSurviveFaults(t *testing.T) {
	for seed := range int64(60) {
		t.Run(fmt.Sprintf("seed%d", seed), func(t *testing.T) {
			withSite(t, 4, func(s *site) {
				outs, presets := s.storm(rand.New(rand.NewSource(seed)))
				s.heal()
				want := s.wantStored(0)
				for p := range s.ps {
					c := s.ps[p].Store.Current()
					if !bytes.Equal(c.Head().Encode(), want.Encode()) || len(c.Holds()) > 0 {
						t.Errorf("process %d has not converged", p)
					}
				}
				for _, o := range outs {
					if !want.IsOut(o) {
						t.Errorf("%v was lost", o)
					}
				}
				for _, name := range presets {
					p, ok := want.Preset(name)
					if !ok || p.Digest() != Digest([]byte(name)) {
						t.Errorf("preset %s was lost", name)
					}
					if _, ok := s.ps[4].Store.Current().Part(p.Digest()); !ok {
						t.Errorf("the body of preset %s was lost", name)
					}
				}
			})
		})
	}
}
