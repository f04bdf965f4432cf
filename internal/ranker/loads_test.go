package ranker

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/hyssoprelay/hyssoprelay/internal/rank/lockstep"
)

func looksOf(n int) []found {
	out := make([]found, 0, n)
	for i := range n {
		// The order of looks differs each time.
		r := n - 1 - i
		out = append(out, found{look: look{
			address: "10.1.64.140:8029" + string(rune('a'+r)), state: lockstep.State{Rank: r, Open: true, Running: r, Pace: 1},
		}})
	}
	return out
}

// Guards against loads that are read for other engines than they are of, and against
// a list that is told again and again since it has another name each time.
func TestLoadsAreInTheOrderOfRanks(t *testing.T) {
	q, again := loadsOf(looksOf(5), true), loadsOf(looksOf(5), true)
	if q.GetList() != again.GetList() || q.GetList() == loadsOf(looksOf(4), true).GetList() {
		t.Error("the name of a list doesn't follow from its addresses")
	}
	for i, n := range q.GetRunning() {
		if int(n) != i || q.GetTargets()[i].GetEndpoint() != "10.1.64.140:8029"+string(rune('a'+i)) {
			t.Errorf("engine %d has %d requests at %s", i, n, q.GetTargets()[i].GetEndpoint())
		}
	}
	if len(q.GetPace()) != 0 || q.GetClosed() {
		t.Error("paces are told though none is slow, or the group as closed")
	}
	slow := looksOf(3)
	slow[0].state.Pace, slow[1].state.Open = 2, false
	if q := loadsOf(slow, true); len(q.GetPace()) != 3 || q.GetPace()[2] != 200 || !q.GetClosed() || !q.GetForming() {
		t.Errorf("paces %v, closed %v, forming %v", q.GetPace(), q.GetClosed(), q.GetForming())
	}
	if loadsOf(slow, false).GetForming() {
		t.Error("a group that lacks a rank is told to be forming")
	}
	q = loadsOf(looksOf(129), true)
	q.Targets = nil
	if n := proto.Size(q); n > 600 {
		t.Errorf("the loads of 129 engines take %d bytes", n)
	}
}

// Guards against a group whose opening is told as late as any load: requests wait
// for it.
func TestOpeningIsToldAtOnce(t *testing.T) {
	l := newLoadTeller()
	now := start
	if !l.due(true, now) || l.due(true, now.Add(time.Millisecond)) {
		t.Error("loads are not told once at first")
	}
	if !l.due(false, now.Add(2*time.Millisecond)) {
		t.Error("the opening is not told at once")
	}
}
