package relay

import "testing"

// TestResumeNumberIsReadOrLeftOut guards against taking a number that can't be read for the greatest one,
// with which each event counts as a repeat and the caller's stream is empty, or for one below zero.
func TestResumeNumberIsReadOrLeftOut(t *testing.T) {
	for text, want := range map[string]int64{
		"": 0, "12": 12, " 12 ": 12, "abc": 0, "1.5": 0, "-5": 0,
		"99999999999999999999": 0, "-99999999999999999999": 0,
	} {
		if got := parseEventID(text); got != want {
			t.Errorf("%q: got %d, want %d", text, got, want)
		}
	}
}
