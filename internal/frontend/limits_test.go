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

// An endpoint reports a limit to one entry and later reports none. Guards against
// another entry that learns of neither: it would send an additional request to find
// out, or keep to the limit for too long.
func TestLimitAndItsEndReachOtherEntries(t *testing.T) {
	s := newSystem(t, 1)
	entries := s.startEntries(2)
	for i, c := range []struct {
		limit string
		want  int
	}{{"2.5", 1}, {"", 0}} {
		s.endpoints[0].NameLimit(c.limit)
		id := string(rune('a' + i))
		s.eventually("a request is answered", func() bool {
			return entries[0].request(context.Background(), "/look/1", id, "k1").status == 200
		})
		for _, e := range entries {
			s.eventually("the limit is up to date", func() bool { return e.state.LimitedEndpoints(boottime.Now()) == c.want })
		}
	}
	if !entries[1].log.Has("endpoint limit received from another entry") {
		t.Error("no log line names the entry that reported the limit")
	}
}

// A thousand endpoints report limits to one entry within a second. Guards against
// messages to the other entries that grow with the number of endpoints.
func TestSizeOfManyLimitsIsBounded(t *testing.T) {
	const endpoints, maxBytes = 1000, 16 * 48
	now := boottime.Now()
	f := &Frontend{state: &relay.State{Name: "entry0"}}
	f.state.Init(now)
	for i := range endpoints {
		ep := directory.Endpoint{Entry: directory.Entry{ID: fmt.Sprintf("i-%010x", i*7919), StartMillis: uint64(now.UnixMilli())}}
		f.state.RecordLimit(relay.Assignment{Endpoint: ep}, 1.25, now.Add(time.Duration(i)*time.Millisecond))
	}
	limits := f.ownLimits(now.Add(time.Second))
	if n := proto.Size(&fleetpb.EntryWork{Limits: limits}); n > maxBytes || len(limits) == 0 {
		t.Errorf("%d limits take %d bytes, want at most %d", len(limits), n, maxBytes)
	}
	if first := limits[0].GetEndpoint(); first != fmt.Sprintf("i-%010x", (endpoints-1)*7919) {
		t.Errorf("the newest limit is missing, the first is %s", first)
	}
}
