package relay

import (
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/directory"
	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/placement"
	"github.com/hyssoprelay/hyssoprelay/internal/routing"
)

// The store is back, and an endpoint whose store entry vanished while it was unavailable has left.
// Guards against requests that are sent to it for up to a second after its retention has ended,
// because the list of usable endpoints was refreshed only once per second.
func TestHeldEndpointIsDroppedInTime(t *testing.T) {
	s := &routing.Service{Name: "quotes"}
	st := newState("me", s)
	listEndpoints(st, 1, "quotes")
	st.UpdateDirectory(func(d *directory.Directory) {
		d.StoreRecovered(start)
		d.Remove("e0", start)
	})
	held := start.Add(retentionAfterOutage - time.Millisecond)
	if _, e := st.Choose(s, placement.Query{}, held); e != nil {
		t.Fatal(e)
	}
	if assigned, e := st.Choose(s, placement.Query{}, held.Add(2*time.Millisecond)); e == nil {
		t.Errorf("a request was assigned to %s", assigned.Endpoint.ID)
	}
}
