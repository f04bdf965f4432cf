package quarantine

import (
	"time"

	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// refusalRetryAfter is the Retry-After time of what is refused. The refusal does not pass by itself
// while the subject is asked for.
const refusalRetryAfter = time.Minute

// PartRefusal returns the refusal of a request with a part that endpoints crash on.
func PartRefusal(part string) *result.Error {
	return result.New(result.PromptPartRefused, "part "+part).WithRetryAfter(refusalRetryAfter)
}

// RequestRefusal returns the refusal of a request under which endpoints end.
func RequestRefusal(fingerprint string) *result.Error {
	return result.New(result.RequestRefused, "fingerprint "+fingerprint).WithRetryAfter(refusalRetryAfter)
}
