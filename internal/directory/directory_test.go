package directory

import (
	"slices"
	"testing"
	"time"
)

var start = time.Unix(10000, 0)

func entry(id string, startMillis uint64, addr string) Entry {
	return Entry{ID: id, StartMillis: startMillis, Service: "quotes", Address: addr, DataCentre: "a", Slots: 4}
}

func newDirectory() *Directory {
	return &Directory{
		RetentionAfterOutage: 2 * time.Second,
		ColdStart:            func(string) time.Duration { return 3 * time.Second },
	}
}

func ids(d *Directory, now time.Time) []string {
	var out []string
	for _, e := range d.Endpoints(now) {
		out = append(out, e.ID)
	}
	return out
}

func wantIDs(t *testing.T, d *Directory, now time.Time, want ...string) {
	t.Helper()
	if got := ids(d, now); !slices.Equal(got, want) {
		t.Fatalf("endpoints %v, want %v", got, want)
	}
}

// Guards against refusing all callers after an outage of the store: leases expire
// during the outage, the store reports the vanished entries when it recovers, and the
// endpoints need two seconds to write them again.
func TestExpiredEntriesAreRetainedAfterOutage(t *testing.T) {
	d := newDirectory()
	d.Put(entry("x", 1, "1:1"), start)
	d.Put(entry("y", 1, "2:1"), start)
	recovered := start.Add(10 * time.Second)
	d.StoreRecovered(recovered)
	d.Remove("x", recovered)
	d.Remove("y", recovered)
	wantIDs(t, d, recovered.Add(1900*time.Millisecond), "x", "y")
	d.Put(entry("x", 1, "1:1"), recovered.Add(time.Second))
	wantIDs(t, d, recovered.Add(2100*time.Millisecond), "x")
}

// Guards against sending requests for seconds to an endpoint that left: its entry was
// removed without having been marked as draining.
func TestRemovedEntryExpiresImmediately(t *testing.T) {
	d := newDirectory()
	d.Put(entry("x", 1, "1:1"), start)
	d.Remove("x", start)
	wantIDs(t, d, start)
}

// Guards against sending requests to a draining endpoint, and against retaining its
// entry when it vanishes in an outage, as if it had merely expired.
func TestDrainingEndpointIsNotUsable(t *testing.T) {
	d := newDirectory()
	e := entry("x", 1, "1:1")
	e.Draining = true
	d.Put(e, start)
	wantIDs(t, d, start)
	d.StoreRecovered(start)
	d.Remove("x", start)
	if d.Len() != 0 {
		t.Fatal("the vanished entry of a draining endpoint is retained")
	}
}

// After a power loss, engines start under new IDs at their previous addresses, and
// the old entries remain for some seconds. Guards against sending requests for the
// old IDs: they are answered as misdirected until they run out of attempts.
func TestLaterStartAtAddressReplacesEarlierOne(t *testing.T) {
	for _, order := range [][]Entry{
		{entry("old", 1, "1:1"), entry("new", 2, "1:1")},
		{entry("new", 2, "1:1"), entry("old", 1, "1:1")},
	} {
		d := newDirectory()
		for _, e := range order {
			d.Put(e, start)
		}
		wantIDs(t, d, start, "new")
	}
}

// Another service has taken over an address and says so in its answer. Guards against
// using the endpoint again because of its old entry.
func TestMisdirectedEndpointIsUnusableUntilRestart(t *testing.T) {
	d := newDirectory()
	d.Put(entry("x", 1, "1:1"), start)
	d.MarkMisdirected("x", 1)
	wantIDs(t, d, start)
	d.Put(entry("x", 1, "1:1"), start)
	wantIDs(t, d, start)
	d.Put(entry("x", 2, "1:1"), start)
	wantIDs(t, d, start, "x")
}

// Guards against a delayed answer of the store that replaces an endpoint's entry with
// that of an earlier start.
func TestEntryOfEarlierStartIsIgnored(t *testing.T) {
	d := newDirectory()
	d.Put(entry("x", 2, "1:1"), start)
	d.Put(entry("x", 1, "9:9"), start)
	if e, ok := d.Usable("x", start); !ok || e.Address != "1:1" {
		t.Fatalf("%+v, %v", e, ok)
	}
}

func TestColdEndpoints(t *testing.T) {
	coldAt := func(d *Directory, id string, now time.Time) bool {
		e, ok := d.Usable(id, now)
		if !ok {
			t.Fatalf("%s is not usable", id)
		}
		return e.ColdAt(now)
	}
	t.Run("an endpoint that starts after the first listing is cold whatever its entry says", func(t *testing.T) {
		d := newDirectory()
		d.ApplyListing(nil, start)
		d.Put(entry("x", 1, "1:1"), start)
		if !coldAt(d, "x", start.Add(2900*time.Millisecond)) || coldAt(d, "x", start.Add(3100*time.Millisecond)) {
			t.Fatal("not cold for exactly the cold start time")
		}
	})
	t.Run("an endpoint of the first listing is not cold", func(t *testing.T) {
		d := newDirectory()
		d.Put(entry("x", 1, "1:1"), start)
		d.ApplyListing(map[string]bool{"x": true}, start)
		if coldAt(d, "x", start) {
			t.Fatal("cold")
		}
	})
	t.Run("an endpoint that reports a cold start is cold", func(t *testing.T) {
		d := newDirectory()
		d.Put(entry("x", 1, "1:1"), start)
		d.ExtendColdStart("x", time.Second, start)
		if !coldAt(d, "x", start.Add(900*time.Millisecond)) {
			t.Fatal("not cold")
		}
	})
	t.Run("endpoints of a data centre that is put back into service are cold", func(t *testing.T) {
		d := newDirectory()
		d.Put(entry("x", 1, "1:1"), start)
		d.SetOutOfService("a", true, start)
		wantIDs(t, d, start)
		d.SetOutOfService("a", false, start.Add(time.Minute))
		if !coldAt(d, "x", start.Add(time.Minute)) {
			t.Fatal("not cold")
		}
	})
}
