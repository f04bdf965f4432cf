package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/standin/line"
	"github.com/hyssoprelay/hyssoprelay/platform/standin"
)

const relaySettings = `[process]
name = %s
dataCentre = %s
peerAddress = 127.0.0.1:0
platformAddresses = %s
callerAddress = %s
readyAddress = %s
drainTimeout = 8s
logFormat = json

[bounds]
changeApply = 2s
keyRevoke = 5s
retryShare = 0.2
retrySlack = 500
retryWindow = 10s
grace = 8s

[tls]
insecure = true
`

// keyRevoke is the bound of relaySettings.
const keyRevoke = 5 * time.Second

// soakEvents is how many events a stream has.
const soakEvents = 8

// soakConfiguration has the routes of the callers, for a group of 3 ranks.
const soakConfiguration = `{"version":%d,"routes":[
	{"name":"stream","hostname":"h","prefix":"/stream/","kind":"streaming","timeoutMs":6000,"targetLatencyMs":500,
	 "service":"desk","maxAttempts":2,"resumable":true,"gapTargetMs":120},
	{"name":"order","hostname":"h","prefix":"/order/","kind":"non_idempotent","timeoutMs":2000,"targetLatencyMs":300,
	 "service":"desk","maxAttempts":1},
	{"name":"look","hostname":"h","prefix":"/look/","kind":"idempotent","timeoutMs":2000,"targetLatencyMs":300,
	 "service":"desk","maxAttempts":2}],
	"services":[{"name":"desk","healthPath":"/health","maxConnections":100},
	{"name":"s","engine":{"slots":4,"stride":4,"step_ms":5,"per_seq_ms":1,"sets":2,"experts":9,"placements":4,"spare":3,
	"expertMb":1,"linkMbps":1000,"expertShare":0.85}}],
	"limits":{"maxBodyBytes":4194304},"tenants":[{"name":"t1","apiKeys":[%s]}]}`

// The keys of callers: the second is taken away and given back.
const (
	keptKey = "kept"
	lostKey = "lost"
)

// relayProc is a relay and where it is met.
type relayProc struct {
	*daemon
	callers, ready string
}

// desk is an endpoint that is met over a line.
type desk struct {
	*standin.Endpoint
	addr, dataCentre string
}

// soakSystem is everything that a soak runs.
type soakSystem struct {
	t      *testing.T
	store  *standin.Store
	group  *standin.Group
	desks  []*desk
	relays []*relayProc
	ranks  *rankers
	lines  []*line.Faulty
	// relayLines are those between the relays and the store.
	relayLines []*line.Faulty

	mu      sync.Mutex // guards all below
	version int
	// keys holds when the lost key was given (true) or taken away (false).
	keys []keyChange
	// restarts holds when each process ended, and leavings when endpoints were leaving.
	restarts map[string][]time.Time
	leavings []leaving
}

// leavingDrain is how long requests may still reach an endpoint from a relay that has passed on
// its word that it is leaving.
const leavingDrain = 2 * time.Second

// leaving is the time for which an endpoint said that it is leaving; until is zero before its end.
type leaving struct {
	seal        string
	from, until time.Time
}

// includes reports whether the endpoint was leaving at all times from a to b.
func (l leaving) includes(a, b time.Time) bool {
	return a.After(l.from) && (l.until.IsZero() || b.Before(l.until))
}

type keyChange struct {
	at    time.Time
	given bool
}

func newSoakSystem(t *testing.T) *soakSystem {
	t.Helper()
	s := &soakSystem{t: t, store: standin.NewStore(), group: standin.StartGroup(3, 2, 9, 4)}
	t.Cleanup(s.store.Close)
	t.Cleanup(s.group.Close)
	s.configure(true)
	dataCentres := []string{"a", "b", "c"}
	for i, dc := range dataCentres {
		e := standin.StartEndpoint(fmt.Sprintf("i-%d", i), uint64(i+1))
		e.Events, e.Pause = soakEvents, 20*time.Millisecond
		t.Cleanup(e.Close)
		d := &desk{Endpoint: e, addr: s.line(e.Addr()), dataCentre: dc}
		s.desks = append(s.desks, d)
		s.list(d)
	}
	var stores []string
	for range dataCentres {
		stores = append(stores, s.line(s.store.Addr()))
	}
	s.ranks = newRankers(t, s.group, stores)
	for i, dc := range append(dataCentres, "a") {
		r := &relayProc{callers: freeAddress(t), ready: freeAddress(t)}
		name := fmt.Sprint("relay", i)
		file := s.ranks.settings(name, fmt.Sprintf(relaySettings, name, dc, s.line(s.store.Addr()), r.callers, r.ready))
		s.relayLines = append(s.relayLines, s.lines[len(s.lines)-1])
		r.daemon = newDaemon(t, name, "relay", "--settings", file)
		s.relays = append(s.relays, r)
	}
	return s
}

// line returns the address of a line to an address.
func (s *soakSystem) line(to string) string {
	s.t.Helper()
	l, addr := newLine(s.t, to)
	s.lines = append(s.lines, l)
	return addr
}

// newLine returns a line to an address, and its own address.
func newLine(t *testing.T, to string) (l *line.Faulty, addr string) {
	t.Helper()
	l = &line.Faulty{To: to, Pace: 60 * time.Millisecond}
	return l, line.Start(t, l)
}

// configure writes a further configuration, with the lost key or without it.
func (s *soakSystem) configure(lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	keys := fmt.Sprintf("%q", keptKey)
	if lost {
		keys += fmt.Sprintf(",%q", lostKey)
	}
	s.store.Put("op/config", fmt.Appendf(nil, soakConfiguration, s.version, keys))
	s.keys = append(s.keys, keyChange{at: time.Now(), given: lost})
}

// refused reports whether the lost key had to be refused in a request that was
// sent at a time and ended at another: it was taken away long enough before, and
// not given back meanwhile.
func (s *soakSystem) refused(sent, ended time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	taken := time.Time{}
	for _, k := range s.keys {
		switch {
		case k.given && k.at.Before(ended):
			taken = time.Time{}
		case !k.given && taken.IsZero():
			taken = k.at
		}
	}
	return !taken.IsZero() && sent.Sub(taken) > keyRevoke
}

// leave has an endpoint say that it is leaving, which the store does not.
func (s *soakSystem) leave(d *desk) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leavings = append(s.leavings, leaving{seal: "seal-" + d.ID, from: time.Now()})
	d.SayLeaving("1")
}

// restart has an endpoint that was leaving start again under its ID.
func (s *soakSystem) restart(d *desk) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.leavings {
		if l := &s.leavings[i]; l.seal == "seal-"+d.ID && l.until.IsZero() {
			l.until = time.Now()
		}
	}
	d.SayLeaving("")
	d.Born += bornStep
	s.list(d)
}

// bornStep is the time in ms from one start of an endpoint to the next, as it states them.
const bornStep = 1000

// recordRestart records that a process has ended, or is about to, and will be started again.
func (s *soakSystem) recordRestart(process string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.restarts == nil {
		s.restarts = map[string][]time.Time{}
	}
	s.restarts[process] = append(s.restarts[process], time.Now())
}

// mustKnowLeaving reports whether a relay that passed on an endpoint's word that it is leaving, in
// one answer, must not have sent it the request of another one. A request that waited until the
// endpoint had started again was served by its successor.
func (s *soakSystem) mustKnowLeaving(seal string, told, later asked) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, at := range s.restarts[later.relay] {
		if at.Before(later.ended) && !at.Before(told.ended) {
			return false
		}
	}
	within := func(l leaving) bool { return l.seal == seal && l.includes(told.ended, later.ended) }
	return later.sent.Sub(told.ended) > leavingDrain && slices.ContainsFunc(s.leavings, within)
}

func (s *soakSystem) list(d *desk) {
	key, value := d.EntryAt("desk", d.dataCentre, "ready", d.addr)
	s.store.Put(key, value)
}

func (s *soakSystem) unlist(d *desk) {
	key, _ := d.EntryAt("desk", d.dataCentre, "ready", d.addr)
	s.store.Remove(key)
}

// awaitServed waits until each relay is ready and serves each kind of request,
// and the group runs.
func (s *soakSystem) awaitServed() {
	s.t.Helper()
	for _, r := range s.relays {
		for _, kind := range kinds {
			s.ranks.eventually(fmt.Sprintf("%s serves a %s", r.name, kind), func() bool {
				c := &caller{s: s, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: callerTime}, at: r}
				return c.ask(kind, keptKey, "", time.Now()).ok()
			})
		}
	}
	s.ranks.runsOn()
}

// runs returns how often the endpoints ran a request.
func (s *soakSystem) runs(id string) int {
	n := 0
	for _, d := range s.desks {
		n += d.Runs(id)
	}
	return n
}
