package command

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/hyssoprelay/hyssoprelay/internal/operator"
)

type statusCommand struct{ program *Program }

// Execute implements flags.Commander.
func (c *statusCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	var s operator.StatusReply
	return c.program.get("/admin/status", &s, func() string { return statusText(s) })
}

func statusText(s operator.StatusReply) string {
	parts := []string{fmt.Sprintf("generation %d, preset %s in force", s.Generation, s.InForce)}
	if len(s.Out) > 0 {
		parts = append(parts, outText(s.Out))
	}
	parts = append(parts, processText(s.Processes))
	if t := endpointText(s.Processes); t != "" {
		parts = append(parts, t)
	}
	if t := rankText(s.Processes); t != "" {
		parts = append(parts, t)
	}
	if len(s.Silent) > 0 {
		parts = append(parts, "no answer from "+strings.Join(s.Silent, ", "))
	}
	return strings.Join(parts, "\n\n")
}

func outText(outs []operator.OutView) string {
	rows := [][]string{{"OUT OF SERVICE", "BY", "SINCE", "GENERATION"}}
	for _, o := range outs {
		generation := strconv.FormatUint(o.Generation, 10)
		if o.Held {
			generation = "held locally"
		}
		rows = append(rows, []string{o.Kind + " " + o.Name, o.By, clock(o.AtMicros), generation})
	}
	return table(rows)
}

func processText(list []operator.ProcessView) string {
	rows := [][]string{{"PROCESS", "ROLE", "DATA CENTRE", "PRESET", "GENERATION", "LEAVING", "PLATFORM"}}
	for _, p := range list {
		platform := "unreachable"
		if p.PlatformReachable {
			platform = "ok"
		}
		generation := strconv.FormatUint(p.Generation, 10)
		rows = append(rows, []string{p.Process, p.Role, p.DataCentre, p.Preset, generation, yes(p.Leaving), platform})
	}
	return table(rows)
}

// rankText lists the agents of groups of ranks, or is empty without any.
func rankText(list []operator.ProcessView) string {
	rows := [][]string{{"GROUP OF RANKS", "PROCESS", "MAP", "LEADS"}}
	for _, p := range list {
		if k := p.Ranks; k != nil {
			rows = append(rows, []string{k.Group, p.Process, strconv.FormatUint(k.MapVersion, 10), yes(k.Leads)})
		}
	}
	if len(rows) == 1 {
		return ""
	}
	return table(rows)
}

// endpointText lists what agents say of their own endpoints; what entries
// think of them is only in the JSON.
func endpointText(list []operator.ProcessView) string {
	rows := [][]string{{"ENDPOINT", "DATA CENTRE", "RUNNING", "ALLOWANCE", "CAPACITY", "COLD", "LEAVING", "OUT"}}
	for _, p := range list {
		if p.Role != "agent" {
			continue
		}
		for _, e := range p.Endpoints {
			rows = append(rows, []string{
				e.Name, e.DataCentre, number(e.Running), number(e.Allowance), number(e.Capacity),
				yes(e.Cold), yes(e.Leaving), yes(e.OutOfService),
			})
		}
	}
	if len(rows) == 1 {
		return ""
	}
	return table(rows)
}

func number(n uint32) string { return strconv.FormatUint(uint64(n), 10) }
