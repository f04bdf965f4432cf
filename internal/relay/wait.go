package relay

import (
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hyssoprelay/hyssoprelay/internal/caller/admission"
	"github.com/hyssoprelay/hyssoprelay/internal/routing"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// Wait tells why a request waited in the queue. The State writes it while the request waits; it may be
// read when Admit has returned.
type Wait struct {
	// limit is why the request was last not assigned, or OK if that was never tried because others
	// were before it.
	limit result.Code
	// displaced means that a request of class displacedBy took the place in the queue.
	displaced   bool
	displacedBy routing.Class
	// displacedFor is the service of that request if it is another one, or "".
	displacedFor string
}

// noteLimit records why the request could not be assigned. The State's mu must be held.
func (w *waiter) noteLimit(e *result.Error) {
	if w.req.Wait != nil {
		w.req.Wait.limit = e.Code()
	}
}

// noteDisplaced records which request took the place of this one, if one did. The State's mu must be
// held.
func (w *waiter) noteDisplaced(r admission.QueuedRefusal) {
	if w.req.Wait == nil || r.Code != result.Displaced {
		return
	}
	w.req.Wait.displaced, w.req.Wait.displacedBy = true, routing.Class(r.ByClass)
	if service := strings.TrimSuffix(r.ByRoute, lateRouteSuffix); service != w.req.Service.Name {
		w.req.Wait.displacedFor = service
	}
}

// waitFields adds to a log line for how long the request waited, and why.
func (j *job) waitFields(f logrus.Fields) {
	if j.wait.displaced {
		f["displacedBy"] = int(j.wait.displacedBy)
		if j.wait.displacedFor != "" {
			f["displacedFor"] = j.wait.displacedFor
		}
	}
	if j.waited <= 0 {
		return
	}
	f["waited"] = j.waited.Milliseconds()
	if j.wait.limit != result.OK {
		f["waitedFor"] = j.wait.limit.String()
	} else if j.waited >= time.Millisecond {
		f["waitedFor"] = "queue"
	}
}
