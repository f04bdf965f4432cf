package readers

import (
	"testing"
	"time"
)

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
		w := newWaitingWorld(n, changeTime)
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
		w := newWaitingWorld(n, inForce)
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
	w := newWaitingWorld(2, changeTime)
	first := w.choices["entry0"].order(w.names, w.now)[0]
	w.cut[first] = true
	w.run(noticed)
	if oldest := w.oldest(30*time.Second, first); oldest > mostOld {
		t.Errorf("the other one knows what was %v ago", oldest)
	}
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
		w := newWaitingWorld(n, inForce)
		cut := w.choices["entry0"].order(w.names, w.now)[:standing]
		for _, name := range cut {
			w.cut[name] = true
		}
		if oldest := w.oldest(30*time.Second, cut...); oldest > inForce-way {
			t.Errorf("%d processes: one knows what was %v ago", n, oldest)
		}
	}
}
