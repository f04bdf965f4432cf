package ranker

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/hyssoprelay/hyssoprelay/internal/rank/lockstep"
)

func testReports(n int) []rankReport {
	out := make([]rankReport, 0, n)
	for i := range n {
		// Reports arrive in any order.
		r := n - 1 - i
		out = append(out, rankReport{engineReport: engineReport{
			address: "10.1.64.140:8029" + string(rune('a'+r)), state: lockstep.State{Rank: r, Accepting: true, Running: r, Slowdown: 1},
		}})
	}
	return out
}

// Guards against loads that are assigned to the wrong engines, and against sending
// the list of engines repeatedly because its hash changes.
func TestLoadsAreOrderedByRank(t *testing.T) {
	req, again := loadsRequestProto(testReports(5), true, 0), loadsRequestProto(testReports(5), true, 0)
	if req.GetList() != again.GetList() || req.GetList() == loadsRequestProto(testReports(4), true, 0).GetList() {
		t.Error("the hash of a list is not determined by its addresses")
	}
	for i, n := range req.GetRunning() {
		if int(n) != i || req.GetTargets()[i].GetEndpoint() != "10.1.64.140:8029"+string(rune('a'+i)) {
			t.Errorf("engine %d has %d requests at %s", i, n, req.GetTargets()[i].GetEndpoint())
		}
	}
	if len(req.GetPace()) != 0 || req.GetClosed() {
		t.Error("slowdowns are reported although no engine is slow, or the group is reported as closed")
	}
	slow := testReports(3)
	slow[0].state.Slowdown, slow[1].state.Accepting = 2, false
	if req := loadsRequestProto(slow, true, 0); len(req.GetPace()) != 3 || req.GetPace()[2] != 200 || !req.GetClosed() || !req.GetForming() {
		t.Errorf("slowdowns %v in percent, closed %v, forming %v", req.GetPace(), req.GetClosed(), req.GetForming())
	}
	if loadsRequestProto(slow, false, 0).GetForming() {
		t.Error("a group with a missing rank is reported as forming")
	}
	req = loadsRequestProto(testReports(129), true, 0)
	req.Targets = nil
	if n := proto.Size(req); n > 600 {
		t.Errorf("the loads of 129 engines take %d bytes", n)
	}
}

// Guards against reporting the opening of a group with the delay of a load report,
// while requests wait for it.
func TestOpeningIsReportedAtOnce(t *testing.T) {
	l := newLoadReporter("g")
	now := start
	if !l.due(true, now) || l.due(true, now.Add(time.Millisecond)) {
		t.Error("the first report is not due exactly once")
	}
	if !l.due(false, now.Add(2*time.Millisecond)) {
		t.Error("the opening is not reported at once")
	}
}
