package frontend

import (
	"context"
	"os"
	"regexp"
	"strings"
	"testing"
)

// documentedMetrics returns the metric names in the relays' section of
// docs/METRICS.md.
func documentedMetrics(t *testing.T) map[string]bool {
	t.Helper()
	b, err := os.ReadFile("../../docs/METRICS.md")
	if err != nil {
		t.Fatal(err)
	}
	_, page, _ := strings.Cut(string(b), "\n## Relays\n")
	page, _, _ = strings.Cut(page, "\n## ")
	names := map[string]bool{}
	for _, m := range regexp.MustCompile("(?m)^\\| `([a-zA-Z.*]+)` \\|").FindAllStringSubmatch(page, -1) {
		names[m[1]] = true
	}
	return names
}

// Guards against metrics that an operator cannot look up: docs/METRICS.md must list
// each metric that a relay exposes, and no other.
func TestMetricsPageIsComplete(t *testing.T) {
	t.Parallel()
	s := newSystem(t, 1)
	e := s.start("entry1", s.store.Addr())
	for _, path := range []string{"/order/1", "/look/1", "/stream/1", "/nowhere"} {
		e.request(context.Background(), path, "m"+path, "k1")
	}
	// Names that contain a result, an outcome, a kind, a service or an account are listed once.
	family := regexp.MustCompile(`^(relay\.(?:results|attempts|kind|service|class|accounts)|platform\.(?:calls|bytes)|peer\.(?:sent|received))\..*$`)
	page, shown := documentedMetrics(t), map[string]bool{}
	e.Registry.Each(func(name string, _ any) { shown[family.ReplaceAllString(name, "$1.*")] = true })
	for name := range shown {
		if !page[name] {
			t.Errorf("%s is not documented", name)
		}
	}
	for name := range page {
		if !shown[name] {
			t.Errorf("%s is documented, but no relay exposes it", name)
		}
	}
}
