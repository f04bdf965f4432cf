package retryafter

import (
	"testing"
	"time"
)

// Guards against a time that is misread: half a second as none, and a very large one as negative.
func TestParse(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"2": 2 * time.Second, " 0.25 ": 250 * time.Millisecond, "99999999999": Max, "1e300": Max,
		"": 0, "0": 0, "-1": 0, "NaN": 0, "Inf": 0, "3s": 0, "soon": 0, "1e400": 0,
		"Thu, 01 Jan 2026 00:00:00 GMT": 0,
	} {
		if got := Parse(text); got != want {
			t.Errorf("%q: %v, want %v", text, got, want)
		}
	}
}
