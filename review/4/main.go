// Command 4 plays a case of the second review: the relays of a data centre that read the store lose power right
// after an account key is taken away, and some of the others go on accepting that key.
package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssoprelay/hyssoprelay/internal/pause"
	"github.com/hyssoprelay/hyssoprelay/platform/standin"
	"github.com/hyssoprelay/hyssoprelay/review/probe2"
)

const (
	recordPath = "review/4/record.txt"
	// relays is the number of relays of the data centre, and lost how many of them lose power: those that are
	// first in the order in which they read the store.
	relays = 18
	lost   = 3
	// routes is the number of routes of the configuration.
	routes = 265
	// rounds is how often a key is taken away, roundTime the time from one change to the next, and outage the
	// time for which the lost relays stay away.
	rounds    = 5
	roundTime = 20 * time.Second
	outage    = 10 * time.Second
	// settleTime is the time before the first change.
	settleTime = 6 * time.Second
	// revokeTime is the bound of the rule.
	revokeTime = 5 * time.Second
	// askInterval is the time between two requests with the key to each relay.
	askInterval = 250 * time.Millisecond
	// deadlineMs is how long a caller waits.
	deadlineMs = 1500
	memoryMB   = 284
	lineMbps   = 100
	applyMs    = 5000
	dataCentre = "z"
	keptKey    = "kept"
)

// killTimes are the times from the store's answer to the operator to the loss of power, by round.
var killTimes = [rounds]time.Duration{
	5 * time.Millisecond, 7 * time.Millisecond, 10 * time.Millisecond, 14 * time.Millisecond, 20 * time.Millisecond,
}

// system is the processes and stand-ins of the case.
type system struct {
	store *standin.Store
	desks []*standin.Endpoint
	// names are the relays in the order in which they read the store.
	names  []string
	dir    string
	record *probe2.Record

	mu    sync.Mutex // guards procs and accepted
	procs map[string]*probe2.Process
	// accepted counts the requests of a round that ran with a key that was gone, by relay, and broken the rounds
	// with such requests.
	accepted map[string]int
	broken   int
}

// configuration returns a version of the configuration with the given keys.
func configuration(version int, keys []string) ([]byte, error) {
	all := make([]map[string]any, 0, routes)
	for i := range routes {
		all = append(all, map[string]any{
			"name": fmt.Sprintf("r%d", i), "hostname": "h", "prefix": fmt.Sprintf("/route%d/", i), "kind": "idempotent",
			"service": "desk", "timeoutMs": 1000, "targetLatencyMs": 150, "priority": 2, "maxAttempts": 2,
			"allowAnonymous": false,
		})
	}
	return json.Marshal(map[string]any{
		"version": version, "routes": all,
		"services": []map[string]any{{"name": "desk", "healthPath": "/health", "maxConnections": 1800, "coldStartS": 0, "coldPerS": 0}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []map[string]any{{"name": "t1", "apiKeys": keys}},
	})
}

// startAll starts relays and waits until they are ready.
func (s *system) startAll(names []string) error {
	errs := make(chan error, len(names))
	for _, name := range names {
		go func() {
			p, err := probe2.Relay{
				Name: name, DataCentre: dataCentre, Store: s.store.Addr(), Dir: s.dir, MemoryMB: memoryMB, LineMbps: lineMbps, ApplyMs: applyMs,
			}.Start()
			s.mu.Lock()
			defer s.mu.Unlock()
			if p != nil {
				s.procs[name] = p
			}
			errs <- err
		}()
	}
	var first error
	for range names {
		first = cmp.Or(first, <-errs)
	}
	return first
}

// killAll ends relays.
func (s *system) killAll(names []string) {
	for _, name := range names {
		s.mu.Lock()
		p := s.procs[name]
		delete(s.procs, name)
		s.mu.Unlock()
		if p != nil {
			_ = p.Kill() // what does not end is left to the machine
		}
	}
}

// losePower ends relays at once, without waiting for their end.
func (s *system) losePower(names []string) {
	for _, name := range names {
		if err := s.procs[name].Signal(syscall.SIGKILL); err != nil {
			s.record.Logf("%s: %v", name, err)
		}
	}
}

// runs returns how often a request ran.
func (s *system) runs(id string) int {
	n := 0
	for _, d := range s.desks {
		n += d.Runs(id)
	}
	return n
}

// ask sends a request with a key that was taken away at ack to a relay.
func (s *system) ask(name, id, key string, ack time.Time) {
	age := time.Since(ack)
	status := 0
	if ch, err := probe2.Dial(s.procs[name].Callers); err == nil {
		defer ch.Close()
		if ch.Send(probe2.Request{Method: http.MethodGet, Path: "/route1/x", ID: id, DeadlineMs: deadlineMs, Key: key}) == nil {
			status = ch.Receive(http.MethodGet, 2*time.Second).Status
		}
	}
	runs := s.runs(id)
	s.record.Logf("%s: request %s with %s, sent %d ms after the ack, status %d, ran %d times", name, id, key, age.Milliseconds(), status, runs)
	if runs > 0 && age > revokeTime {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.accepted[name]++
	}
}

// takeAway stores a configuration without a key and, if trouble is set, has the readers lose power after the
// given time. It returns the time of the store's answer to the operator.
func (s *system) takeAway(config []byte, key string, after time.Duration, trouble bool) time.Time {
	s.store.Put("op/config", config)
	ack := time.Now()
	time.Sleep(after)
	if trouble {
		s.losePower(s.names[:lost])
	}
	s.record.Logf("%s is taken away; %v lose power %d ms later: %v", key, s.names[:lost], time.Since(ack).Milliseconds(), trouble)
	return ack
}

// askAll sends requests with a key that was taken away at ack to the relays that are left, until the outage ends.
func (s *system) askAll(ctx context.Context, key string, ack time.Time) {
	for n := 0; time.Since(ack) < outage-time.Second && ctx.Err() == nil; n++ {
		var asking sync.WaitGroup
		for _, name := range s.names[lost:] {
			asking.Add(1)
			go func() {
				defer asking.Done()
				s.ask(name, fmt.Sprintf("%s-%s-%d", key, name, n), key, ack)
			}()
		}
		asking.Wait()
		pause.For(ctx, askInterval)
	}
}

// round plays one change.
func (s *system) round(ctx context.Context, n int, keys []string, trouble bool) error {
	begin := time.Now()
	gone, left := keys[len(keys)-1], keys[:len(keys)-1]
	config, err := configuration(4+3*n, left)
	if err != nil {
		return err
	}
	s.accepted = map[string]int{}
	s.askAll(ctx, gone, s.takeAway(config, gone, killTimes[n], trouble))
	if len(s.accepted) > 0 {
		s.broken++
	}
	text := fmt.Sprintf("round %d: requests with %s that ran although it had been taken away more than %v before, by relay: %v", n+1, gone, revokeTime, s.accepted)
	s.record.Logf("%s", text)
	fmt.Println(text)
	pause.For(ctx, time.Until(begin.Add(outage)))
	if trouble && n < rounds-1 {
		s.killAll(s.names[:lost])
		if err := s.startAll(s.names[:lost]); err != nil {
			return err
		}
	}
	if n < rounds-1 {
		pause.For(ctx, time.Until(begin.Add(roundTime)))
	}
	return nil
}

// relayNames returns the names of the relays in the order in which they read the store.
func relayNames() []string {
	names := make([]string, 0, relays)
	for i := range relays {
		names = append(names, fmt.Sprintf("front-%d", i+1))
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)) })
	return names
}

func run(ctx context.Context, dir string, trouble bool) (int, error) {
	record, err := probe2.NewRecord(recordPath)
	if err != nil {
		return probe2.NotRun, err
	}
	defer func() { _ = record.Close() }()
	s := &system{
		store: standin.NewStore(), names: relayNames(), dir: dir, record: record,
		procs: map[string]*probe2.Process{},
	}
	defer s.store.Close()
	keys := []string{keptKey}
	for i := range rounds {
		keys = append(keys, fmt.Sprintf("key%d", rounds-i))
	}
	config, err := configuration(1, keys)
	if err != nil {
		return probe2.NotRun, err
	}
	s.store.Put("op/config", config)
	for i := range 3 {
		e := standin.StartEndpoint(fmt.Sprintf("i-desk%d", i+1), uint64(1000+i))
		defer e.Close()
		s.desks = append(s.desks, e)
		s.store.Put(e.Entry("desk", dataCentre, "ready"))
	}
	defer s.killAll(s.names)
	if err := s.startAll(s.names); err != nil {
		return probe2.NotRun, err
	}
	record.Logf("%d relays are ready; the order in which they read the store: %v", relays, s.names)
	pause.For(ctx, settleTime)
	for n := range rounds {
		if err := s.round(ctx, n, keys[:len(keys)-n], trouble); err != nil {
			return probe2.NotRun, err
		}
	}
	if s.broken > 0 {
		return probe2.Broken, nil
	}
	return probe2.Held, nil
}

func main() { probe2.Main(run) }
