package command

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"sort"
	"strings"
	"time"
)

const (
	// explainBefore is how far back what a process believed is of interest: the
	// longest that an entry goes on with what it knows.
	explainBefore = 10 * time.Second
	// explainClocks is what the clocks of two VMs may differ by.
	explainClocks = 200 * time.Millisecond
	// longestLine bounds one line of a log.
	longestLine = 1 << 20
)

// stateMessages are the messages that report a change of the state of a process.
var stateMessages = []string{
	"dependency lost", "dependency regained", "configuration in force", "configuration is missing", "data centre order in force",
	"endpoint entry removed", "freshness of keys confirmed by another entry", "settings reloaded", "full store listing applied",
	"group leadership acquired", "group leadership lost", "relay started", "relay draining", "relay stopping",
	"answers cut off, the grace time is used up",
	"lease renewed by another entry", "reports need more of the line than a hub may use",
	"log lines left out", "log lines lost, the output is not read", "agent does not answer, its engine is asked directly",
}

type explainCommand struct {
	Args struct {
		Request string   `positional-arg-name:"REQUEST" description:"the request's id" required:"1"`
		Files   []string `positional-arg-name:"FILE" description:"saved logs of processes; - for standard input" required:"1"`
	} `positional-args:"yes"`
	program *Program
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	var lines []logLine
	for _, name := range c.Args.Files {
		read, err := readLog(name)
		if err != nil {
			return err
		}
		lines = append(lines, read...)
	}
	story := explain(c.Args.Request, lines)
	if len(story) == 0 {
		return usageError{text: fmt.Sprintf("no line of these logs names request %s", c.Args.Request)}
	}
	for _, l := range story {
		c.program.print(l.text())
	}
	return nil
}

// logLine is one line of a process's log.
type logLine struct {
	at     time.Time
	fields map[string]any
}

func (l logLine) field(name string) string {
	s, _ := l.fields[name].(string)
	return s
}

// text is the line for a reader: time, process, message, and the other fields in
// order of their names.
func (l logLine) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s: %s", l.at.UTC().Format("15:04:05.000"), l.field("process"), l.field("msg"))
	names := make([]string, 0, len(l.fields))
	for name := range l.fields {
		if !slices.Contains([]string{"time", "process", "msg", "level", "dataCentre"}, name) {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	for _, name := range names {
		fmt.Fprintf(&b, " %s=%v", name, l.fields[name])
	}
	return b.String()
}

func readLog(name string) ([]logLine, error) {
	if name == "-" {
		return parseLog(os.Stdin)
	}
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	lines, err := parseLog(f)
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	return lines, err
}

// parseLog reads lines that hold one JSON object, behind whatever a collector of
// logs has put before it. Others are passed over.
func parseLog(r io.Reader) ([]logLine, error) {
	var out []logLine
	s := bufio.NewScanner(r)
	s.Buffer(nil, longestLine)
	for s.Scan() {
		i := bytes.IndexByte(s.Bytes(), '{')
		if i < 0 {
			continue
		}
		l := logLine{}
		if json.Unmarshal(s.Bytes()[i:], &l.fields) != nil {
			continue
		}
		at, err := time.Parse(time.RFC3339Nano, l.field("time"))
		if err != nil {
			continue
		}
		l.at = at
		out = append(out, l)
	}
	return out, s.Err()
}

// explain returns the lines of a request, with what the processes that handled
// it came to believe before, and what others tell of its endpoints, in order of
// time. Lines of one process keep their order.
func explain(request string, lines []logLine) []logLine {
	processes, endpoints := map[string]bool{}, map[string]bool{}
	var from, to time.Time
	for _, l := range lines {
		if l.field("request") != request {
			continue
		}
		processes[l.field("process")] = true
		noteEndpoints(endpoints, l)
		if from.IsZero() || l.at.Before(from) {
			from = l.at
		}
		if l.at.After(to) {
			to = l.at
		}
	}
	from, to = from.Add(-explainBefore), to.Add(explainClocks)
	var out []logLine
	for _, l := range lines {
		if l.at.Before(from) || l.at.After(to) {
			continue
		}
		if l.field("request") == request || concerns(l, processes, endpoints) {
			out = append(out, l)
		}
	}
	if len(processes) == 0 {
		return nil
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].at.Before(out[j].at) })
	return out
}

func noteEndpoints(endpoints map[string]bool, l logLine) {
	if id := l.field("endpoint"); id != "" {
		endpoints[id] = true
	}
	ids, _ := l.fields["endpoints"].([]any)
	for _, id := range ids {
		endpoints[fmt.Sprint(id)] = true
	}
}

// concerns reports whether a line tells what a process of the request believed,
// or what became of one of its endpoints, or who led the engines' groups.
func concerns(l logLine, processes, endpoints map[string]bool) bool {
	if l.field("request") != "" {
		return false
	}
	msg := l.field("msg")
	if strings.HasPrefix(msg, "group ") {
		return slices.Contains(stateMessages, msg)
	}
	if endpoints[l.field("endpoint")] {
		return processes[l.field("process")]
	}
	return processes[l.field("process")] && msg != "endpoint entry removed" && slices.Contains(stateMessages, msg)
}
