package config

import (
	"bytes"
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/standin/kv"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

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
