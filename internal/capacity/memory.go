package capacity

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/pause"

	"github.com/hyssoprelay/hyssoprelay/internal/caller"
	"github.com/hyssoprelay/hyssoprelay/internal/demo"
	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/placement"
	"github.com/hyssoprelay/hyssoprelay/internal/measure"
	"github.com/hyssoprelay/hyssoprelay/internal/standin/engine"
	"github.com/hyssoprelay/hyssoprelay/internal/timeline"
)

// Memory measures what members, events and requests take.
func Memory() Section {
	return Section{Name: "memory", Tables: memoryTables}
}

func memoryTables(ctx context.Context) ([]measure.Table, error) {
	open, err := openTable(ctx)
	if err != nil {
		return nil, err
	}
	kept, err := keptTable(ctx)
	return []measure.Table{eventTable(), memberTable(), open, kept}, err
}

func eventTable() measure.Table {
	sizes := []float64{1000, 4000, 8000}
	s := series{what: "memory", unit: "B"}
	for _, n := range sizes {
		before := heap()
		r := &timeline.Ring{Clock: &timeline.Clock{}, Capacity: int(n)}
		for i := range int(n) {
			r.Add(timeline.Placed, fmt.Sprintf("request-%032d", i), "endpoint-0000", "", 1, time.UnixMicro(int64(i)))
		}
		s.values = append(s.values, heap()-before)
		runtime.KeepAlive(r)
	}
	return table("Events of the time line", "kept events", nil, sizes, s)
}

func memberTable() measure.Table {
	sizes := []float64{32, 128, 416}
	s := series{what: "memory", unit: "B"}
	update := series{what: "taking in a report of each", unit: "us"}
	for _, n := range sizes {
		before := heap()
		b := &placement.Balancer{DataCentre: "a", Seed: 1}
		take := func() {
			for i := range int(n) {
				b.Update(placement.Report{
					Endpoint: fmt.Sprintf("endpoint-%05d", i), DataCentre: "a", Incarnation: 1,
					Routes: []string{"small", "large"}, Allowance: 16, Capacity: 16, Running: i % 16, ValidAt: time.UnixMicro(1),
				}, time.UnixMicro(1))
			}
		}
		take()
		s.values = append(s.values, heap()-before)
		update.values = append(update.values, timeOf(20, take))
	}
	return table("An entry's picture of endpoints", "endpoints", nil, sizes, s, update)
}

// slowSystem returns a system of one entry whose engines take tokenMicros for
// a token.
func slowSystem(ctx context.Context, engines int, tokenMicros int64) (*demo.System, error) {
	s := &demo.System{
		DataCentres: []string{"a"}, Entries: 1, Engines: engines,
		EngineSettings: engine.Settings{Capacity: 16, ColdBound: 8, WarmAfter: 4, TokenMicros: tokenMicros},
		Preset:         demo.Preset("ordinary", 4),
	}
	return s, s.Start(ctx)
}

const chatBody = `{"model":"small","stream":true,"max_tokens":24,"messages":[{"role":"user","content":"a quote"}]}`

func send(ctx context.Context, e *demo.Entry, id string) (*http.Response, error) {
	url := "http://" + e.Process.CallerAddress() + caller.PathChat
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(chatBody))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Authorization", "Bearer "+demo.Key)
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Deadline-Ms", "30000")
	return http.DefaultClient.Do(r)
}

// openTable measures streams that are open: half of 24 tokens are on their way.
func openTable(ctx context.Context) (measure.Table, error) {
	sizes := []float64{16, 48, 96}
	s := series{what: "memory of all ends", unit: "B"}
	for _, n := range sizes {
		v, err := openMemory(ctx, int(n))
		if err != nil {
			return measure.Table{}, err
		}
		s.values = append(s.values, v)
	}
	notes := []string{"Caller, entry, agent and engine in one process."}
	return table("Open streams", "requests", notes, sizes, s), nil
}

func openMemory(ctx context.Context, n int) (float64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sys, err := slowSystem(ctx, 32, 200_000)
	if err != nil {
		return 0, err
	}
	defer sys.Stop()
	before := heap()
	callers, leave := context.WithCancel(ctx)
	defer leave()
	done := make(chan error, n)
	for i := range n {
		go func() {
			res, err := send(callers, sys.EntriesOf("")[0], fmt.Sprintf("open-%d", i))
			if err == nil {
				_, err = io.Copy(io.Discard, res.Body)
				_ = res.Body.Close()
			}
			done <- err
		}()
	}
	pause.For(ctx, 2*time.Second)
	used := heap() - before
	leave()
	for range n {
		if err := <-done; err != nil && !errors.Is(err, context.Canceled) {
			return 0, err
		}
	}
	return used, nil
}

// keptTable measures answers that the agent keeps, with the events of both
// processes.
func keptTable(ctx context.Context) (measure.Table, error) {
	sizes := []float64{250, 500, 1000}
	s := series{what: "memory of entry and agent", unit: "B"}
	for _, n := range sizes {
		v, err := keptMemory(ctx, int(n))
		if err != nil {
			return measure.Table{}, err
		}
		s.values = append(s.values, v)
	}
	notes := []string{"Streams of 24 tokens, kept for two minutes; with the events of both processes."}
	return table("Kept answers", "answers", notes, sizes, s), nil
}

func keptMemory(ctx context.Context, n int) (float64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sys, err := slowSystem(ctx, 1, 1)
	if err != nil {
		return 0, err
	}
	defer sys.Stop()
	before := 0.0
	for i := range n + 10 {
		if i == 10 {
			before = heap()
		}
		res, err := send(ctx, sys.EntriesOf("")[0], fmt.Sprintf("kept-%d", i))
		if err != nil {
			return 0, err
		}
		_, err = io.Copy(io.Discard, res.Body)
		_ = res.Body.Close()
		if err != nil {
			return 0, err
		}
	}
	return heap() - before, nil
}
