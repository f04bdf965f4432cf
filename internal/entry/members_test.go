package entry

import (
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/peer"
	"github.com/hyssoprelay/hyssoprelay/internal/peer/peerpb"
	"github.com/hyssoprelay/hyssoprelay/internal/platform/config"
)

// An agent's configuration stays behind because the exchange that should have
// brought it up to date was lost. It must be exchanged again, but not at each
// of its reports: 23 entries that all do so at once would send it the change 23
// times.
func TestAgentThatStaysBehindIsExchangedWithAgain(t *testing.T) {
	s := &config.Store{}
	m := &members{store: s}
	same, other := peer.ConfigDigest(s), peer.ConfigDigest(s)+1
	start := time.UnixMicro(1)
	one := &member{}
	for _, step := range []struct {
		name   string
		digest uint64
		joined bool
		after  time.Duration
		want   bool
	}{
		{"just met with another configuration", other, true, 0, true},
		{"met with the same", same, true, 0, false},
		{"differs now", other, false, 0, false},
		{"differs for a while", other, false, differMost - 1, false},
		{"differs too long", other, false, differMost, true},
		{"was exchanged with a moment ago", other, false, differMost + 1, false},
		{"still differs", other, false, 2 * differMost, true},
		{"agrees", same, false, 2*differMost + 1, false},
		{"differs anew", other, false, 9 * differMost, false},
	} {
		one.last = &peerpb.LoadReport{ConfigDigest: step.digest}
		if got := m.differsTooLong(one, step.joined, start.Add(step.after)); got != step.want {
			t.Errorf("%s: %v, want %v", step.name, got, step.want)
		}
	}
}
