package command

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/hyssoprelay/hyssoprelay/internal/operator"
	"github.com/hyssoprelay/hyssoprelay/internal/peer/peerpb"
	"github.com/hyssoprelay/hyssoprelay/internal/timeline"
)

// TestTimelineFormats runs the cases of testdata. A line of input is one
// event: microseconds after a second, logical count, data centre, process,
// kind, request, endpoint, number; "-" is empty. "entry" begins what the next
// entry tells, "silent NAME" is a process that did not answer it.
func TestTimelineFormats(t *testing.T) {
	datadriven.RunTest(t, "testdata/timeline", func(t *testing.T, d *datadriven.TestData) string {
		merged := merge(parseReplies(t, d.Input))
		switch d.Cmd {
		case "text":
			return timelineText(merged) + "\n"
		case "trace":
			text, err := traceText(merged.Events)
			if err != nil {
				t.Fatal(err)
			}
			return compact(t, text)
		default:
			t.Fatalf("unknown command %s", d.Cmd)
			return ""
		}
	})
}

// compact puts each trace event on a line of its own.
func compact(t *testing.T, text string) string {
	t.Helper()
	var doc struct {
		Events []json.RawMessage `json:"traceEvents"`
	}
	if err := json.Unmarshal([]byte(text), &doc); err != nil || doc.Events == nil {
		t.Fatalf("error %v, events %v", err, doc.Events)
	}
	var b strings.Builder
	for _, e := range doc.Events {
		b.WriteString(strings.Join(strings.Fields(string(e)), " ") + "\n")
	}
	return b.String()
}

func parseReplies(t *testing.T, input string) []operator.TimelineReply {
	t.Helper()
	var replies []operator.TimelineReply
	for _, line := range strings.Split(input, "\n") {
		f := strings.Fields(line)
		if f[0] == "entry" {
			replies = append(replies, operator.TimelineReply{})
			continue
		}
		r := &replies[len(replies)-1]
		if f[0] == "silent" {
			r.Silent = append(r.Silent, f[1])
			continue
		}
		r.Events = append(r.Events, parseEvent(t, f))
	}
	return replies
}

func parseEvent(t *testing.T, f []string) operator.EventView {
	t.Helper()
	n := map[int]uint64{0: 0, 1: 0, 7: 0}
	for i := range n {
		v, err := strconv.ParseUint(f[i], 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		n[i] = v
	}
	text := func(i int) string { return strings.TrimPrefix(f[i], "-") }
	at := time.Unix(1000, 0).Add(time.Duration(n[0]) * time.Microsecond)
	return operator.EventView{
		Stamp: uint64(timeline.StampAt(at)) + n[1], DataCentre: text(2), Process: text(3), Kind: text(4),
		RequestID: text(5), Endpoint: text(6), Number: n[7],
	}
}

// toldBy is a time line that one entry gathers.
type toldBy struct {
	events []*peerpb.TimelineEvent
	silent []string
	asked  *peerpb.TimelineRequest
}

func (s *toldBy) Timeline(_ context.Context, r *peerpb.TimelineRequest) ([]*peerpb.TimelineEvent, []string) {
	s.asked = r
	return s.events, s.silent
}

// TestTimelineOfSeveralEntries: astana is cut off. No entry hears from all
// processes, and only both together tell the story of a request that was
// retried across the cut. Each event must come once, and cause before effect.
func TestTimelineOfSeveralEntries(t *testing.T) {
	event := func(stamp uint64, process, kind string) *peerpb.TimelineEvent {
		return &peerpb.TimelineEvent{Hlc: stamp, Process: process, Kind: kind, RequestId: "q"}
	}
	shared := event(3, "entry-1", "retried")
	one := &toldBy{events: []*peerpb.TimelineEvent{shared, event(1, "entry-1", "placed")}, silent: []string{"agent-9", "agent-8"}}
	two := &toldBy{events: []*peerpb.TimelineEvent{event(2, "agent-8", "refused"), shared}, silent: []string{"agent-9"}}
	var addrs []string
	for _, told := range []*toldBy{one, two} {
		e := newEntry(t, newService(t))
		e.Timeline = told
		addrs = append(addrs, serve(t, e))
	}
	addrs = append(addrs, deadAddress(t))
	o := runLine(t, addrs, "timeline", "--plain", "--json", "--request=q", "--dataCentre=astana", "--kind=placed", "--endpoint=e", "--since=1m")
	var r operator.TimelineReply
	if err := json.Unmarshal([]byte(o.stdout), &r); err != nil || o.code != exitDone {
		t.Fatalf("%v in %+v", err, o)
	}
	var got []string
	for _, e := range r.Events {
		got = append(got, fmt.Sprintf("%d %s %s", e.Stamp, e.Process, e.Kind))
	}
	const want = "1 entry-1 placed, 2 agent-8 refused, 3 entry-1 retried"
	if strings.Join(got, ", ") != want || len(r.Silent) != 1 || r.Silent[0] != "agent-9" {
		t.Errorf("events %v, silent %v", got, r.Silent)
	}
	q := two.asked
	if q.GetRequestId() != "q" || q.GetDataCentre() != "astana" || q.GetKind() != "placed" || q.GetEndpoint() != "e" ||
		q.GetSinceUnixMicros() != start.Add(-time.Minute).UnixMicro() {
		t.Errorf("asked %v", q)
	}
}
