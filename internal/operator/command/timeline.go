package command

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/operator"
	"github.com/hyssoprelay/hyssoprelay/internal/timeline"
)

// The formats of a time line.
const (
	formatText  = "text"
	formatJSON  = "json"
	formatTrace = "trace"
)

type timelineCommand struct {
	Request    string        `long:"request" description:"only this request id"`
	Endpoint   string        `long:"endpoint" description:"only this endpoint"`
	DataCentre string        `long:"dataCentre" description:"only processes of this data centre"`
	Kind       string        `long:"kind" description:"only this kind of event"`
	Since      time.Duration `long:"since" description:"only events of the last time, such as 10m"`
	Format     string        `long:"format" description:"text, json, or trace for trace-event viewers" choice:"text" choice:"json" choice:"trace" default:"text"`

	program *Program
}

// Execute implements flags.Commander.
func (c *timelineCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	client, err := c.program.open()
	if err != nil {
		return err
	}
	merged, err := client.timeline(c.program.ctx, "/admin/timeline?"+c.query(c.program.Now()).Encode())
	if err != nil {
		return err
	}
	text, err := c.format(merged)
	if err != nil {
		return err
	}
	c.program.print(text)
	return nil
}

func (c *timelineCommand) query(now time.Time) url.Values {
	q := url.Values{}
	set := func(key, value string) {
		if value != "" {
			q.Set(key, value)
		}
	}
	set("requestId", c.Request)
	set("endpoint", c.Endpoint)
	set("dataCentre", c.DataCentre)
	set("kind", c.Kind)
	if c.Since > 0 {
		q.Set("sinceMicros", strconv.FormatInt(now.Add(-c.Since).UnixMicro(), 10))
	}
	return q
}

func (c *timelineCommand) format(r operator.TimelineReply) (string, error) {
	format := c.Format
	if c.program.options.JSON {
		format = formatJSON
	}
	switch format {
	case formatTrace:
		return traceText(r.Events)
	case formatJSON:
		b, err := json.MarshalIndent(r, "", "  ")
		return string(b), err
	default:
		return timelineText(r), nil
	}
}

// timeline asks all addresses, not only the first that answers, because an
// entry that is cut off from a data centre can't tell of its processes.
func (c *client) timeline(ctx context.Context, path string) (operator.TimelineReply, error) {
	var replies []operator.TimelineReply
	var last error
	for _, addr := range c.addrs {
		one := *c
		one.addrs = []string{addr}
		var r operator.TimelineReply
		if err := one.do(ctx, call{method: http.MethodGet, path: path}, &r); err != nil {
			last = err
			continue
		}
		replies = append(replies, r)
	}
	if len(replies) == 0 {
		return operator.TimelineReply{}, last
	}
	return merge(replies), nil
}

// merge joins what several entries tell: each event once, in causal order. A
// process is silent only when it answered no entry.
func merge(replies []operator.TimelineReply) operator.TimelineReply {
	all := operator.TimelineReply{Events: []operator.EventView{}, Silent: []string{}}
	seen := map[operator.EventView]bool{}
	silent := map[string]int{}
	for _, r := range replies {
		for _, e := range r.Events {
			if !seen[e] {
				seen[e] = true
				all.Events = append(all.Events, e)
			}
		}
		all.Omitted = max(all.Omitted, r.Omitted)
		for _, s := range r.Silent {
			silent[s]++
			if silent[s] == len(replies) {
				all.Silent = append(all.Silent, s)
			}
		}
	}
	operator.SortEvents(all.Events)
	return all
}

func timelineText(r operator.TimelineReply) string {
	rows := [][]string{{"TIME", "DATA CENTRE", "PROCESS", "EVENT", "REQUEST", "ENDPOINT", "NUMBER", "DETAIL"}}
	for _, e := range r.Events {
		at := timeline.Stamp(e.Stamp).Time().UTC().Format("15:04:05.000000")
		n := ""
		if e.Number != 0 {
			n = strconv.FormatUint(e.Number, 10)
		}
		rows = append(rows, []string{at, e.DataCentre, e.Process, e.Kind, e.RequestID, e.Endpoint, n, e.Detail})
	}
	text := table(rows)
	if r.Omitted > 0 {
		text += fmt.Sprintf("\n\n%d older events are left out; select by --request, --endpoint, --dataCentre, --kind or --since", r.Omitted)
	}
	if len(r.Silent) > 0 {
		text += fmt.Sprintf("\n\nno answer from %s", strings.Join(r.Silent, ", "))
	}
	return text
}
