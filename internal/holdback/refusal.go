package holdback

import (
	"time"

	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// refusalRetryAfter is the Retry-After time of a request that is held back. When an operator
// releases it is not known, so the time is longer than any caller waits, and relays shorten it to a
// part of the time that the caller has left.
const refusalRetryAfter = time.Minute

// Refusal returns the refusal of a request that an order covers. It does not name the operator.
func Refusal(o Order) *result.Error {
	return result.New(result.HeldBack, o.Target.ID()).WithRetryAfter(refusalRetryAfter)
}
