package frontend

import (
	"context"
	"fmt"
	"net/http"
	"runtime"
	"runtime/metrics"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/direct"
	logs "github.com/hyssoprelay/hyssoprelay/internal/standin"
	"github.com/hyssoprelay/hyssoprelay/platform/standin"
)

const (
	endlessCallers = 24
	endlessRate    = 20e6
	// maxEndlessHeap, in bytes, and maxEndlessWait are what a faulty endpoint may cost an entry and a
	// caller.
	maxEndlessHeap = 32 << 20
	maxEndlessWait = time.Second
	endlessWork    = 50 * time.Millisecond
	endlessSlots   = 16
)

// heapBytes returns the bytes of all objects on the heap.
func heapBytes() int64 {
	s := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	metrics.Read(s)
	return int64(s[0].Value.Uint64())
}

// heapGrowth runs f and returns by how many bytes the heap grew meanwhile.
func heapGrowth(f func()) int64 {
	runtime.GC()
	before, most := heapBytes(), int64(0)
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			most = max(most, heapBytes()-before)
			select {
			case <-done:
				return
			case <-time.After(2 * time.Millisecond):
			}
		}
	})
	f()
	close(done)
	wg.Wait()
	return most
}

// endlessOutcome is what 24 callers got.
type endlessOutcome struct {
	heap      int64
	slowest   time.Duration
	responses []response
}

// sendAll sends one request of each caller at once.
func (e *entry) sendAll(path string) endlessOutcome {
	o := endlessOutcome{responses: make([]response, endlessCallers)}
	took := make([]time.Duration, endlessCallers)
	o.heap = heapGrowth(func() {
		var wg sync.WaitGroup
		for i := range endlessCallers {
			wg.Go(func() {
				start := time.Now()
				o.responses[i] = e.request(context.Background(), path, fmt.Sprint("q", i), "k1")
				took[i] = time.Since(start)
			})
		}
		wg.Wait()
	})
	for _, d := range took {
		o.slowest = max(o.slowest, d)
	}
	return o
}

// wantServed checks the responses: all whole, but orders that the faulty endpoint got, which are
// truthfully said to have an unknown outcome, or not to have run if it refused them.
func (s *endlessSystem) wantServed(path string, element logs.Endless, responses []response) {
	s.t.Helper()
	whole := 0
	for i, resp := range responses {
		switch {
		case resp.err == nil && resp.status == http.StatusOK && strings.HasPrefix(path, "/stream/"):
			s.wantWholeStream(resp, 5)
			whole++
		case resp.err == nil && resp.status == http.StatusOK:
			whole++
		case !strings.HasPrefix(path, "/order/"):
			s.t.Errorf("status %d, %v: %s", resp.status, resp.err, strings.TrimSpace(resp.body))
		default:
			s.wantTrueOrder(i, element, resp)
		}
	}
	s.t.Logf("%d of %d whole", whole, len(responses))
}

// wantTrueOrder checks the response to an order that the faulty endpoint got.
func (s *endlessSystem) wantTrueOrder(i int, element logs.Endless, resp response) {
	s.t.Helper()
	code := resp.header.Get("X-Result-Code")
	if ran := s.faulty.Runs(fmt.Sprint("q", i)); ran == 1 && (code == "3009" || code == "3010") {
		return
	} else if element == logs.Refusal && ran == 0 && resp.status == http.StatusServiceUnavailable {
		return
	}
	s.t.Errorf("status %d, code %s, %v: %s", resp.status, resp.header.Get("X-Result-Code"), resp.err, strings.TrimSpace(resp.body))
}

// endlessSystem is an entry with a faulty endpoint and two others.
type endlessSystem struct {
	*system
	entry  *entry
	faulty *standin.Endpoint
}

// newEndlessSystem starts an entry. The parent test stops it, because that takes seconds.
func newEndlessSystem(parent, t *testing.T, sender *logs.EndlessSender) *endlessSystem {
	s := newSystem(parent, 0)
	for i := range 3 {
		ep := standin.StartEndpoint(fmt.Sprint("i-", i), uint64(i+1))
		parent.Cleanup(ep.Close)
		// A third of the requests goes to the faulty endpoint, and the others have room for them.
		ep.Work, ep.Slots = endlessWork, endlessSlots
		s.endpoints = append(s.endpoints, ep)
		s.put(ep, "a", "ready")
	}
	s.endpoints[0].AnswerEndless(sender)
	e := s.start("entry1", s.store.Addr())
	s.t = t
	return &endlessSystem{system: s, entry: e, faulty: s.endpoints[0]}
}

// One of three endpoints sends without end, until the connection is closed. Guards against memory
// that grows with it, callers who wait for it, and connections that are left to it.
func TestEndlessResponsesAreCutOff(t *testing.T) {
	var stops sync.WaitGroup
	for _, c := range []struct {
		element logs.Endless
		limit   direct.Limit
		paths   []string
	}{
		{logs.HeaderLine, "headBytes", []string{"/look/1", "/order/1"}},
		{logs.HeaderLines, "headLines", []string{"/look/1"}},
		{logs.StatusLine, "headBytes", []string{"/look/1"}},
		{logs.Informational, "informational", []string{"/look/1", "/stream/1"}},
		{logs.NoProtocol, "headBytes", []string{"/look/1", "/stream/1"}},
		{logs.StreamHead, "headBytes", []string{"/stream/1"}},
		{logs.Body, "memory", []string{"/look/1", "/order/1"}},
		{logs.ChunkedBody, "memory", []string{"/look/1"}},
		{logs.Failure, "memory", []string{"/look/1", "/order/1"}},
		{logs.Refusal, "discarded", []string{"/look/1", "/order/1", "/stream/1"}},
		{logs.OtherResponse, "discarded", []string{"/look/1"}},
		{logs.Comments, "noEvent", []string{"/stream/1"}},
		{logs.BlankLines, "noEvent", []string{"/stream/1"}},
		{logs.Event, "event", []string{"/stream/1"}},
		{logs.RepeatedEvents, "repeatedEvents", []string{"/stream/1"}},
		{logs.ChunkExtension, "framing", []string{"/look/1"}},
		{logs.Extensions, "framing", []string{"/look/1"}},
		{logs.Trailer, "framing", []string{"/look/1"}},
	} {
		for _, path := range c.paths {
			sub := func(t2 *testing.T) { stops.Go(checkElement(t, t2, c.element, c.limit, path)) }
			t.Run(string(c.element)+path, sub)
		}
	}
	stops.Wait()
}

// checkElement sends requests while an endpoint sends the element without end. It returns what stops
// the entry.
func checkElement(parent, t *testing.T, element logs.Endless, limit direct.Limit, path string) (stop func()) {
	sender := &logs.EndlessSender{Element: element, Rate: endlessRate}
	s := newEndlessSystem(parent, t, sender)
	o := s.entry.sendAll(path)
	time.Sleep(20 * time.Millisecond) // until the endpoint has noticed
	t.Logf("heap grew by %.1f MB, slowest %v, %d endless responses, %d connections open",
		float64(o.heap)/1e6, o.slowest.Round(time.Millisecond), sender.Sent(), sender.Open())
	if sender.Sent() == 0 {
		t.Error("the faulty endpoint got no request")
	}
	s.wantServed(path, element, o.responses)
	if o.heap > maxEndlessHeap || o.slowest > maxEndlessWait || sender.Open() > 0 {
		t.Error("a faulty endpoint costs too much")
	}
	s.eventually("the log names the limit", func() bool { return s.entry.log.Has(fmt.Sprintf(`"limit":%q`, limit)) })
	s.t = parent
	return s.entry.stop
}
