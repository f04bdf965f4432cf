package frontend

import (
	"context"
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/hyssoprelay/hyssoprelay/internal/boottime"
	"github.com/hyssoprelay/hyssoprelay/internal/directory"
	"github.com/hyssoprelay/hyssoprelay/internal/fleet/fleetpb"
	"github.com/hyssoprelay/hyssoprelay/internal/relay"
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

// A thousand endpoints name limits to one entry within a second. Guards against messages to
// the other entries that grow with the number of endpoints.
func TestFewBytesTellOfManyLimits(t *testing.T) {
	const endpoints, mostBytes = 1000, 16 * 48
	now := boottime.Now()
	f := &Frontend{belief: &relay.Belief{Name: "entry0"}}
	f.belief.Begin(now)
	for i := range endpoints {
		ep := directory.Endpoint{Entry: directory.Entry{ID: fmt.Sprintf("i-%010x", i*7919), Born: uint64(now.UnixMilli())}}
		f.belief.Limited(relay.Place{Endpoint: ep}, 1.25, now.Add(time.Duration(i)*time.Millisecond))
	}
	told := f.limitsTold(now.Add(time.Second))
	if n := proto.Size(&fleetpb.EntryWork{Limits: told}); n > mostBytes || len(told) == 0 {
		t.Errorf("%d limits take %d bytes, want at most %d", len(told), n, mostBytes)
	}
	if first := told[0].GetEndpoint(); first != fmt.Sprintf("i-%010x", (endpoints-1)*7919) {
		t.Errorf("the newest one is not among them: %s", first)
	}
}
