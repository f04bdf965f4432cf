package frontend

import (
	"context"
	"os"
	"regexp"
	"strings"
	"testing"
)

// An operator looks a metric up that a relay shows and finds no word on it.
func TestMetricsOfRelaysAreDocumented(t *testing.T) {
	t.Parallel()
	s := newSystem(t, 1)
	e := s.start("entry1", s.store.Addr())
	for _, path := range []string{"/order/1", "/look/1", "/stream/1", "/nowhere"} {
		e.ask(context.Background(), path, "m"+path, "k1")
	}
	page, err := os.ReadFile("../../docs/METRICS.md")
	if err != nil {
		t.Fatal(err)
	}
	// Names that hold a result, an outcome, a kind or a service stand there once.
	family := regexp.MustCompile(`^(relay\.(?:results|attempts|kind|service))\..*$`)
	e.Registry.Each(func(name string, _ any) {
		want := family.ReplaceAllString(name, "$1.*")
		if !strings.Contains(string(page), "`"+want) {
			t.Errorf("%s is not in docs/METRICS.md", want)
		}
	})
}
