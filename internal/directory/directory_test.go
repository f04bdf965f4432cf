package directory

import (
	"slices"
	"testing"
	"time"
)

var start = time.Unix(10000, 0)

func entry(id string, born uint64, addr string) Entry {
	return Entry{ID: id, Born: born, Service: "quotes", Address: addr, DataCentre: "a", Slots: 4}
}

func newDirectory() *Directory {
	return &Directory{
		LapseHold: 2 * time.Second,
		ColdStart: func(string) time.Duration { return 3 * time.Second },
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

// All callers are refused after an outage of the store: leases lapsed while it
// was away, it tells of the vanished entries when it is back, and the endpoints
// need two seconds to write theirs again.
func TestLapsedEntriesHoldAfterAnOutage(t *testing.T) {
	d := newDirectory()
	d.Put(entry("x", 1, "1:1"), start)
	d.Put(entry("y", 1, "2:1"), start)
	back := start.Add(10 * time.Second)
	d.Returned(back)
	d.Remove("x", back)
	d.Remove("y", back)
	wantIDs(t, d, back.Add(1900*time.Millisecond), "x", "y")
	d.Put(entry("x", 1, "1:1"), back.Add(time.Second))
	wantIDs(t, d, back.Add(2100*time.Millisecond), "x")
}

// An endpoint that leaves gets requests seconds later, because its entry was
// removed without a word of draining.
func TestVanishedEntryIsGoneAtOnce(t *testing.T) {
	d := newDirectory()
	d.Put(entry("x", 1, "1:1"), start)
	d.Remove("x", start)
	wantIDs(t, d, start)
}

// A draining endpoint whose entry vanishes during an outage is not taken for one
// that merely lapsed.
func TestDrainingEndpointGetsNothing(t *testing.T) {
	d := newDirectory()
	e := entry("x", 1, "1:1")
	e.Draining = true
	d.Put(e, start)
	wantIDs(t, d, start)
	d.Returned(start)
	d.Remove("x", start)
	if d.Len() != 0 {
		t.Fatal("a draining endpoint that vanished is held")
	}
}

// After a loss of power engines start under new ids at the same addresses. The
// entries of the ones before stay for some seconds, and requests sent there are
// answered as misdirected until callers are out of attempts.
func TestLaterStartAtAnAddressEndsTheEarlierOne(t *testing.T) {
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

// Another service has taken an address; its answer says so.
func TestMisdirectedEndsAnEndpointUntilItStartsAgain(t *testing.T) {
	d := newDirectory()
	d.Put(entry("x", 1, "1:1"), start)
	d.Misdirected("x", 1)
	wantIDs(t, d, start)
	d.Put(entry("x", 1, "1:1"), start)
	wantIDs(t, d, start)
	d.Put(entry("x", 2, "1:1"), start)
	wantIDs(t, d, start, "x")
}

// A late answer of the store tells of an endpoint's earlier start.
func TestEarlierStartDoesNotComeBack(t *testing.T) {
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
	t.Run("one that starts under traffic is cold whatever its entry says", func(t *testing.T) {
		d := newDirectory()
		d.Whole(nil, start)
		d.Put(entry("x", 1, "1:1"), start)
		if !coldAt(d, "x", start.Add(2900*time.Millisecond)) || coldAt(d, "x", start.Add(3100*time.Millisecond)) {
			t.Fatal("not cold for its cold start")
		}
	})
	t.Run("one that was there before is not", func(t *testing.T) {
		d := newDirectory()
		d.Put(entry("x", 1, "1:1"), start)
		d.Whole(map[string]bool{"x": true}, start)
		if coldAt(d, "x", start) {
			t.Fatal("cold")
		}
	})
	t.Run("one that says it turned cold is", func(t *testing.T) {
		d := newDirectory()
		d.Put(entry("x", 1, "1:1"), start)
		d.Turned("x", time.Second, start)
		if !coldAt(d, "x", start.Add(900*time.Millisecond)) {
			t.Fatal("not cold")
		}
	})
	t.Run("those of a data centre that comes back are", func(t *testing.T) {
		d := newDirectory()
		d.Put(entry("x", 1, "1:1"), start)
		d.SetOut("a", true, start)
		wantIDs(t, d, start)
		d.SetOut("a", false, start.Add(time.Minute))
		if !coldAt(d, "x", start.Add(time.Minute)) {
			t.Fatal("not cold")
		}
	})
}
