package claim

import (
	"context"
	"fmt"
	"math/rand"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/hyssoprelay/hyssoprelay/internal/pause"
	"github.com/hyssoprelay/hyssoprelay/internal/standin/kv"
)

const (
	testWindow  = 2 * time.Second
	testMargin  = time.Second
	testTimeout = 500 * time.Millisecond
)

// countingEndpoint is an endpoint that counts how often each request was run.
type countingEndpoint struct {
	mu   sync.Mutex
	runs map[Key]int
}

func (e *countingEndpoint) run(k Key) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs[k]++
}

func (e *countingEndpoint) count(k Key) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[k]
}

// testCluster is a fake key-value service with agents in front of one endpoint.
type testCluster struct {
	server   *kv.Server
	endpoint *countingEndpoint
	agents   []*Batcher
	claims   *Registry
	history  *history
	runErrs  []chan error
	rng      *lockedRand
}

// lockedRand is a seeded random source that is safe for concurrent use.
type lockedRand struct {
	mu sync.Mutex
	r  *rand.Rand
}

func (l *lockedRand) intn(n int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.r.Intn(n)
}

func (l *lockedRand) durationBelow(d time.Duration) time.Duration {
	return time.Duration(l.intn(int(d)))
}

func newTestCluster(ctx context.Context, seed int64, agents int) *testCluster {
	c := &testCluster{
		server:   &kv.Server{},
		endpoint: &countingEndpoint{runs: make(map[Key]int)},
		history:  &history{},
		rng:      &lockedRand{r: rand.New(rand.NewSource(seed))},
	}
	direct := &kv.Direct{Server: c.server, Timeout: testTimeout}
	c.claims = &Registry{KV: direct, DispatchWindow: testWindow, ReleaseMargin: testMargin, Retention: 24 * time.Hour, Now: time.Now}
	for i := range agents {
		b := newBatcher(direct)
		b.Agent = fmt.Sprintf("127.0.0.1:%d", 7000+i)
		c.agents = append(c.agents, b)
		done := make(chan error, 1)
		go func() { done <- b.Run(ctx) }()
		c.runErrs = append(c.runErrs, done)
	}
	return c
}

// newBatcher returns a Batcher with the intervals that internal/agent sets.
func newBatcher(d *kv.Direct) *Batcher {
	return &Batcher{
		KV:             d,
		Agent:          "127.0.0.1:7000",
		Endpoint:       "press",
		DispatchWindow: testWindow,
		Retention:      24 * time.Hour,
		Interval:       40 * time.Millisecond,
		Linger:         80 * time.Millisecond,
		MaxQueue:       1000,
		MaxBacklog:     1000,
		Now:            time.Now,
		Metrics:        metrics.NewRegistry(),
	}
}

func (c *testCluster) waitStopped(t *testing.T) {
	t.Helper()
	for _, d := range c.runErrs {
		if err := <-d; err != nil {
			t.Error(err)
		}
	}
}

func testKey(i int) Key {
	k, err := NewKey("print", "kennel", fmt.Sprintf("order %d/a", i))
	if err != nil {
		panic(err)
	}
	return k
}

// sendRequest sends one attempt of a request to an agent, as an entry does.
func (c *testCluster) sendRequest(agent int, k Key, attempt string, wait time.Duration) Result {
	b := c.agents[agent]
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	call := c.history.callTime()
	v := b.Claim(ctx, Request{Key: k, BodyDigest: "d", RequestID: attempt, AttemptID: attempt})
	c.history.recordClaim(call, k, attempt, v)
	g, ok := v.(Granted)
	if !ok {
		return v
	}
	c.dispatch(b, k, attempt, g.Grant)
	return v
}

// dispatch runs a granted request. One agent in four is suspended before it
// checks its window, and one in eight dies before it stores the outcome.
func (c *testCluster) dispatch(b *Batcher, k Key, attempt string, g Grant) {
	if c.rng.intn(4) == 0 {
		time.Sleep(c.rng.durationBelow(4 * testWindow))
	}
	s := NotRun
	if g.MayDispatch(time.Now()) {
		c.endpoint.run(k)
		s = Completed
	}
	if c.rng.intn(8) == 0 {
		return
	}
	c.history.recordBackgroundClose(k, attempt, s)
	if err := b.StoreOutcome(g, s, Answer{Status: 200, Body: []byte("printed")}); err != nil {
		panic(err)
	}
}

// releaseOpenClaims tries to release each open claim with the outcome that the
// endpoint shows at that time.
func (c *testCluster) releaseOpenClaims(ctx context.Context) {
	p, err := c.claims.List(ctx, "", 1000)
	if err != nil {
		return
	}
	for _, o := range p.Claims() {
		s := NotRun
		if c.endpoint.count(o.Record().Key()) > 0 {
			s = Ran
		}
		call := c.history.callTime()
		err := c.claims.Release(ctx, o.Record().Key(), s, "operator")
		c.history.recordRelease(call, o.Record(), s, err)
	}
}

// injectFaults switches faults on and off until ctx ends, then switches all
// off.
func (c *testCluster) injectFaults(ctx context.Context) {
	for ctx.Err() == nil {
		pause.For(ctx, c.rng.durationBelow(2*time.Second))
		switch c.rng.intn(6) {
		case 0:
			c.server.SetDown(true)
			pause.For(ctx, c.rng.durationBelow(3*time.Second))
			c.server.SetDown(false)
		case 1:
			c.server.SetSlow(c.rng.durationBelow(3 * testTimeout))
		case 2:
			c.server.LoseAnswers(1 + c.rng.intn(4))
		case 3:
			c.server.LapseLeases(time.Minute)
		default:
			c.server.SetSlow(c.rng.durationBelow(5 * time.Millisecond))
		}
	}
	c.server.SetDown(false)
	c.server.SetSlow(0)
	c.server.LoseAnswers(0)
}

const (
	clusterAgents = 3
	clusterKeys   = 6
	clusterRounds = 5
)

// runWorkload lets callers repeat their requests over all agents while faults
// occur and an operator releases open claims.
func (c *testCluster) runWorkload() {
	ctx, cancel := context.WithCancel(context.Background())
	faultsDone := make(chan struct{})
	go func() {
		c.injectFaults(ctx)
		close(faultsDone)
	}()
	var wg sync.WaitGroup
	for k := range clusterKeys {
		for caller := range 2 {
			wg.Go(func() {
				for r := range clusterRounds {
					attempt := fmt.Sprintf("k%dc%dr%d", k, caller, r)
					c.sendRequest(c.rng.intn(clusterAgents), testKey(k), attempt, c.rng.durationBelow(4*time.Second))
					time.Sleep(c.rng.durationBelow(time.Second))
				}
			})
		}
	}
	operatorCtx, stopOperator := context.WithCancel(context.Background())
	operatorDone := make(chan struct{})
	go func() {
		for operatorCtx.Err() == nil {
			c.releaseOpenClaims(operatorCtx)
			pause.For(operatorCtx, 500*time.Millisecond)
		}
		close(operatorDone)
	}()
	wg.Wait()
	stopOperator()
	<-operatorDone
	cancel()
	<-faultsDone
}

// runUntilDone sends each request until it is done, while the operator releases
// open claims, and flushes the agents.
func (c *testCluster) runUntilDone(t *testing.T) {
	t.Helper()
	for k := range clusterKeys {
		for try := 0; ; try++ {
			if try == 100 {
				t.Errorf("%s is lost: not done after 100 attempts", testKey(k))
				break
			}
			v := c.sendRequest(try%clusterAgents, testKey(k), fmt.Sprintf("k%dfinal%d", k, try), time.Minute)
			if _, done := v.(AlreadyRun); done {
				break
			}
			time.Sleep(time.Second)
			c.releaseOpenClaims(context.Background())
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	for _, b := range c.agents {
		if err := b.Flush(ctx); err != nil {
			t.Error(err)
		}
	}
}

// Guards against a request that runs twice or is lost. Callers repeat requests
// at any agent while the service goes down or replies late or not at all, agents
// are suspended between claim and dispatch or die after the run, and an
// operator releases open claims. A request runs twice if a lost reply is taken
// for a rejection or if a suspended agent dispatches after the release. It never
// runs if an open claim is lost.
func TestOrdersRunOnceUnderFaults(t *testing.T) {
	for seed := range int64(40) {
		t.Run(fmt.Sprintf("seed%d", seed), func(t *testing.T) {
			var c *testCluster
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				c = newTestCluster(ctx, seed, clusterAgents)
				c.runWorkload()
				c.runUntilDone(t)
				cancel()
				c.waitStopped(t)
				time.Sleep(time.Minute) // lets delayed calls end inside the synctest bubble
			})
			for k := range clusterKeys {
				if n := c.endpoint.count(testKey(k)); n != 1 {
					t.Errorf("%s was run %d times, want once", testKey(k), n)
				}
			}
			c.history.check(t)
		})
	}
}
