package demo

import (
	"net/http"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/hyssoprelay/hyssoprelay/internal/caller"
)

// metricsPage is the page on metrics, as seen from this package.
const metricsPage = "../../docs/METRICS.md"

// families are metrics of which there is one for each result code.
var families = []string{"endpoint.failed.", "entry.results."}

// documented returns the names on the page.
func documented(t *testing.T) map[string]bool {
	t.Helper()
	b, err := os.ReadFile(metricsPage)
	if err != nil {
		t.Fatal(err)
	}
	// Relays and rankers run on the users' platform and not in this system;
	// their part of the page is held against them in their own packages.
	page, _, _ := strings.Cut(string(b), "\n## Relays\n")
	names := map[string]bool{}
	for _, m := range regexp.MustCompile("(?m)^\\| `([a-zA-Z.*]+)` \\|").FindAllStringSubmatch(page, -1) {
		names[m[1]] = true
	}
	return names
}

// registered returns the names that the processes of a running system have.
func registered(s *System) map[string]bool {
	names := map[string]bool{}
	add := func(name string, _ any) {
		for _, f := range families {
			if strings.HasPrefix(name, f) {
				name = f + "*"
			}
		}
		names[name] = true
	}
	for _, e := range s.EntriesOf("") {
		e.Process.Registry.Each(add)
	}
	for _, a := range s.Agents() {
		a.Process.Registry.Each(add)
	}
	return names
}

// missing returns the names that aren't among others.
func missing(names, others map[string]bool) []string {
	var out []string
	for name := range names {
		if !others[name] {
			out = append(out, name)
		}
	}
	return out
}

// An operator looks a metric up in the night. Each one that a process shows is
// on the page, and each one on the page is shown by some process.
func TestMetricsPageIsComplete(t *testing.T) {
	t.Parallel()
	s := startSystem(t, func(s *System) { s.Ranks = groupSettings() })
	if status, body := ask(t, s.EntriesOf("a")[0], caller.PathChat, chat(true)); status != http.StatusOK {
		t.Fatal(status, body)
	}
	page := documented(t)
	// A request is counted just after its caller has the whole answer.
	var left []string
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("on the page and shown by no process: %v", left)
		}
	})
	eventually(t, "each metric on the page is shown by some process", func() bool {
		left = missing(page, registered(s))
		return len(left) == 0
	})
	shown := registered(s)
	for name := range shown {
		if !page[name] {
			t.Errorf("%s is not on the page", name)
		}
	}
}
