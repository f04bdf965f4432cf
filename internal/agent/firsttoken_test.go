package agent

import (
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/allowance"
	"github.com/hyssoprelay/hyssoprelay/internal/peer/peerpb"
)

// firstPieces lets n requests get their first piece after d.
func firstPieces(t *testing.T, a *Agent, n int, stream bool, d time.Duration) {
	t.Helper()
	for range n {
		now := time.Now()
		ticket, err := a.allowance.Admit(now)
		if err != nil {
			t.Fatal(err)
		}
		at := newAttempt(&peerpb.RunRequest{Stream: stream}, func() {}, now)
		s := &sink{agent: a, at: at, ticket: ticket, sent: now.Add(-d)}
		s.firstPiece()
		a.allowance.Complete(ticket, now)
	}
}

// Clerks ask for long drafts in one piece while others stream. The drafts take
// their time, the warm engine is taken for cold, and callers are refused.
func TestWholeAnswersAreNoSlowTokens(t *testing.T) {
	a := newBench(t).agent
	if err := a.allowance.Configure(allowance.Limits{Cold: 1, Full: 4, RampCompletions: 1}); err != nil {
		t.Fatal(err)
	}
	firstPieces(t, a, 40, true, time.Second)
	firstPieces(t, a, 3, false, time.Minute)
	if a.allowance.State().Cold() {
		t.Error("long answers made the endpoint cold")
	}
	firstPieces(t, a, 3, true, time.Minute)
	if !a.allowance.State().Cold() {
		t.Error("slow first tokens were not seen")
	}
}
