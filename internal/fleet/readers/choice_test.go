package readers

import (
	"fmt"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

// world is a data centre whose processes ask the store or each other, each every
// tenth of a second.
type world struct {
	names   []string
	choices map[string]*Choice
	// dead don't run, and turnedAway aren't answered by the store.
	dead, turnedAway map[string]bool
	// leaving are about to end, and neither ask nor tell.
	leaving map[string]bool
	// cut are those whose calls to the store end unanswered after noticed, and
	// pending is until when such a call lasts; lost are those that have noticed.
	cut     map[string]bool
	pending map[string]time.Time
	// bases are what each one's knowledge rests on.
	bases map[string]*Basis
	// turns counts how often a process heard from another one than before.
	turns map[string]int
	last  map[string]string
	// fresh is the time of which each knows all.
	fresh map[string]time.Time
	now   time.Time
	calls int
}

const (
	tick = 100 * time.Millisecond
	// wait is that of a poll, and noticed how long it takes a process to notice that
	// the store is silent.
	wait    = 1500 * time.Millisecond
	noticed = wait + PollSlack
)

func newWorld(n int) *world {
	w := &world{
		choices: map[string]*Choice{}, dead: map[string]bool{}, turnedAway: map[string]bool{},
		leaving: map[string]bool{}, cut: map[string]bool{}, pending: map[string]time.Time{},
		bases: map[string]*Basis{}, turns: map[string]int{}, last: map[string]string{},
		fresh: map[string]time.Time{}, now: start,
	}
	for i := range n {
		name := fmt.Sprint("entry", i)
		w.names = append(w.names, name)
		w.choices[name] = &Choice{Own: name}
		w.bases[name] = &Basis{Own: name, Wait: tick / 2}
		w.fresh[name] = start
	}
	return w
}

// run lets a time pass and returns how many calls the store got in it.
func (w *world) run(d time.Duration) int {
	w.calls = 0
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(tick) {
		for _, name := range w.names {
			if !w.dead[name] && !w.leaving[name] {
				w.ask(name)
			}
		}
	}
	return w.calls
}

func (w *world) ask(name string) {
	c := w.choices[name]
	if until, ok := w.pending[name]; ok {
		if w.now.Before(until) {
			return
		}
		delete(w.pending, name)
		w.bases[name].Lose()
		c.NoteStore(false, w.now)
		return
	}
	source := c.Source(w.names, w.now)
	if w.last[name] != source {
		w.last[name] = source
		w.turns[name]++
	}
	if source == "" && w.cut[name] {
		w.pending[name] = w.now.Add(noticed)
		return
	}
	if source == "" {
		w.calls++
		c.NoteStore(!w.turnedAway[name], w.now)
		if !w.turnedAway[name] {
			w.fresh[name] = w.now
			w.bases[name].Learn(name)
		}
		return
	}
	switch {
	case w.dead[source]:
		c.Note(source, Silent, w.now)
	case w.leaving[source]:
		c.Note(source, Leaving, w.now)
	default:
		w.hear(name, source)
	}
}

// hear has a process told by another one.
func (w *world) hear(name, source string) {
	a := w.bases[source].Answer(name, w.fresh[source], w.now)
	w.choices[name].Note(source, a, w.now)
	if a == Fresh {
		w.fresh[name] = w.fresh[source]
		w.bases[name].Learn(w.bases[source].Origin())
	}
}

// checkFresh checks that all processes that run know what the store told of late.
func (w *world) checkFresh(t *testing.T, within time.Duration) {
	t.Helper()
	for _, name := range w.names {
		if age := w.now.Sub(w.fresh[name]); !w.dead[name] && age > within {
			t.Errorf("%s knows what was %v ago", name, age)
		}
	}
}

// Guards against calls that grow with the fleet: one process asks, whatever the size,
// also where there is only one.
func TestOneProcessAsksTheStore(t *testing.T) {
	for _, n := range []int{1, 3, 31} {
		w := newWorld(n)
		w.run(time.Second)
		if calls := w.run(10 * time.Second); calls != int(10*time.Second/tick) {
			t.Errorf("%d processes make %d calls", n, calls)
		}
		w.checkFresh(t, 4*tick)
	}
}

// Guards against a data centre that goes blind with the one process that asks, as
// well as with the one that asks in its place.
func TestNextAsksWhenTheFirstIsLost(t *testing.T) {
	for _, lose := range []func(w *world, name string){
		func(w *world, name string) { w.dead[name] = true },
		func(w *world, name string) { w.turnedAway[name] = true },
	} {
		w := newWorld(31)
		w.run(time.Second)
		order := w.choices["entry0"].order(w.names, w.now)
		for _, name := range order[:2] {
			lose(w, name)
			w.run(3 * time.Second)
			w.checkFresh(t, 2*time.Second)
		}
	}
}

// Those that ask the store leave, one or all three that may, for eight seconds in which
// their callers are served to the end. Guards against others that go back to them each
// second, or are blind while they say that they have nothing to tell, and against all
// others asking the store.
func TestThoseThatLeaveAreNotAskedAgain(t *testing.T) {
	for _, n := range []int{1, standing} { // each that leaves costs a question
		w := newWorld(12)
		w.run(time.Second)
		for _, name := range w.choices["entry0"].order(w.names, w.now)[:n] {
			w.leaving[name] = true
		}
		clear(w.turns)
		calls := 0
		const ticks = 80
		for range ticks {
			calls += w.run(tick)
			for _, name := range w.names {
				if age := w.now.Sub(w.fresh[name]); !w.leaving[name] && age > time.Duration(4+n)*tick {
					t.Fatalf("%d leave: %s knows what was %v ago", n, name, age)
				}
			}
		}
		for name, turns := range w.turns {
			if turns > n+1 {
				t.Errorf("%d leave: %s turned %d times to another", n, name, turns)
			}
		}
		if most := ticks + n; calls > most {
			t.Errorf("%d leave: %d calls, want at most %d", n, calls, most)
		}
	}
}

// The process that asks the store is cut off from it, and notices each time only when
// its call ends. Guards against others that turn back to it again and again, and hear of
// nothing while it waits: a change has to be known within three seconds.
func TestOneThatIsCutOffFromTheStoreIsPassedOver(t *testing.T) {
	const cutTime, mostOld, leastFresh = 12 * time.Second, 500 * time.Millisecond, 0.6
	for _, n := range []int{2, 8} {
		w := newWorld(n)
		for _, b := range w.bases {
			b.Wait = wait
		}
		w.run(time.Second)
		first := w.choices["entry0"].order(w.names, w.now)[0]
		w.cut[first] = true
		ticks, fresh := 0, 0
		for end := w.now.Add(cutTime); w.now.Before(end); {
			w.run(tick)
			for _, name := range w.names {
				if name == first {
					continue
				}
				ticks++
				if w.now.Sub(w.fresh[name]) <= mostOld {
					fresh++
				}
			}
		}
		if part := float64(fresh) / float64(ticks); part < leastFresh {
			t.Errorf("%d processes: what the others know is new in %.2f of the time", n, part)
		}
	}
}

// The process that asks the store is cut off from it for as long as the test runs, while
// something changes all the time. Guards against a data centre whose other processes, which
// the store would answer, hear of no change in time.
func TestChangesAreKnownInTimeThoughTheReaderIsCutOff(t *testing.T) {
	const (
		// inForce is the time in which a change has to be in force, and way what the
		// way to the last process takes of it.
		inForce = 2 * time.Second
		way     = 300 * time.Millisecond
		cutTime = 30 * time.Second
	)
	for _, n := range []int{2, 3, 8} {
		w := newWorld(n)
		for _, b := range w.bases {
			b.Wait = wait
		}
		w.run(time.Second)
		first := w.choices["entry0"].order(w.names, w.now)[0]
		w.cut[first] = true
		oldest := w.oldest(cutTime, first)
		if oldest > inForce-way {
			t.Errorf("%d processes: one knows what was %v ago", n, oldest)
		}
	}
}

// oldest lets a time pass and returns how old the knowledge of a process, but for one,
// has been.
func (w *world) oldest(d time.Duration, but string) time.Duration {
	var oldest time.Duration
	for end := w.now.Add(d); w.now.Before(end); {
		w.run(tick)
		for _, name := range w.names {
			if name != but {
				oldest = max(oldest, w.now.Sub(w.fresh[name]))
			}
		}
	}
	return oldest
}

// The store turns away the three processes that ask first. Guards against a data
// centre that hears nothing though the store answers all others.
func TestOthersTryWhenNoneOfTheFirstIsAnswered(t *testing.T) {
	w := newWorld(31)
	w.run(time.Second)
	for _, name := range w.choices["entry0"].order(w.names, w.now)[:standing] {
		w.turnedAway[name] = true
	}
	w.run(10 * time.Second)
	for _, name := range w.names {
		if age := w.now.Sub(w.fresh[name]); age > aloneEvery+2*passOver {
			t.Errorf("%s knows what was %v ago", name, age)
		}
	}
}

// The store answers nobody for eight seconds. Guards against an outage in which all
// processes ask again and again.
func TestOutageCostsFewCalls(t *testing.T) {
	w := newWorld(31)
	w.run(time.Second)
	for _, name := range w.names {
		w.turnedAway[name] = true
	}
	const outage = 8 * time.Second
	calls := w.run(outage)
	all := 31 * int(outage/tick)
	if most := all / 4; calls > most {
		t.Errorf("%d calls of %d, want at most %d", calls, all, most)
	}
	clear(w.turnedAway)
	w.run(4 * time.Second)
	w.checkFresh(t, 5*tick)
}
