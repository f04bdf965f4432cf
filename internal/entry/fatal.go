package entry

import (
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hyssoprelay/hyssoprelay/internal/caller"
	"github.com/hyssoprelay/hyssoprelay/internal/quarantine"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// refusedRetry is the Retry-After time of a request under which endpoints have fallen. The refusal
// does not pass by itself while the request is asked for.
const refusedRetry = time.Minute

// fatalRequests holds what this entry knows against requests under which endpoints have fallen. Its
// zero value is empty.
type fatalRequests struct {
	mu    sync.Mutex // guards table
	table quarantine.Table
}

// fingerprintOf identifies the work that a request asks for.
func fingerprintOf(account string, r *caller.Request) string {
	return quarantine.Fingerprint(account, r.Body(), r.Route(), r.Method(), r.Path(), r.ContentType(), r.IdempotencyKey())
}

// use calls f with the table.
func (q *fatalRequests) use(f func(table *quarantine.Table)) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.table.Rules = quarantine.RequestRules{}
	f(&q.table)
}

// check returns why a request is refused because endpoints have fallen under it, or nil.
func (q *fatalRequests) check(account, fingerprint string, now time.Time) (refused *result.Error) {
	thisEntry := func(string) bool { return true }
	q.use(func(table *quarantine.Table) {
		table.Expire(now)
		if c, _ := table.Check(account, []string{fingerprint}, thisEntry, now); c != nil {
			refused = requestRefused(fingerprint)
		}
	})
	return refused
}

// fell records that the endpoint of an attempt fell under it, and returns why the request is refused
// from now on, or nil.
func (q *fatalRequests) fell(t *task, now time.Time) (refused *result.Error) {
	subjects := []string{t.fingerprint}
	q.use(func(table *quarantine.Table) {
		for _, fall := range t.falls {
			table.Crashed(subjects, quarantine.Crash{
				Endpoint: t.choice.Endpoint, Incarnation: fall, Account: t.account, At: now, CallerLeft: max(0, t.deadline.Sub(now)),
			})
		}
		if table.Refuses(t.account, subjects, now) {
			refused = requestRefused(t.fingerprint)
		}
	})
	return refused
}

// answered records a whole answer to a request, which clears it.
func (q *fatalRequests) answered(fingerprint string, now time.Time) {
	q.use(func(table *quarantine.Table) { table.Answered([]string{fingerprint}, now) })
}

func requestRefused(fingerprint string) *result.Error {
	return result.New(result.RequestRefused, "fingerprint "+fingerprint).WithRetryAfter(refusedRetry)
}

// noteFalls records the falls of the endpoint under the last attempt, and returns why the request may
// not be sent again, or nil.
func (e *Entry) noteFalls(t *task) *result.Error {
	if len(t.falls) == 0 {
		return nil
	}
	refused := e.fatal.fell(t, e.now())
	e.Log.WithFields(logrus.Fields{
		"request": t.request.ID(), "account": t.account, "endpoint": t.choice.Endpoint, "falls": slices.Clone(t.falls),
		"fingerprint": t.fingerprint, "refused": refused != nil,
	}).Info("endpoint fell under request")
	return refused
}
