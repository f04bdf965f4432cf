package allowance

import (
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// An overloaded endpoint asks for a rest. Guards against requests that are admitted meanwhile, or
// that were admitted before and are sent in the rest, and against a rest that outlives its end or
// the endpoint's incarnation.
func TestRestingEndpointIsSentNothing(t *testing.T) {
	newResting := func(t *testing.T) (*Allowance, Ticket) {
		a := newAllowance(t, Limits{Cold: 4, Full: 4, RampCompletions: 1})
		a.SetIncarnation("first")
		ticket, err := a.Admit(start)
		if err != nil {
			t.Fatal(err)
		}
		a.Rest(3*time.Second, start)
		a.Rest(time.Second, start)
		return a, ticket
	}
	t.Run("no request is admitted", func(t *testing.T) {
		a, _ := newResting(t)
		_, err := a.Admit(start.Add(2 * time.Second))
		if result.CodeOf(err) != result.EndpointBusy || err.RetryAfter() != time.Second {
			t.Fatalf("%v, retry after %v", err, err.RetryAfter())
		}
	})
	t.Run("no admitted request is sent", func(t *testing.T) {
		a, ticket := newResting(t)
		if _, err := a.Revalidate(ticket, start.Add(2*time.Second)); err == nil {
			t.Fatal("the ticket is valid")
		}
	})
	t.Run("the rest is over", func(t *testing.T) {
		a, _ := newResting(t)
		if _, err := a.Admit(start.Add(3 * time.Second)); err != nil {
			t.Fatal(err)
		}
	})
	t.Run("the endpoint has restarted", func(t *testing.T) {
		a, _ := newResting(t)
		a.SetIncarnation("second")
		if _, err := a.Admit(start); err != nil {
			t.Fatal(err)
		}
	})
}
