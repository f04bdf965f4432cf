package readers

import (
	"testing"
	"time"
)

// Guards against calls to the store that grow with the fleet: one process polls it,
// whatever the size of the fleet.
func TestOneProcessPollsTheStore(t *testing.T) {
	for _, n := range []int{1, 3, 31, 107} {
		s := newSimulation(n)
		s.run(time.Second)
		if calls := s.run(10 * time.Second); calls != int(10*time.Second/tick) {
			t.Errorf("%d processes make %d calls", n, calls)
		}
		s.checkFresh(t, 4*tick)
	}
}

// Guards against a data centre that gets no more updates when the reader that polls the
// store fails, or the one that takes over from it.
func TestNextReaderTakesOverFromFailedOne(t *testing.T) {
	for _, fail := range []func(s *simulation, name string){
		func(s *simulation, name string) { s.dead[name] = true },
		func(s *simulation, name string) { s.rejected[name] = true },
	} {
		s := newSimulation(31)
		s.run(time.Second)
		order := s.selectors["entry0"].takeoverOrder(s.names, s.now)
		for _, name := range order[:2] {
			fail(s, name)
			s.run(3 * time.Second)
			s.checkFresh(t, 2*time.Second)
		}
	}
}

// One reader, or all three, shut down and spend eight seconds on their last requests.
// Guards against processes that return to them every second, or get no updates because
// these readers have none, and against all others polling the store.
func TestReadersShuttingDownAreSkipped(t *testing.T) {
	for _, n := range []int{1, maxReaders} { // each reader that shuts down costs a request
		s := newSimulation(12)
		s.run(time.Second)
		for _, name := range s.selectors["entry0"].takeoverOrder(s.names, s.now)[:n] {
			s.shuttingDown[name] = true
		}
		clear(s.switches)
		calls := 0
		const ticks = 80
		for range ticks {
			calls += s.run(tick)
			for _, name := range s.names {
				if age := s.now.Sub(s.knownAt[name]); !s.shuttingDown[name] && age > time.Duration(4+n)*tick {
					t.Fatalf("%d shut down: the state of %s is %v old", n, name, age)
				}
			}
		}
		for name, switches := range s.switches {
			if switches > n+1 {
				t.Errorf("%d shut down: %s changed its source %d times", n, name, switches)
			}
		}
		if maxCalls := ticks + n; calls > maxCalls {
			t.Errorf("%d shut down: %d calls, want at most %d", n, calls, maxCalls)
		}
	}
}

// The first reader is cut off from the store and notices it only when a call times out.
// Guards against processes that return to it repeatedly and get no updates while it
// waits: a change has to be known within three seconds.
func TestReaderCutOffFromStoreIsSkipped(t *testing.T) {
	const changeTime, partitionTime, maxAge, minFresh = 3 * time.Second, 12 * time.Second, 500 * time.Millisecond, 0.6
	for _, n := range []int{2, 8, 40} {
		s := newLongPollSimulation(n, changeTime)
		first := s.selectors["entry0"].takeoverOrder(s.names, s.now)[0]
		s.partitioned[first] = true
		ticks, fresh := 0, 0
		for end := s.now.Add(partitionTime); s.now.Before(end); {
			s.run(tick)
			for _, name := range s.names {
				if name == first {
					continue
				}
				ticks++
				if s.now.Sub(s.knownAt[name]) <= maxAge {
					fresh++
				}
			}
		}
		if fraction := float64(fresh) / float64(ticks); fraction < minFresh {
			t.Errorf("%d processes: the state of the others is current in a fraction %.2f of the time", n, fraction)
		}
	}
}

// The first reader is cut off from the store throughout the test, while changes come all
// the time. Guards against a data centre whose other processes, which could reach the
// store, get changes too late.
func TestChangesArriveInTimeWithPartitionedReader(t *testing.T) {
	const (
		// changeTime is the time limit for a change to be in force, and latency the part
		// of it that the transfer to the last process takes.
		changeTime    = 2 * time.Second
		latency       = 300 * time.Millisecond
		partitionTime = 30 * time.Second
	)
	for _, n := range []int{2, 3, 8, 107} {
		s := newLongPollSimulation(n, changeTime)
		first := s.selectors["entry0"].takeoverOrder(s.names, s.now)[0]
		s.partitioned[first] = true
		age := s.maxAge(partitionTime, first)
		if age > changeTime-latency {
			t.Errorf("%d processes: the state of one is %v old", n, age)
		}
	}
}

// The first reader is cut off from the store and gets its updates from the next one, which
// requests updates from it again now and then. Guards against two processes that get
// their updates from each other while neither polls the store.
func TestProcessesDoNotConfirmEachOthersState(t *testing.T) {
	const changeTime, detectionTime, maxAge = 2 * time.Second, 3 * time.Second, 3 * tick
	s := newLongPollSimulation(2, changeTime)
	first := s.selectors["entry0"].takeoverOrder(s.names, s.now)[0]
	s.partitioned[first] = true
	s.run(detectionTime)
	if age := s.maxAge(30*time.Second, first); age > maxAge {
		t.Errorf("the state of the other process is %v old", age)
	}
}

// The store rejects the calls of all three readers. Guards against a data centre that gets
// no updates though the store answers all other processes.
func TestOthersPollWhenNoReaderIsAnswered(t *testing.T) {
	s := newSimulation(31)
	s.run(time.Second)
	for _, name := range s.selectors["entry0"].takeoverOrder(s.names, s.now)[:maxReaders] {
		s.rejected[name] = true
	}
	s.run(10 * time.Second)
	for _, name := range s.names {
		if age := s.now.Sub(s.knownAt[name]); age > directPollInterval+2*notCurrentBackoff {
			t.Errorf("the state of %s is %v old", name, age)
		}
	}
}

// The store rejects all calls for eight seconds. Guards against an outage in which all
// processes poll it continuously.
func TestOutageCostsFewCalls(t *testing.T) {
	s := newSimulation(31)
	s.run(time.Second)
	for _, name := range s.names {
		s.rejected[name] = true
	}
	const outage = 8 * time.Second
	calls := s.run(outage)
	all := 31 * int(outage/tick)
	if maxCalls := all / 4; calls > maxCalls {
		t.Errorf("%d calls of %d, want at most %d", calls, all, maxCalls)
	}
	clear(s.rejected)
	s.run(4 * time.Second)
	s.checkFresh(t, 5*tick)
}

// All three readers are cut off from the store. Guards against the other processes, which
// could reach it, getting changes too late.
func TestChangesArriveInTimeWithThreePartitionedReaders(t *testing.T) {
	const changeTime, latency = 2 * time.Second, 300 * time.Millisecond
	for _, n := range []int{5, 12, 107} {
		s := newLongPollSimulation(n, changeTime)
		partitioned := s.selectors["entry0"].takeoverOrder(s.names, s.now)[:maxReaders]
		for _, name := range partitioned {
			s.partitioned[name] = true
		}
		if age := s.maxAge(30*time.Second, partitioned...); age > changeTime-latency {
			t.Errorf("%d processes: the state of one is %v old", n, age)
		}
	}
}

// Guards against processes that start together and leave a source which is still receiving
// the state: all of them then move from one source to the next, or ask the store.
func TestSourceThatIsStartingIsKept(t *testing.T) {
	now := time.Now()
	names := newSimulation(107).names
	for _, name := range names {
		s := SourceSelector{Self: name}
		source := s.Source(names, now)
		if source == "" {
			continue // the reader
		}
		s.NoteAnswer(source, Starting, now)
		if next := s.Source(names, now); next != source {
			t.Errorf("%s leaves %s for %q", name, source, next)
		}
	}
}

// Guards against followers that stay with a source whose own transfer has stopped, or that
// can't reach the store.
func TestStartingEndsWithoutProgress(t *testing.T) {
	now := time.Now()
	var f Freshness
	f.NoteProgress(now)
	for after, want := range map[time.Duration]Outcome{startupPatience / 2: Starting, startupPatience: NotCurrent} {
		if got := f.AnswerWithoutState(now.Add(after)); got != want {
			t.Errorf("after %v: %v, want %v", after, got, want)
		}
	}
	f.NoteFailure()
	if got := f.AnswerWithoutState(now); got != StoreLost {
		t.Errorf("without the store: %v, want %v", got, StoreLost)
	}
}
