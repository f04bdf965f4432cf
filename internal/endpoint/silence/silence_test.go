package silence

import (
	"fmt"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

// tick is the time between two calls of Advance in these tests.
const tick = 50 * time.Millisecond

// nobody is for a group of which all endpoints are seen, or of which nothing is reported.
func nobody(string) bool { return false }

// play advances a tracker for a time, in which the endpoints named are heard in each tick.
func play(t *Tracker, from time.Time, d time.Duration, heard ...string) time.Time {
	now := from
	for ; now.Before(from.Add(d)); now = now.Add(tick) {
		for _, id := range heard {
			t.Heard(id, now)
		}
		t.Advance(nobody, now)
	}
	return now
}

// newTracker returns a tracker of three endpoints of one group, each with a request that has begun.
func newTracker() *Tracker {
	t := &Tracker{}
	t.Advance(nobody, start)
	for _, id := range []string{"a", "b", "c"} {
		t.Sent(id, "quotes")
		t.Heard(id, start)
	}
	return t
}

func wantSilence(t *testing.T, tr *Tracker, id string, least, most time.Duration) {
	t.Helper()
	if d := tr.Silence(id); d < least || d > most {
		t.Errorf("silence of %s is %v, not from %v to %v", id, d, least, most)
	}
}

// Guards against an endpoint that can't be reached and isn't noticed while others answer.
func TestSilenceGrowsWhileOthersAreHeard(t *testing.T) {
	tr := newTracker()
	now := play(tr, start, time.Second, "b", "c")
	wantSilence(t, tr, "a", 900*time.Millisecond, time.Second)
	wantSilence(t, tr, "b", 0, 0)
	play(tr, now, tick, "a", "b")
	wantSilence(t, tr, "a", 0, 0)
}

// Guards against streams that are moved within a group that stands as a whole, where nothing is gained.
func TestSilenceOfAWholeGroupDoesNotGrow(t *testing.T) {
	tr := newTracker()
	now := play(tr, start, 4*time.Second)
	for _, id := range []string{"a", "b", "c"} {
		wantSilence(t, tr, id, 0, recent+tick)
	}
	play(tr, now, tick, "a", "b", "c")
	wantSilence(t, tr, "c", 0, 0)
}

// An observer stood still for 10 s and then reads what came meanwhile, one endpoint after the other. Guards
// against endpoints that it takes for silent because it has not read yet what they sent.
func TestObserverThatStoodStillFindsNobodySilent(t *testing.T) {
	tr := newTracker()
	now := play(tr, start, 200*time.Millisecond, "a", "b", "c").Add(10 * time.Second)
	tr.Heard("b", now)
	tr.Advance(nobody, now)
	wantSilence(t, tr, "a", 0, maxStep)
}

// Guards against an endpoint without requests that counts as silent because it has nothing to say.
func TestIdleEndpointIsNotSilent(t *testing.T) {
	tr := newTracker()
	tr.Ended("a", false)
	play(tr, start, 4*time.Second, "b", "c")
	wantSilence(t, tr, "a", 0, 0)
}

// Guards against an endpoint that counts as answering when its answers have ended, and is then expected to
// pause no longer than within an answer.
func TestEndpointIsAnsweringWhileAnAnswerHasBegun(t *testing.T) {
	tr := newTracker()
	want := func(want bool) {
		t.Helper()
		if got := tr.Answering("a"); got != want {
			t.Errorf("answering is %t", got)
		}
	}
	want(false)
	tr.Begun("a")
	tr.Sent("a", "quotes")
	want(true)
	tr.Ended("a", false)
	want(true)
	tr.Ended("a", true)
	want(false)
}

// Guards against an endpoint of which all is forgotten as soon as its requests were moved elsewhere.
func TestSilenceIsKeptWhenTheRequestsHaveEnded(t *testing.T) {
	tr := newTracker()
	now := play(tr, start, time.Second, "b", "c")
	tr.Ended("a", false)
	play(tr, now, time.Second, "b", "c")
	wantSilence(t, tr, "a", 900*time.Millisecond, time.Second)
	tr.Reset("a")
	wantSilence(t, tr, "a", 0, 0)
}

// An entry has a single request, at an endpoint that the leader of its group no longer sees. Guards against
// a silence that is not noticed because the entry hears nobody else.
func TestSilenceGrowsWhileOthersAreReported(t *testing.T) {
	tr := &Tracker{}
	tr.Advance(nobody, start)
	tr.Sent("a", "quotes")
	now := start
	for range 10 {
		now = now.Add(tick)
		tr.Advance(func(id string) bool { return id == "a" }, now)
	}
	wantSilence(t, tr, "a", 10*tick, 10*tick)
}

// Guards against a tracker whose cost grows with the endpoints of a fleet, of which an entry uses some at a time.
func TestIdleEndpointsAreForgotten(t *testing.T) {
	tr := newTracker()
	tr.Ended("a", false)
	play(tr, start, time.Second, "b", "c")
	if n := len(tr.endpoints); n != 2 {
		t.Errorf("%d endpoints are tracked", n)
	}
	if ids := tr.Silent(); len(ids) != 0 {
		t.Errorf("%v are silent", ids)
	}
}

// Guards against groups that are compared with each other.
func TestOtherGroupsDoNotCount(t *testing.T) {
	tr := newTracker()
	tr.Sent("d", "orders")
	play(tr, start, 4*time.Second, "d")
	wantSilence(t, tr, "a", 0, recent+tick)
	wantSilence(t, tr, "d", 0, 0)
}

// Guards against a verdict that differs from the table for any pair of a silence and a report.
func TestJudge(t *testing.T) {
	const usual = 400 * time.Millisecond
	silences := []time.Duration{0, MinSilence - 1, MinSilence, MinUnconfirmed, usualUnconfirmed*usual - 1, usualUnconfirmed * usual}
	reports := []struct {
		name     string
		reported bool
		lag      time.Duration
		want     []Verdict // by silence
	}{
		{"no reports", false, time.Hour, []Verdict{Audible, Audible, Audible, Audible, Audible, Silent}},
		{"seen", true, MinReportLag - 1, []Verdict{Audible, Audible, Audible, Audible, Audible, Silent}},
		{"not seen", true, MinReportLag, []Verdict{Unseen, Unseen, Silent, Silent, Silent, Silent}},
	}
	for _, r := range reports {
		for i, silence := range silences {
			t.Run(fmt.Sprint(r.name, " ", silence), func(t *testing.T) {
				got := Judge(Observation{Silence: silence, Usual: usual, Reported: r.reported, Lag: r.lag})
				if got != r.want[i] {
					t.Errorf("verdict %v, want %v", got, r.want[i])
				}
			})
		}
	}
	if got := Judge(Observation{Silence: MinUnconfirmed}); got != Silent {
		t.Errorf("verdict %v without a usual pause", got)
	}
}
