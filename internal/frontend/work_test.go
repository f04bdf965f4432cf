package frontend

import (
	"testing"
	"time"
)

// Each entry tells all others of its work: with 42 of them, as on a deployment of
// a hundred VMs, 1,700 messages every 20 ms would fill the lines between data
// centres. The time between them grows with the fleet, so that an entry sends and
// hears no more than in a fleet of ten.
func TestTellingDoesNotGrowWithTheFleet(t *testing.T) {
	for entries, want := range map[int]time.Duration{
		0: tellEvery, 9: tellEvery, fewEntries: tellEvery, 40: 4 * tellEvery, 640: 64 * tellEvery,
	} {
		if d := tellPause(entries); d != want {
			t.Errorf("%v between messages of %d entries, want %v", d, entries, want)
		}
	}
	if tellPause(640) > 2*time.Second {
		t.Error("others would take this entry for gone")
	}
}
