package command

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/operator"
)

// show prints v as JSON when that was asked for, else by text.
func (p *Program) show(v any, text func() string) error {
	if !p.options.JSON {
		p.print(text())
		return nil
	}
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	p.print(string(b))
	return nil
}

// printRefusal prints a refusal, with every fault of a preset.
func (p *Program) printRefusal(r *refusal) {
	if p.options.JSON {
		b, _ := json.MarshalIndent(r.reply, "", "  ")
		p.print(string(b))
		return
	}
	_, _ = fmt.Fprintln(p.Stderr, r.Error())
	for _, f := range r.reply.Faults {
		_, _ = fmt.Fprintln(p.Stderr, "  "+faultText(f))
	}
}

func faultText(f operator.FaultView) string {
	var b strings.Builder
	if f.Line > 0 {
		fmt.Fprintf(&b, "line %d: ", f.Line)
	}
	if f.Section != "" {
		fmt.Fprintf(&b, "[%s] ", f.Section)
	}
	if f.Key != "" {
		b.WriteString(f.Key + ": ")
	}
	return b.String() + f.Found + "; allowed: " + f.Allowed
}

// table returns rows as columns. The first row is the header.
func table(rows [][]string) string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	for _, r := range rows {
		_, _ = fmt.Fprintln(w, strings.Join(r, "\t"))
	}
	_ = w.Flush()
	lines := strings.Split(strings.TrimRight(b.String(), "\n"), "\n")
	for i, line := range lines {
		lines[i] = strings.TrimRight(line, " ")
	}
	return strings.Join(lines, "\n")
}

func yes(b bool) string {
	if b {
		return "yes"
	}
	return "-"
}

func clock(micros int64) string {
	return time.UnixMicro(micros).UTC().Format("2006-01-02 15:04:05Z")
}
