package command

import (
	"encoding/json"
	"sort"
	"strconv"

	"github.com/hyssoprelay/hyssoprelay/internal/operator"
	"github.com/hyssoprelay/hyssoprelay/internal/timeline"
)

// traceEvent is one event of the trace-event format, which trace viewers read.
// Times are microseconds.
type traceEvent struct {
	Name     string     `json:"name"`
	Category string     `json:"cat,omitempty"`
	Phase    string     `json:"ph"`
	Time     float64    `json:"ts"`
	Duration *float64   `json:"dur,omitempty"`
	Process  int        `json:"pid"`
	Thread   int        `json:"tid"`
	Scope    string     `json:"s,omitempty"`
	ID       string     `json:"id,omitempty"`
	Binding  string     `json:"bp,omitempty"`
	Args     *traceArgs `json:"args,omitempty"`
}

type traceArgs struct {
	Name      string `json:"name,omitempty"`
	RequestID string `json:"requestId,omitempty"`
	Endpoint  string `json:"endpoint,omitempty"`
	Detail    string `json:"detail,omitempty"`
	Number    uint64 `json:"number,omitempty"`
	Stamp     uint64 `json:"stamp,omitempty"`
}

// The phases of trace events that are used.
const (
	phaseComplete  = "X"
	phaseInstant   = "i"
	phaseMetadata  = "M"
	phaseFlowStart = "s"
	phaseFlowEnd   = "f"
	logicalSteps   = 4096
)

// span is the time that a request spent in one process.
type span struct {
	request string
	process int
	first   float64
	last    float64
	lane    int
}

type spanKey struct {
	request string
	process int
}

// trace lays events out as a trace: each process is a track, each request a
// bar in the process from its first event to its last, on a lane that no other
// request uses at the time; arrows lead a request from process to process.
type trace struct {
	events    []traceEvent
	processes map[string]int
	spans     map[spanKey]*span
}

// traceText returns events, which must be in causal order, as trace events.
func traceText(events []operator.EventView) (string, error) {
	t := &trace{events: []traceEvent{}, processes: map[string]int{}, spans: map[spanKey]*span{}}
	for _, e := range events {
		t.measure(e)
	}
	t.assignLanes()
	t.addSpans()
	for _, e := range events {
		t.addInstant(e)
	}
	t.addFlows(events)
	sort.SliceStable(t.events, func(i, j int) bool { return t.events[i].Time < t.events[j].Time })
	b, err := json.MarshalIndent(struct {
		Events []traceEvent `json:"traceEvents"`
	}{t.events}, "", " ")
	return string(b), err
}

// micros turns a stamp into a time. The logical part becomes a fraction of a
// microsecond, so that the viewer keeps the causal order.
func micros(stamp uint64) float64 {
	s := timeline.Stamp(stamp)
	logical := s - timeline.StampAt(s.Time())
	return float64(s.Time().UnixMicro()) + float64(logical)/logicalSteps
}

func (t *trace) process(e operator.EventView) int {
	id, ok := t.processes[e.Process]
	if !ok {
		id = len(t.processes) + 1
		t.processes[e.Process] = id
		t.events = append(t.events, traceEvent{
			Name: "process_name", Phase: phaseMetadata, Process: id,
			Args: &traceArgs{Name: e.DataCentre + "/" + e.Process},
		})
	}
	return id
}

func (t *trace) measure(e operator.EventView) {
	id := t.process(e)
	if e.RequestID == "" {
		return
	}
	k := spanKey{e.RequestID, id}
	at := micros(e.Stamp)
	s, ok := t.spans[k]
	if !ok {
		s = &span{request: e.RequestID, process: id, first: at}
		t.spans[k] = s
	}
	s.last = at
}

// sorted returns the spans by their begin.
func (t *trace) sorted() []*span {
	list := make([]*span, 0, len(t.spans))
	for _, s := range t.spans {
		list = append(list, s)
	}
	sort.Slice(list, func(i, j int) bool {
		a, b := list[i], list[j]
		if a.first != b.first {
			return a.first < b.first
		}
		if a.process != b.process {
			return a.process < b.process
		}
		return a.request < b.request
	})
	return list
}

// assignLanes gives each span the lowest lane of its process that is free.
// Lane 0 is for events that belong to no request.
func (t *trace) assignLanes() {
	busy := map[int][]float64{} // by process: the end of each lane's last span
	for _, s := range t.sorted() {
		lanes := busy[s.process]
		lane := 0
		for lane < len(lanes) && lanes[lane] >= s.first {
			lane++
		}
		if lane == len(lanes) {
			lanes = append(lanes, 0)
		}
		lanes[lane] = s.last
		busy[s.process] = lanes
		s.lane = lane + 1
	}
}

func (t *trace) addSpans() {
	for _, s := range t.sorted() {
		d := s.last - s.first
		t.events = append(t.events, traceEvent{
			Name: s.request, Category: "request", Phase: phaseComplete, Time: s.first,
			Duration: &d, Process: s.process, Thread: s.lane,
		})
	}
}

func (t *trace) lane(e operator.EventView) int {
	if s, ok := t.spans[spanKey{e.RequestID, t.processes[e.Process]}]; ok {
		return s.lane
	}
	return 0
}

func (t *trace) addInstant(e operator.EventView) {
	t.events = append(t.events, traceEvent{
		Name: e.Kind, Category: "event", Phase: phaseInstant, Scope: "t",
		Time: micros(e.Stamp), Process: t.processes[e.Process], Thread: t.lane(e),
		Args: &traceArgs{RequestID: e.RequestID, Endpoint: e.Endpoint, Detail: e.Detail, Number: e.Number, Stamp: e.Stamp},
	})
}

// addFlows draws an arrow wherever a request's next event is in another
// process. Each has an id of its own, as viewers want it.
func (t *trace) addFlows(events []operator.EventView) {
	n := 0
	last := map[string]operator.EventView{}
	for _, e := range events {
		if e.RequestID == "" {
			continue
		}
		before, ok := last[e.RequestID]
		last[e.RequestID] = e
		if !ok || before.Process == e.Process {
			continue
		}
		n++
		t.flow(phaseFlowStart, n, before)
		t.flow(phaseFlowEnd, n, e)
	}
}

func (t *trace) flow(phase string, n int, e operator.EventView) {
	t.events = append(t.events, traceEvent{
		Name: "request", Category: "request", Phase: phase, ID: strconv.Itoa(n), Binding: "e",
		Time: micros(e.Stamp), Process: t.processes[e.Process], Thread: t.lane(e),
	})
}
