package frontend

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/hyssoprelay/hyssoprelay/internal/fleet/fleetpb"
	"github.com/hyssoprelay/hyssoprelay/internal/relay"
)

// Guards against reports of waiting requests that outgrow the rest of the report. Each entry reports
// while all slots are taken and requests of six classes wait.
func TestBytesOfReports(t *testing.T) {
	const slots, maxAdded = 10, 64
	for _, c := range []struct{ entries, engines int }{{13, 64}, {30, 64}, {62, 64}, {532, 516}} {
		st := &relay.State{Name: "relay-0"}
		st.Init(time.Unix(3600, 0))
		w := &fleetpb.EntryWork{Name: "relay-0123", Born: uint64(time.Unix(7200, 0).UnixNano()), AgeMicros: 20_000}
		w.Number = st.NextSequence(0, w.GetBorn(), time.Unix(86400, 0))
		running := map[string]int{}
		for i := range slots * c.engines / c.entries {
			running[fmt.Sprintf("engine-%04d", i*7%c.engines)]++
		}
		for id, n := range running {
			w.Works = append(w.Works, &fleetpb.Work{Endpoint: id, Running: uint32(n)})
		}
		w.Waiting = []string{"streams", "orders"}
		names := proto.Size(w)
		w.Waiting = nil
		addWaiting(w, map[string][]int{"streams": {1, 0, 2, 7, 1, 12}, "orders": {3}})
		all := proto.Size(w)
		t.Logf("%d entries, %d engines: a report has %d bytes, %d of them for waiting requests by class", c.entries, c.engines, all, all-names)
		if all-names > maxAdded {
			t.Errorf("%d entries: %d bytes more for waiting requests by class", c.entries, all-names)
		}
	}
}

// Guards against reports of other versions that are misread: without classes, with more classes than are
// known, or with absurd numbers.
func TestWaitingOfOtherVersions(t *testing.T) {
	beyond := make([]uint32, 14)
	beyond[9], beyond[11], beyond[13] = 1, 2, 1<<32-1
	for _, c := range []struct {
		name string
		work *fleetpb.EntryWork
		want map[string][]int
	}{
		{"none", &fleetpb.EntryWork{}, nil},
		{"names only", &fleetpb.EntryWork{Waiting: []string{"s"}}, map[string][]int{"s": {0, 0, 0, 0, 0, 1}}},
		{
			"names and classes",
			&fleetpb.EntryWork{Waiting: []string{"s"}, ServiceWaiting: []*fleetpb.ServiceWaiting{{Service: "s", ByClass: []uint32{2, 3}}}},
			map[string][]int{"s": {2, 3}},
		},
		{
			"more classes",
			&fleetpb.EntryWork{ServiceWaiting: []*fleetpb.ServiceWaiting{{Service: "s", ByClass: beyond}}},
			map[string][]int{"s": {0, 0, 0, 0, 0, 0, 0, 0, 0, 1 + 2 + maxReportedWaiting}},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := decodeEntryLoad(c.work, time.Unix(1, 0)).WaitingByClass; !reflect.DeepEqual(got, c.want) {
				t.Errorf("%v, want %v", got, c.want)
			}
		})
	}
	t.Run("what is sent is read", func(t *testing.T) {
		w, waiting := &fleetpb.EntryWork{}, map[string][]int{"a": {1}, "b": {0, 4}}
		addWaiting(w, waiting)
		if got := waitingByClass(w); !reflect.DeepEqual(got, waiting) || len(w.GetWaiting()) != 2 {
			t.Errorf("%v and the names %v", got, w.GetWaiting())
		}
	})
}
