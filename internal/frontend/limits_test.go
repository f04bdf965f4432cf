package frontend

import (
	"context"
	"testing"

	"github.com/hyssoprelay/hyssoprelay/internal/boottime"
)

// An endpoint names a limit to one entry, and later names none. Guards against another entry
// that hears of neither, and sends a request more to find out, or goes on for long with the
// limit.
func TestOtherEntriesHearOfALimitAndOfItsEnd(t *testing.T) {
	s := newSystem(t, 1)
	entries := s.entries(2)
	for i, c := range []struct {
		limit string
		want  int
	}{{"2.5", 1}, {"", 0}} {
		s.endpoints[0].NameLimit(c.limit)
		id := string(rune('a' + i))
		s.eventually("a request is answered", func() bool {
			return entries[0].ask(context.Background(), "/look/1", id, "k1").status == 200
		})
		for _, e := range entries {
			s.eventually("the limit is known as it is", func() bool { return e.belief.LimitedEndpoints(boottime.Now()) == c.want })
		}
	}
	if !entries[1].log.Has("limit told by another entry") {
		t.Error("no line tells from whom the limit was heard")
	}
}
