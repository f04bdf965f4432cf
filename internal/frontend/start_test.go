package frontend

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/fleet"
)

// putFormer writes the keys of an entry's former life.
func (s *system) putFormer(e *entry, host bool) {
	s.t.Helper()
	m := e.member()
	m.Host = host
	value, err := json.Marshal(m)
	if err != nil {
		s.t.Fatal(err)
	}
	s.store.Put(m.Key(), value)
	if host {
		s.store.Put(m.HostKey(), value)
	}
}

// All entries of a data centre lose power and start again, while the store still lists them. Guards
// against each of them reading the complete state from the store: of a large fleet, none gets it, and
// all requests are refused for good.
func TestEntriesThatLostPowerTogetherReadTheStoreThroughFew(t *testing.T) {
	const n, hosts, mostLists = 24, 5, 8
	s := newSystem(t, 1)
	s.maxHostWait = time.Second
	var entries []*entry
	for i := range n {
		e := s.listen(fmt.Sprint("entry", i), s.store.Addr())
		s.putFormer(e, i < hosts)
		entries = append(entries, e)
	}
	s.t.Cleanup(func() { stopAll(entries) })
	for _, e := range entries {
		e.begin()
	}
	for _, e := range entries {
		s.eventually("the entry is ready", func() bool { return e.ready() == http.StatusOK })
	}
	if got := s.store.Listed(""); got > mostLists {
		t.Errorf("%d entries read the complete state from the store %d times", n, got)
	}
	if got := s.store.Listed(fleet.KindPrefix(fleet.Entry)); got > 0 {
		t.Errorf("%d entries listed all others %d times", n, got)
	}
}
