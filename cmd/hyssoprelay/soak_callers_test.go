package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

const (
	// soakCallers is how many callers ask at once, each on its own connection.
	soakCallers = 12
	// callerTime is how long a caller waits for an answer.
	callerTime = 8 * time.Second
	// callerPause is the longest pause of a caller between two requests.
	callerPause = 60 * time.Millisecond
	// lateRuns is how long a request may still reach an endpoint after the
	// caller has given up: an endpoint's line may hold it back that long.
	lateRuns = time.Second
)

// kinds are what callers ask for: a path's first part each.
var kinds = []string{"look", "order", "stream"}

// asked is one request and what became of it.
type asked struct {
	id, kind, key string
	relay         string
	sent, ended   time.Time
	status        int
	header        http.Header
	body          string
	err           error
}

func (a asked) ok() bool { return a.err == nil && a.status == http.StatusOK }

// caller asks one request after another and keeps its connection until that is
// closed.
type caller struct {
	s      *soakSystem
	client *http.Client
	at     *relayProc
}

var askedSoFar atomic.Int64

// ask sends one request to the caller's relay. An empty id means a new one.
func (c *caller) ask(kind, key, id string, now time.Time) asked {
	if id == "" {
		id = fmt.Sprint("r", askedSoFar.Add(1))
	}
	a := asked{id: id, kind: kind, key: key, relay: c.at.name, sent: now}
	method := http.MethodGet
	if kind != "look" {
		method = http.MethodPost
	}
	r, err := http.NewRequest(method, "http://"+c.at.callers+"/"+kind+"/1", nil)
	if err != nil {
		a.err = err
		return a
	}
	r.Host = "h"
	r.Header.Set("X-Hyssoprelay-Attempt-Id", id)
	r.Header.Set("X-Hyssoprelay-Deadline-Ms", strconv.Itoa(int(callerTime.Milliseconds()/2)))
	r.Header.Set("X-Api-Key", key)
	resp, err := c.client.Do(r)
	if err == nil {
		var b []byte
		b, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		a.status, a.header, a.body = resp.StatusCode, resp.Header, string(b)
		if resp.Close {
			c.at = nil
		}
	}
	a.err, a.ended = err, time.Now()
	if err != nil {
		c.at = nil
	}
	return a
}

// connect chooses a relay that says that it is ready, as the balancer in front
// of relays does.
func (c *caller) connect(rng *rand.Rand) bool {
	for _, i := range rng.Perm(len(c.s.relays)) {
		r := c.s.relays[i]
		resp, err := (&http.Client{Timeout: 200 * time.Millisecond}).Get("http://" + r.ready + "/api/ready")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			c.client = &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}, Timeout: callerTime}
			c.at = r
			return true
		}
	}
	return false
}

// callers are all callers of a soak.
type callers struct {
	s    *soakSystem
	stop func()

	mu  sync.Mutex // guards all
	all []asked
}

func (s *soakSystem) startCallers(seed uint64) *callers {
	cs := &callers{s: s}
	quit := make(chan struct{})
	var wg sync.WaitGroup
	for i := range soakCallers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			cs.run(rand.New(rand.NewPCG(seed, uint64(100+i))), quit)
		}()
	}
	cs.stop = func() {
		close(quit)
		wg.Wait()
	}
	return cs
}

func (cs *callers) run(rng *rand.Rand, quit chan struct{}) {
	c := &caller{s: cs.s}
	for {
		select {
		case <-quit:
			return
		case <-time.After(time.Duration(rng.Int64N(int64(callerPause)))):
		}
		if c.at == nil && !c.connect(rng) {
			continue
		}
		key := keptKey
		if rng.IntN(4) == 0 {
			key = lostKey
		}
		a := c.ask(kinds[rng.IntN(len(kinds))], key, "", time.Now())
		cs.mu.Lock()
		cs.all = append(cs.all, a)
		cs.mu.Unlock()
	}
}

// check holds what callers and endpoints saw against the promises.
func (cs *callers) check() {
	cs.s.t.Helper()
	time.Sleep(lateRuns)
	for _, a := range cs.all {
		if why := cs.broken(a); why != "" {
			cs.s.t.Errorf("%s: %s %s by %s at %s, %v later %d %v %q, ran %d times", why, a.kind, a.id, a.relay,
				a.sent.Format(time.StampMicro), a.ended.Sub(a.sent), a.status, a.err, a.body, cs.s.runs(a.id))
		}
	}
}

// broken returns which promise a request broke, or "".
func (cs *callers) broken(a asked) string {
	runs := cs.s.runs(a.id)
	switch {
	case a.kind == "order" && runs > 1:
		return "an order ran twice"
	case a.key == lostKey && runs > 0 && cs.s.refused(a.sent, a.ended):
		return "a request with a key that was taken away ran"
	case a.err != nil:
		return ""
	case cs.fromLeaving(a):
		return "a request was sent to an endpoint that had said that it is leaving"
	case a.status == http.StatusOK && !a.whole():
		return "a success is not whole"
	case a.status == http.StatusOK && a.header.Get("X-Hyssoprelay-Attempt-Id") != a.id:
		return "a success is another request's"
	case a.saysNotRun() && runs > 0:
		return "a request that was said not to have run ran"
	default:
		return ""
	}
}

// fromLeaving reports whether an answer is of an endpoint that had told the relay long enough before
// that it is leaving.
func (cs *callers) fromLeaving(a asked) bool {
	seal := a.header.Get("X-Hyssoprelay-Replica-Seal")
	for _, earlier := range cs.all {
		told := earlier.err == nil && earlier.relay == a.relay && earlier.header.Get("Server-Leaving") != ""
		if told && earlier.header.Get("X-Hyssoprelay-Replica-Seal") == seal && cs.s.mustKnowLeaving(seal, earlier, a) {
			return true
		}
	}
	return false
}

// saysNotRun reports whether the answer says that the request did not run.
func (a asked) saysNotRun() bool {
	code, err := strconv.Atoi(a.header.Get("X-Result-Code"))
	if err != nil {
		return false // an endpoint's own answer
	}
	info, ok := result.Lookup(result.Code(code))
	return ok && info.Effect() == result.NotRun
}

// whole reports whether all of a success is there.
func (a asked) whole() bool {
	if a.kind != "stream" {
		return strings.HasPrefix(a.body, "answer of i-")
	}
	want := ""
	for i := 1; i <= soakEvents; i++ {
		want += fmt.Sprintf("id: %d\ndata: token %d\n\n", i, i)
	}
	return a.body == want
}

// sum says how many requests had which end.
func (cs *callers) sum() string {
	ends := map[string]int{}
	for _, a := range cs.all {
		switch {
		case a.err != nil:
			ends["cut"]++
		default:
			ends[strconv.Itoa(a.status)]++
		}
	}
	return fmt.Sprintf("%d requests: %v", len(cs.all), ends)
}
