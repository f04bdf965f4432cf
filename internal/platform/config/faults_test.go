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

// injectFaults submits unique orders through random processes while processes
// are partitioned, responses are lost, and the service is slow or restored from
// older copies. It returns the orders that must be in force in the end.
func (s *system) injectFaults(rng *rand.Rand) (outOfService []Target, presets []string) {
	copies := []kv.Copy{s.server.Copy()}
	seen := make(map[int]map[Target]bool)
	for i := range 60 {
		s.wantNothingReverted(seen)
		p := rng.Intn(len(s.processes))
		switch rng.Intn(8) {
		case 0:
			s.processes[p].partitioned = !s.processes[p].partitioned
		case 1:
			s.server.LoseAnswers(rng.Intn(4))
		case 2:
			copies = append(copies, s.server.Copy())
		case 3:
			s.server.Restore(copies[rng.Intn(len(copies))])
		case 4:
			s.exchange(p, rng.Intn(len(s.processes)))
		case 5:
			target := Endpoint(fmt.Sprint("e", i))
			if _, err := s.submit(p, fmt.Sprint("out", i), 0, TakeOutOfService{Target: target}); result.CodeOf(err) != result.WriteUnknown {
				outOfService = append(outOfService, target)
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
	return outOfService, presets
}

// wantNothingReverted checks that targets seen out of service by a process
// before are still out, since injectFaults returns none to service.
func (s *system) wantNothingReverted(seen map[int]map[Target]bool) {
	for p := range s.processes {
		c := s.processes[p].Store.Current()
		for target := range seen[p] {
			if !c.IsOutOfService(target) {
				s.Errorf("process %d: %v is in service again", p, target)
			}
		}
		seen[p] = make(map[Target]bool)
		for _, o := range c.Head().OutOfService() {
			seen[p][o.Target()] = true
		}
		for _, hold := range c.Holds() {
			seen[p][hold.Target()] = true
		}
	}
}

// heal ends all faults, starts one more process and synchronises all processes.
func (s *system) heal() {
	s.server.SetSlow(0)
	s.server.LoseAnswers(0)
	time.Sleep(time.Minute)
	s.startProcess()
	for range 3 {
		for p := range s.processes {
			s.processes[p].partitioned = false
			s.repair(p)
			if err := s.processes[p].FetchParts(s.Context()); err != nil {
				s.Error(err)
			}
			s.exchange(p, (p+1)%len(s.processes))
		}
	}
}

// Operators submit orders through any process while faults are injected. In the
// end each accepted or held order must be in force in all processes and in the
// service, and a VM that starts then must get all presets with their bodies.
func TestAcceptedOrdersSurviveFaults(t *testing.T) {
	for seed := range int64(60) {
		t.Run(fmt.Sprintf("seed%d", seed), func(t *testing.T) {
			withSystem(t, 4, func(s *system) {
				outOfService, presets := s.injectFaults(rand.New(rand.NewSource(seed)))
				s.heal()
				want := s.readStored(0)
				for p := range s.processes {
					c := s.processes[p].Store.Current()
					if !bytes.Equal(c.Head().Encode(), want.Encode()) || len(c.Holds()) > 0 {
						t.Errorf("process %d has not converged", p)
					}
				}
				for _, o := range outOfService {
					if !want.IsOutOfService(o) {
						t.Errorf("%v was lost", o)
					}
				}
				for _, name := range presets {
					p, ok := want.Preset(name)
					if !ok || p.Digest() != Digest([]byte(name)) {
						t.Errorf("preset %s was lost", name)
					}
					if _, ok := s.processes[4].Store.Current().Part(p.Digest()); !ok {
						t.Errorf("the body of preset %s was lost", name)
					}
				}
			})
		})
	}
}
