package relay

import (
	"github.com/hyssoprelay/hyssoprelay/internal/caller"
	"github.com/hyssoprelay/hyssoprelay/internal/quarantine"
)

// Fingerprint returns what identifies the work that a request of an account asks for, of which work is
// what RequestInfo.Work holds. It is the same in all attempts of its caller.
func Fingerprint(account string, raw *caller.RawRequest, work string) string {
	return quarantine.Fingerprint(account, raw.Body, raw.Host, raw.Method, raw.Target, work)
}
