package frontend

import (
	"context"
	"os"
	"regexp"
	"strings"
	"testing"
)

// documented returns the names in the relays' part of the page on metrics.
func documented(t *testing.T) map[string]bool {
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

// An operator looks a metric up in the night. Each one that a relay shows is on
// the page, and each one on the page is shown.
func TestMetricsPageIsComplete(t *testing.T) {
	t.Parallel()
	s := newSystem(t, 1)
	e := s.start("entry1", s.store.Addr())
	for _, path := range []string{"/order/1", "/look/1", "/stream/1", "/nowhere"} {
		e.ask(context.Background(), path, "m"+path, "k1")
	}
	// Names that hold a result, an outcome, a kind or a service stand there once.
	family := regexp.MustCompile(`^(relay\.(?:results|attempts|kind|service))\..*$`)
	page, shown := documented(t), map[string]bool{}
	e.Registry.Each(func(name string, _ any) { shown[family.ReplaceAllString(name, "$1.*")] = true })
	for name := range shown {
		if !page[name] {
			t.Errorf("%s is not on the page", name)
		}
	}
	for name := range page {
		if !shown[name] {
			t.Errorf("%s is on the page and no relay shows it", name)
		}
	}
}
