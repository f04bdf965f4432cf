package readers

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// startTick is the step of a startingFleet.
	startTick = 20 * time.Millisecond
	// startSpread is the time within which the processes of a fleet that lost power start.
	startSpread = 300 * time.Millisecond
	// storeLineBytes and entryLineBytes are what the lines of the store and of a process carry, in
	// bytes per second.
	storeLineBytes, entryLineBytes = 1e9 / 8, 40e6 / 8
	// bytesPerProcess is the size of the complete state for each entry of the fleet, as the store
	// lists it, and peerBytesPerProcess as entries pass it on.
	bytesPerProcess, peerBytesPerProcess = 2000, 800
	// readTimeout is the time within which a page of the store has to come, and readPageBytes its
	// size.
	readTimeout   = 700 * time.Millisecond
	readPageBytes = 1 << 20
	// followPageBytes is the size of a page from another process.
	followPageBytes = 32 << 10
	// maxSending is the number of others to which a process sends the state at once, and busyHold
	// the time after which the next one is told that it has to wait.
	maxSending, busyHold = 4, 100 * time.Millisecond
	// newHostsAfter is the time after which processes that find no host have become hosts.
	newHostsAfter = 3500 * time.Millisecond
	// holdersTold is the number of others with the state that a page names.
	holdersTold = 4
	// hostsPerDataCentre is the number of hosts that the store lists.
	hostsPerDataCentre, dataCentres = 7, 5
)

// startingFleet is a fleet that starts at one moment while the store still lists it.
type startingFleet struct {
	now       time.Time
	processes []*startingProcess
	byName    map[string]*startingProcess
	// storeSilentUntil is until when the store answers nobody.
	storeSilentUntil time.Time
	readings, failed int
	n                int
}

// startingProcess is a process of a startingFleet.
type startingProcess struct {
	starter Starter
	hosts   []string
	// holders are those that it was told to have the state, and served those that got it here.
	holders, served []string
	// sending are those to which it sends the state.
	sending  map[string]bool
	startsAt time.Time
	// gone processes never start, though they are listed.
	gone, hasState bool
	// source is the process that it gets the state from, or "". reading reports that it reads the
	// store, from which pageBytes of the present page have come since pageSince.
	source           string
	askedAt          time.Time
	reading          bool
	pageSince        time.Time
	pageBytes, bytes float64
	pauseUntil       time.Time
	retryPause       time.Duration
}

// newStartingFleet returns a fleet of n processes.
func newStartingFleet(n int, seed uint64) *startingFleet {
	f := &startingFleet{now: start, byName: map[string]*startingProcess{}, n: n}
	rng := rand.New(rand.NewPCG(seed, 1))
	for d := range dataCentres {
		var names []string
		for i := range n / dataCentres {
			names = append(names, fmt.Sprint("dc", d, "-entry", i))
		}
		hosts := names[:min(hostsPerDataCentre, len(names))]
		for _, name := range names {
			p := &startingProcess{hosts: hosts, startsAt: start.Add(time.Duration(rng.Int64N(int64(startSpread)))), retryPause: 100 * time.Millisecond, sending: map[string]bool{}}
			p.starter = Starter{Self: name, Rand: rand.New(rand.NewPCG(seed, xxhash.Sum64String(name)))}
			f.processes, f.byName[name] = append(f.processes, p), p
		}
	}
	return f
}

// run advances the fleet until all processes that are not gone have the state, at most for d. It
// returns the time that it took.
func (f *startingFleet) run(d time.Duration) time.Duration {
	for end := start.Add(d); f.now.Before(end); f.now = f.now.Add(startTick) {
		f.transfer()
		missing := false
		for _, p := range f.processes {
			if !p.gone {
				f.step(p)
				missing = missing || !p.hasState
			}
		}
		if !missing {
			break
		}
	}
	return f.now.Sub(start)
}

// transfer divides a tick of each line among those who receive through it.
func (f *startingFleet) transfer() {
	reading, bySource := 0, map[string]int{}
	for _, p := range f.processes {
		if p.reading {
			reading++
		} else if f.receives(p) {
			bySource[p.source]++
		}
	}
	for _, p := range f.processes {
		share := entryLineBytes * startTick.Seconds()
		switch {
		case p.reading && f.now.Before(f.storeSilentUntil):
			continue
		case p.reading:
			share = min(share, storeLineBytes*startTick.Seconds()/float64(reading))
		case f.receives(p):
			share /= float64(bySource[p.source])
		default:
			continue
		}
		p.bytes += share
		p.pageBytes += share
	}
}

// newHosts returns the hosts that the store lists of the data centre of a process: some of those that
// start have found no host that keeps them registered, and so become hosts.
func (f *startingFleet) newHosts(p *startingProcess) []string {
	if f.now.Sub(start) < newHostsAfter {
		return p.hosts
	}
	dataCentre, _, _ := strings.Cut(p.starter.Self, "-")
	var hosts []string
	for i := range f.n / dataCentres {
		name := fmt.Sprint(dataCentre, "-entry", i)
		if !f.byName[name].gone && len(hosts) < hostsPerDataCentre {
			hosts = append(hosts, name)
		}
	}
	return hosts
}

// receives reports whether a process is being sent the state by its source.
func (f *startingFleet) receives(p *startingProcess) bool {
	return p.source != "" && f.byName[p.source].sending[p.starter.Self]
}

// step continues what a process does.
func (f *startingFleet) step(p *startingProcess) {
	switch {
	case f.now.Before(p.startsAt) || p.hasState || f.now.Before(p.pauseUntil):
	case p.reading:
		f.continueReading(p)
	case p.source != "":
		f.continueAsking(p)
	default:
		f.decide(p)
	}
}

func (f *startingFleet) decide(p *startingProcess) {
	reachable := func(name string) bool {
		q := f.byName[name]
		return !q.gone && !f.now.Before(q.startsAt)
	}
	if hosts := f.newHosts(p); slices.Contains(hosts, p.starter.Self) {
		p.hosts = hosts // it has become one itself
	}
	switch s := p.starter.Next(p.hosts, p.holders, reachable, f.now).(type) {
	case ReadStore:
		f.readings++
		p.reading, p.bytes, p.pageBytes, p.pageSince = true, 0, 0, f.now
	case Ask:
		p.source, p.pageBytes, p.askedAt = s.Name, 0, f.now
	case Pause:
		p.pauseUntil = f.now.Add(s.For)
	}
}

func (f *startingFleet) continueReading(p *startingProcess) {
	switch {
	case p.bytes >= float64(f.n)*bytesPerProcess:
		p.reading, p.hasState = false, true
	case p.pageBytes >= readPageBytes:
		p.pageBytes, p.pageSince = 0, f.now
	case f.now.Sub(p.pageSince) >= readTimeout:
		f.failed++
		p.reading = false
		p.starter.NoteStoreFailure(f.now)
		p.hosts = f.newHosts(p)
		p.pauseUntil = f.now.Add(p.retryPause)
		p.retryPause = min(2*p.retryPause, 450*time.Millisecond)
	}
}

// tell names an entry that has the state.
func (p *startingProcess) tell(holder string) {
	if !slices.Contains(p.holders, holder) {
		p.holders = append(p.holders, holder)
	}
}

func (f *startingFleet) continueAsking(p *startingProcess) {
	source := f.byName[p.source]
	switch {
	case p.bytes >= float64(f.n)*peerBytesPerProcess:
		p.hasState = true
		source.served = append(source.served, p.starter.Self)
		delete(source.sending, p.starter.Self)
	case p.pageBytes >= followPageBytes:
		f.answer(p, source, Fresh)
	case source.hasState && f.now.Sub(p.askedAt) >= replyTimeout:
		p.bytes -= p.pageBytes
		delete(source.sending, p.starter.Self)
		f.answer(p, source, NoAnswer)
	case source.hasState && !source.sending[p.starter.Self] && len(source.sending) < maxSending:
		source.sending[p.starter.Self] = true
	case source.hasState && !source.sending[p.starter.Self] && f.now.Sub(p.askedAt) >= busyHold:
		f.answer(p, source, Starting)
	case !source.hasState && f.now.Sub(p.askedAt) >= MaxFollowWait:
		o := Starting
		if source.starter.storeFailedAt.After(source.startsAt) {
			o = StoreLost
		} else if f.now.Sub(source.startsAt) >= startupPatience {
			o = NotCurrent
		}
		f.answer(p, source, o)
	}
}

// answer ends the request of a process to its source.
func (f *startingFleet) answer(p, source *startingProcess, o Outcome) {
	for range min(holdersTold, len(source.served)) {
		p.tell(source.served[p.starter.Rand.IntN(len(source.served))])
	}
	p.starter.NoteAnswer(p.source, o, f.now)
	p.source = ""
}

// Guards against a fleet that does not come back from a loss of power: each process read the complete
// state from the store, whose line was full for good, and no answer came whole.
func TestFleetThatLostPowerGetsItsStateThroughFewReaders(t *testing.T) {
	// within is half of the time within which the service of a whole fleet has to be back.
	const within = 9 * time.Second
	cases := []struct {
		name    string
		prepare func(f *startingFleet)
		// readings is the number of readings that a data centre may make.
		readings int
	}{
		{"all come back", func(*startingFleet) {}, maxReaders},
		{"the first readers are gone", func(f *startingFleet) {
			for _, p := range f.processes {
				for _, name := range sortedBy(p.hosts, xxhash.Sum64String)[:maxReaders] {
					f.byName[name].gone = true
				}
			}
		}, hostsPerDataCentre},
		{"the store is silent for two seconds", func(f *startingFleet) { f.storeSilentUntil = start.Add(2 * time.Second) }, 6 * hostsPerDataCentre},
	}
	for _, c := range cases {
		for _, n := range []int{36, 107, 532, 1064} {
			seeds := uint64(3)
			if n > 107 {
				seeds = 1 // the large ones take seconds
			}
			for seed := range seeds {
				f := newStartingFleet(n, seed)
				c.prepare(f)
				took := f.run(4 * within)
				t.Logf("%s, %d processes, seed %d: %v, %d readings, %d failed", c.name, n, seed, took, f.readings, f.failed)
				if took >= within {
					t.Errorf("%s, %d processes, seed %d: the last one has the state after %v", c.name, n, seed, took)
				}
				if most := c.readings * dataCentres; f.readings > most {
					t.Errorf("%s, %d processes, seed %d: %d readings of the complete state, want at most %d", c.name, n, seed, f.readings, most)
				}
			}
		}
	}
}

// All hosts are gone, and nobody can say so: each process reads the store. Guards against readings
// that fill the store's line so that none of them ends.
func TestProcessesWithoutHostsAllGetTheState(t *testing.T) {
	// within is the time within which the service of a whole fleet has to be back.
	const within = 18 * time.Second
	for _, n := range []int{36, 107, 532, 1064} {
		f := newStartingFleet(n, 1)
		for _, p := range f.processes {
			for _, name := range p.hosts {
				f.byName[name].gone = true
			}
		}
		took := f.run(4 * within)
		t.Logf("%d processes: %v, %d readings, %d failed", n, took, f.readings, f.failed)
		if took >= within {
			t.Errorf("%d processes: the last one has the state after %v", n, took)
		}
	}
}

// A process whose store does not answer asks the other hosts. Guards against a data centre whose first
// reader is turned away by the store and waits for it alone.
func TestReaderThatTheStoreTurnsAwayAsksOthers(t *testing.T) {
	hosts := sortedBy([]string{"a", "b", "c", "d"}, xxhash.Sum64String)
	s := Starter{Self: hosts[0]}
	all := func(string) bool { return true }
	if _, ok := s.Next(hosts, nil, all, start).(ReadStore); !ok {
		t.Error("a reader doesn't read the store first")
	}
	s.NoteStoreFailure(start)
	var asked []string
	for range hosts[1:] {
		step, ok := s.Next(hosts, nil, all, start).(Ask)
		if !ok {
			t.Fatal("a reader that the store turned away doesn't ask another host")
		}
		asked = append(asked, step.Name)
		s.NoteAnswer(step.Name, StoreLost, start)
	}
	if slices.Sort(asked); len(slices.Compact(asked)) != len(hosts)-1 {
		t.Errorf("%v were asked, want each of the others", asked)
	}
	if _, ok := s.Next(hosts, nil, all, start.Add(notCurrentBackoff)).(ReadStore); !ok {
		t.Error("a reader doesn't try the store again")
	}
}
