package readers

import (
	"fmt"
	"slices"
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
	// cut are those whose calls to the store end unanswered, silent those among them
	// whose last one did, and pending is until when such a call lasts.
	cut, silent map[string]bool
	pending     map[string]time.Time
	// hearing is whom a process asks, and until when that one waits for news.
	hearing map[string]question
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

// question is one process's to another.
type question struct {
	source string
	until  time.Time
}

const (
	tick = 100 * time.Millisecond
	// tryWait is that of a poll of a store that did not answer the last one.
	tryWait = 50 * time.Millisecond
)

func newWorld(n int) *world {
	w := &world{
		choices: map[string]*Choice{}, dead: map[string]bool{}, turnedAway: map[string]bool{},
		leaving: map[string]bool{}, cut: map[string]bool{}, silent: map[string]bool{}, pending: map[string]time.Time{},
		hearing: map[string]question{},
		bases:   map[string]*Basis{}, turns: map[string]int{}, last: map[string]string{},
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
		w.silent[name] = true
		w.bases[name].Lose()
		c.NoteStore(false, w.now)
		return
	}
	if q, ok := w.hearing[name]; ok {
		w.hearOn(name, q)
		return
	}
	source := c.Source(w.names, w.now)
	if w.last[name] != source {
		w.last[name] = source
		w.turns[name]++
	}
	if source == "" && w.cut[name] {
		w.askSilent(name)
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
	if w.answers(source) && w.answer(name, source) == Fresh && !w.fresh[source].After(w.fresh[name]) {
		w.hearing[name] = question{source: source, until: w.now.Add(HearWait)}
		return
	}
	w.hear(name, source)
}

// answers reports whether a process runs and is not about to end.
func (w *world) answers(name string) bool { return !w.dead[name] && !w.leaving[name] }

// answer returns what a process may tell another one now.
func (w *world) answer(name, source string) Answer {
	return w.bases[source].Answer(name, w.fresh[source], w.now)
}

// hearOn ends a question once there is news, its time is over, or the one that is asked
// knows that its own poll is late.
func (w *world) hearOn(name string, q question) {
	news := w.answers(q.source) && w.fresh[q.source].After(w.fresh[name])
	late := w.bases[q.source].Late()
	if !news && w.now.Before(q.until) && (late.IsZero() || w.now.Before(late)) {
		return
	}
	delete(w.hearing, name)
	w.hear(name, q.source)
}

// askSilent has a process send a poll that will not be answered.
func (w *world) askSilent(name string) {
	due := w.now.Add(w.bases[name].Wait)
	if w.silent[name] || w.bases[name].Origin() != name {
		due = w.now.Add(tryWait)
	}
	w.bases[name].Ask(due)
	w.pending[name] = due.Add(PollSlack)
}

// hear has a process told by another one.
func (w *world) hear(name, source string) {
	a := Silent
	switch {
	case w.leaving[source]:
		a = Leaving
	case !w.dead[source]:
		a = w.answer(name, source)
	}
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
	const changeTime, cutTime, mostOld, leastFresh = 3 * time.Second, 12 * time.Second, 500 * time.Millisecond, 0.6
	for _, n := range []int{2, 8} {
		w := newWorld(n)
		for _, b := range w.bases {
			b.Wait = Wait(changeTime)
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
			b.Wait = Wait(inForce)
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

// The reader is cut off and hears from the next process, which turns back to it now and
// then. Guards against two that hear from each other while neither asks the store.
func TestTurningBackToACutOffReaderCostsNothing(t *testing.T) {
	const changeTime, noticed, mostOld = 2 * time.Second, 3 * time.Second, 3 * tick
	w := newWorld(2)
	for _, b := range w.bases {
		b.Wait = Wait(changeTime)
	}
	first := w.choices["entry0"].order(w.names, w.now)[0]
	w.cut[first] = true
	w.run(noticed)
	if oldest := w.oldest(30*time.Second, first); oldest > mostOld {
		t.Errorf("the other one knows what was %v ago", oldest)
	}
}

// oldest lets a time pass and returns how old the knowledge of a process, but for some,
// has been.
func (w *world) oldest(d time.Duration, but ...string) time.Duration {
	var oldest time.Duration
	for end := w.now.Add(d); w.now.Before(end); {
		w.run(tick)
		for _, name := range w.names {
			if !slices.Contains(but, name) {
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

// The three processes that may ask the store are cut off from it. Guards against the others,
// which it would answer, hearing of no change in time.
func TestChangesAreKnownInTimeThoughThreeReadersAreCutOff(t *testing.T) {
	const inForce, way = 2 * time.Second, 300 * time.Millisecond
	for _, n := range []int{5, 12} {
		w := newWorld(n)
		for _, b := range w.bases {
			b.Wait = Wait(inForce)
		}
		w.run(time.Second)
		cut := w.choices["entry0"].order(w.names, w.now)[:standing]
		for _, name := range cut {
			w.cut[name] = true
		}
		if oldest := w.oldest(30*time.Second, cut...); oldest > inForce-way {
			t.Errorf("%d processes: one knows what was %v ago", n, oldest)
		}
	}
}
