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

// newWaitingWorld is newWorld with polls that wait as they do where a change has to be in
// force within a time. It has run for a second.
func newWaitingWorld(n int, change time.Duration) *world {
	w := newWorld(n)
	for _, b := range w.bases {
		b.Wait = Wait(change)
	}
	w.run(time.Second)
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
