package demo

import (
	"bytes"
	"context"
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hyssoprelay/hyssoprelay/internal/operator/command"
)

// Order runs a command of the product's command line against all entries.
func (s *System) Order(ctx context.Context, args ...string) (string, error) {
	var out bytes.Buffer
	p := &command.Program{Stdout: &out, Stderr: &out, Now: time.Now, Env: s.env}
	if code := p.Run(ctx, append([]string{"--plain"}, args...)); code != 0 {
		return out.String(), eris.Errorf("%s: exit %d: %s", strings.Join(args, " "), code, out.String())
	}
	return out.String(), nil
}

func (s *System) env(name string) string {
	switch name {
	case "HYSSOPRELAY_TOKEN":
		return OperatorToken
	case "HYSSOPRELAY_ADMIN":
		var as []string
		for _, e := range s.EntriesOf("") {
			as = append(as, e.Process.AdminAddress())
		}
		return strings.Join(as, ",")
	}
	return os.Getenv(name)
}

// Change gives an order and returns how long it took until every process had
// applied it.
func (s *System) Change(ctx context.Context, name string, args ...string) (Change, error) {
	begun := time.Now()
	before := s.newest()
	if _, err := s.Order(ctx, args...); err != nil {
		return Change{}, err
	}
	for s.oldest() <= before {
		select {
		case <-time.After(time.Millisecond):
		case <-ctx.Done():
			return Change{}, eris.Errorf("%s is not in force everywhere", name)
		}
	}
	return Change{Name: name, Took: time.Since(begun)}, nil
}

// generations returns the generation in force in each process.
func (s *System) generations() []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	var gs []uint64
	for _, e := range s.entries {
		gs = append(gs, e.Process.Generation())
	}
	for _, a := range s.agents {
		gs = append(gs, a.Process.Generation())
	}
	return gs
}

func (s *System) newest() uint64 {
	var g uint64
	for _, x := range s.generations() {
		g = max(g, x)
	}
	return g
}

func (s *System) oldest() uint64 {
	gs := s.generations()
	g := gs[0]
	for _, x := range gs {
		g = min(g, x)
	}
	return g
}
