package relay

import (
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/directory"
	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/placement"
	"github.com/hyssoprelay/hyssoprelay/internal/routing"
)

// The store is back, and an endpoint whose entry vanished in its absence has left.
// Guards against requests that it gets for up to a second after its entry has ceased to
// hold, as what was chosen from was only looked at anew once a second.
func TestHeldEndpointIsDroppedInTime(t *testing.T) {
	s := &routing.Service{Name: "quotes"}
	b := newBelief("me", s)
	list(b, 1, "quotes")
	b.Change(func(d *directory.Directory) {
		d.Returned(start)
		d.Remove("e0", start)
	})
	held := start.Add(lapseHold - time.Millisecond)
	if _, e := b.Choose(s, placement.Query{}, held); e != nil {
		t.Fatal(e)
	}
	if p, e := b.Choose(s, placement.Query{}, held.Add(2*time.Millisecond)); e == nil {
		t.Errorf("a request is given to %s", p.Endpoint.ID)
	}
}
