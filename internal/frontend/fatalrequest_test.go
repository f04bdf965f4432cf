package frontend

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"regexp"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/fleet/fanout"
)

const (
	// mostEnds is how many endpoints may end under one request before it must be sent to no other.
	mostEnds = 3
	// maxAttempts is that of the routes in config.
	maxAttempts = 2
	// fatalTries is how often the caller of a fatal request sends it.
	fatalTries = 8
	// callerTime is the time that a caller has for all its tries, unless its test says otherwise.
	callerTime = 8 * time.Second
	// fatalQuery is the part of the target that tells the fatal request from sound ones.
	fatalQuery = "?fatal"
)

// fatalRequest is a request under which each endpoint ends, and the caller that repeats it.
type fatalRequest struct {
	path string
	// pause is the caller's time between a failure and its next try.
	pause time.Duration
	// copies is the number of callers that send the request, and repeat it, at the same time.
	copies int
	// callerTime is the time that each caller has for all its tries; zero means the constant.
	callerTime time.Duration
	// events is the number of events that each endpoint sends before it ends.
	events int
}

var eventID = regexp.MustCompile(`(?m)^id: (\d+)$`)

// sendFatal sends the request, and repeats it at one entry after the other until it has been answered.
// It returns the responses.
func (s *crashingSystem) sendFatal(q fatalRequest, copyNumber int) []response {
	var all []response
	received, givesUpAt := "", time.Now().Add(cmp.Or(q.callerTime, callerTime))
	for try := range fatalTries {
		e := s.entries[(try+copyNumber)%len(s.entries)]
		h := http.Header{}
		h.Set("X-Hyssoprelay-Prompt-Prefix", "f1:40,c1:400,77777:200")
		h.Set("X-Hyssoprelay-Deadline-Ms", fmt.Sprint(time.Until(givesUpAt).Milliseconds()))
		if received != "" {
			h.Set("Last-Event-Id", received)
		}
		resp := e.requestWithHeader(context.Background(), q.path+fatalQuery, fmt.Sprint("fatal", copyNumber, "-", try), "k1", h)
		all = append(all, resp)
		if resp.err == nil && (resp.status == http.StatusOK || resp.status/100 == 4) {
			return all
		}
		if ids := eventID.FindAllStringSubmatch(resp.body, -1); ids != nil {
			received = ids[len(ids)-1][1]
		}
		time.Sleep(q.pause)
	}
	return all
}

// playFatal sends the fatal request beside sound ones, until its callers have given up.
func (s *crashingSystem) playFatal(q fatalRequest) [][]response {
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.play(q.path, 2500*time.Millisecond+fatalTries*q.pause, 33, 0)
	}()
	time.Sleep(500 * time.Millisecond)
	all := make([][]response, q.copies)
	var wg sync.WaitGroup
	for i := range q.copies {
		wg.Go(func() { all[i] = s.sendFatal(q, i) })
	}
	wg.Wait()
	<-done
	return all
}

// wantEndsBounded checks that the request ended no more endpoints than allowed. An attempt of each
// other copy may be under way as the last of mostEnds ends.
func (s *crashingSystem) wantEndsBounded(q fatalRequest, responses [][]response) {
	s.t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	ends := len(s.crashedAt)
	var arrivals []time.Time
	for _, ep := range s.all {
		arrivals = append(arrivals, ep.ArrivalsAt(q.path+fatalQuery)...)
	}
	late := 0
	for _, at := range arrivals {
		if ends >= mostEnds && at.After(s.crashedAt[mostEnds-1].Add(50*time.Millisecond)) {
			late++
		}
	}
	ok, n := served(s.sound, time.Time{})
	s.t.Logf("%d endpoints ended, %d attempts reached endpoints, %d of them later than 50 ms after the third end; %d of %d sound requests served",
		ends, len(arrivals), late, ok, n)
	if most := mostEnds + q.copies - 1; ends < mostEnds || ends > most {
		s.t.Errorf("%d endpoints ended, want %d to %d", ends, mostEnds, most)
	}
	if most := mostAttempts(q.copies); len(arrivals) > most {
		s.t.Errorf("%d attempts reached endpoints, want at most %d", len(arrivals), most)
	}
	if ok*10 < n*9 {
		s.t.Errorf("%d of %d sound requests were served", ok, n)
	}
	for _, all := range responses {
		s.wantRefusedAsNotRun(all[len(all)-1])
	}
}

// mostAttempts returns how many attempts of a number of copies may reach endpoints: those of one try of
// each copy, of which several may meet at one endpoint and lose it together, and of a single copy one for
// each end.
func mostAttempts(copies int) int {
	if copies == 1 {
		return mostEnds
	}
	return copies * maxAttempts
}

// wantRefusedAsNotRun checks a refusal of a request under which endpoints have ended.
func (s *crashingSystem) wantRefusedAsNotRun(resp response) {
	s.t.Helper()
	if resp.err != nil || resp.status != http.StatusServiceUnavailable || resp.header.Get("Retry-After") == "" || resp.header.Get("X-Result-Code") != "2024" {
		s.t.Errorf("the last try got %d, %v, header %v", resp.status, resp.err, resp.header)
	}
}

// newFatalSystem starts entries and 12 endpoints that end as they work on the fatal request.
func newFatalSystem(t *testing.T, q fatalRequest, entries int, grouped bool) *crashingSystem {
	t.Helper()
	s := newCrashingSystem(t, grouped, 1500*time.Millisecond)
	s.crashes.Part, s.crashes.Target, s.crashes.Events = "", q.path+fatalQuery, q.events
	s.begin(entries)
	return s
}

// Each endpoint ends that works on one request, and the request is repeated elsewhere by its entry and
// its caller, until none is left. Guards against entries that count only what ends under one try, and
// against tries that come to another entry before it knows of the ends.
func TestRequestThatEndsEndpointsIsSentToThree(t *testing.T) {
	for name, q := range map[string]fatalRequest{
		"a look-up":                             {path: "/look/1", copies: 1},
		"a look-up, repeated later":             {path: "/look/1", copies: 1, pause: 700 * time.Millisecond},
		"three copies of a look-up":             {path: "/look/1", copies: 3},
		"a stream without an event":             {path: "/stream/1", copies: 1},
		"three copies of a stream":              {path: "/stream/1", copies: 3},
		"a stream after two events":             {path: "/stream/1", copies: 1, events: 2},
		"a stream after two events, some later": {path: "/stream/1", copies: 1, events: 2, pause: 700 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newFatalSystem(t, q, 3, false)
			s.wantEndsBounded(q, s.playFatal(q))
		})
	}
}

// The same in a fleet whose entries hear of each other through hubs.
func TestRequestThatEndsEndpointsIsSentToThreeInALargerFleet(t *testing.T) {
	t.Parallel()
	q := fatalRequest{path: "/stream/1", copies: 1, events: 2}
	s := newFatalSystem(t, q, fanout.MaxDirectEntries+2, false)
	s.wantEndsBounded(q, s.playFatal(q))
}

// The endpoints are the engines of one group, which each end closes for some time. Guards against ending
// one engine after the other whenever the group has opened.
func TestRequestThatEndsEnginesOfAGroupIsSentToThree(t *testing.T) {
	t.Parallel()
	q := fatalRequest{path: "/stream/1", copies: 1, events: 2, pause: 800 * time.Millisecond, callerTime: time.Minute}
	s := newFatalSystem(t, q, 3, true)
	last := response{}
	for i := range 2 {
		all := s.sendFatal(q, i)
		last = all[len(all)-1]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := len(s.crashedAt); n != mostEnds {
		t.Errorf("%d engines ended, want %d", n, mostEnds)
	}
	s.wantRefusedAsNotRun(last)
}

// A look-up that many callers ask for is at work wherever endpoints end for other reasons. Guards
// against taking it for the cause and refusing it.
func TestPopularRequestIsServedWhereEndpointsEndForOtherReasons(t *testing.T) {
	for name, endings := range map[string][][]int{
		"one after the other":  {{0}, {1}, {2}, {3}, {4}, {5}},
		"some at once":         {{0, 1, 2, 3}},
		"all at once":          {{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11}},
		"some at once, thrice": {{0, 1, 2}, {3, 4, 5}, {6, 7, 8}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newCrashingSystem(t, false, 1500*time.Millisecond)
			s.crashes.Part, s.work = "", 20*time.Millisecond
			s.begin(3)
			done := make(chan struct{})
			go func() {
				defer close(done)
				for _, together := range endings {
					time.Sleep(500 * time.Millisecond)
					s.endTogether(together)
				}
			}()
			s.playPopular(8*time.Second, 150)
			<-done
			s.wantPopularServed(6 * time.Second)
		})
	}
}

// endTogether ends endpoints at the same moment.
func (s *crashingSystem) endTogether(numbers []int) {
	s.mu.Lock()
	all := slices.Clone(s.all)
	s.mu.Unlock()
	var wg sync.WaitGroup
	for _, i := range numbers {
		wg.Go(func() {
			all[i].End()
			s.crashed(all[i])
		})
	}
	wg.Wait()
}

// playPopular sends the same look-up at the given rate a second. Each caller repeats it once.
func (s *crashingSystem) playPopular(d time.Duration, perSecond float64) {
	rng := rand.New(rand.NewPCG(1, 2))
	sendAtRate(rng, d, perSecond, func(i int) func() {
		e, next := s.entries[rng.IntN(len(s.entries))], s.entries[rng.IntN(len(s.entries))]
		return func() {
			o := outcome{sentAt: time.Now()}
			o.resp = e.popularRequest(fmt.Sprint("q", i))
			if o.resp.err != nil || o.resp.status != http.StatusOK {
				o.resp = next.popularRequest(fmt.Sprint("r", i))
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			s.sound = append(s.sound, o)
		}
	})
}

// popularRequest sends the look-up that many callers ask for.
func (e *entry) popularRequest(id string) response {
	h := http.Header{"X-Hyssoprelay-Deadline-Ms": {"1500"}}
	return e.requestWithHeader(context.Background(), "/look/1", id, "k1", h)
}

// wantPopularServed checks that the look-up is served some time after the first request.
func (s *crashingSystem) wantPopularServed(after time.Duration) {
	s.t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	ok, n := served(s.sound, time.Time{})
	first := slices.MinFunc(s.sound, func(a, b outcome) int { return a.sentAt.Compare(b.sentAt) }).sentAt
	lateOK, lateN := served(s.sound, first.Add(after))
	refused := 0
	for _, o := range s.sound {
		if o.resp.header.Get("X-Result-Code") == "2024" {
			refused++
		}
	}
	s.t.Logf("%d endpoints ended; %d of %d served, %d refused for the ends; from %v on %d of %d", len(s.crashedAt), ok, n, refused, after, lateOK, lateN)
	if lateN == 0 || lateOK < lateN {
		s.t.Errorf("%d of %d requests sent %v after the first were served", lateOK, lateN, after)
	}
}
