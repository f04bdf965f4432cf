package agent

import "time"

// resumeGrace is how long a begun stream goes on after its caller's connection
// ended, so that the caller can go on with it through another entry. A caller's
// library takes well under a second to connect anew; the endpoint computes for
// nobody no longer than this when the caller has really gone.
const resumeGrace = 2 * time.Second

// abandon ends an attempt whose caller's connection ended.
//
// Guard: a broken connection looks like a caller who left. Ending the attempt
// at once would leave a caller with a half-shown answer that nobody can
// continue. Before the first piece there is nothing to continue, and the
// attempt ends at once; after it, the attempt ends when nobody has followed it
// for resumeGrace.
func (a *Agent) abandon(at *attempt) {
	if at.count() == 0 {
		at.cancel()
		return
	}
	time.AfterFunc(resumeGrace, func() {
		if end, _ := at.ended(); end != nil {
			return
		}
		if at.followed() {
			a.abandon(at)
			return
		}
		at.cancel()
	})
}

// followed reports whether a call reads the attempt.
func (a *attempt) followed() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.followers) > 0
}
