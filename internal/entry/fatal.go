package entry

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hyssoprelay/hyssoprelay/internal/caller"
	"github.com/hyssoprelay/hyssoprelay/internal/quarantine"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// fatalRequests holds what this entry knows against requests under which endpoints have fallen. Call
// init first.
type fatalRequests struct {
	mu    sync.Mutex // guards table
	table quarantine.Table
}

// fingerprintOf identifies the work that a request asks for.
func fingerprintOf(account string, r *caller.Request) string {
	return quarantine.Fingerprint(account, r.Body(), r.Route(), r.Method(), r.Path(), r.ContentType(), r.IdempotencyKey())
}

func (q *fatalRequests) init() { q.table.Rules = quarantine.RequestRules{} }

// check returns why a request is refused because endpoints have fallen under it, or nil.
func (q *fatalRequests) check(account, fingerprint string, now time.Time) *result.Error {
	thisEntry := func(string) bool { return true }
	q.mu.Lock()
	defer q.mu.Unlock()
	q.table.Expire(now)
	if c, _ := q.table.Check(account, []string{fingerprint}, thisEntry, now); c != nil {
		return quarantine.RequestRefusal(fingerprint)
	}
	return nil
}

// fell records that the endpoint of an attempt fell under it, and returns why the request is refused
// from now on, or nil.
func (q *fatalRequests) fell(t *task, now time.Time) *result.Error {
	subjects := []string{t.fingerprint}
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, fall := range t.falls {
		q.table.Crashed(subjects, quarantine.Crash{
			Endpoint: t.choice.Endpoint, Incarnation: fall, Account: t.account, At: now, CallerLeft: max(0, t.deadline.Sub(now)),
		})
	}
	if !q.table.Refuses(t.account, subjects, now) {
		return nil
	}
	return quarantine.RequestRefusal(t.fingerprint)
}

// answered records a whole answer to a request, which clears it.
func (q *fatalRequests) answered(fingerprint string, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.table.Answered([]string{fingerprint}, now)
}

// noteFalls records the falls of the endpoint under the last attempt, and returns why the request may
// not be sent again, or nil.
func (e *Entry) noteFalls(t *task) *result.Error {
	if len(t.falls) == 0 {
		return nil
	}
	refused := e.fatal.fell(t, e.now())
	e.Log.WithFields(logrus.Fields{
		"request": t.request.ID(), "account": t.account, "endpoint": t.choice.Endpoint, "falls": t.falls,
		"fingerprint": t.fingerprint, "refused": refused != nil,
	}).Info("endpoint fell under request")
	return refused
}
