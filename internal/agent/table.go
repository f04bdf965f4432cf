package agent

import (
	"sync"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/peer/peerpb"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

const (
	// keepAnswers is how long an ended answer can be fetched again: longer
	// than a caller's library takes to connect to another entry.
	keepAnswers = 2 * time.Minute
	// keepBytes bounds all kept answers together, inside a node's 32 MB.
	keepBytes = 12 << 20
	// keepCount bounds the kept answers, each of which takes some 500 bytes
	// besides its pieces.
	keepCount = 10000
)

// requestKey names a request. Request ids are chosen by callers, so two
// accounts may use the same one.
type requestKey struct {
	account, id string
}

func keyOf(req *peerpb.RunRequest) requestKey {
	return requestKey{account: req.GetAccount(), id: req.GetRequestId()}
}

// table holds an agent's attempts, running ones and kept ones.
type table struct {
	mu       sync.Mutex
	attempts map[requestKey]*attempt
	// order lists the attempts from oldest to newest, ended or not.
	order []*attempt
}

// join returns the attempt that a call for req should follow: an earlier one
// of the same request unless it ended without a whole answer and may be tried
// again, else the one that fresh makes, or nil when fresh refuses. Two calls for one request at once,
// from an entry that lost its stream and from the caller's next entry, must
// not make the endpoint run it twice, so looking and adding is one step.
func (t *table) join(req *peerpb.RunRequest, fresh func() *attempt) (a *attempt, joined bool, err *result.Error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := keyOf(req)
	old, ok := t.attempts[k]
	if ok && old.digest != bodyDigest(req) {
		return nil, false, result.New(result.RequestIDReused, "")
	}
	if ok && !mayRepeat(old) {
		return old, true, nil
	}
	a = fresh()
	if a == nil {
		return nil, false, nil
	}
	if t.attempts == nil {
		t.attempts = map[requestKey]*attempt{}
	}
	t.attempts[k] = a
	t.order = append(t.order, a)
	return a, false, nil
}

// mayRepeat reports whether another attempt may follow a.
func mayRepeat(a *attempt) bool {
	e, _ := a.ended()
	if e == nil || e.GetCode() == int32(result.OK) {
		return false
	}
	if !a.req.GetRunOnce() {
		return true
	}
	return result.Code(e.GetCode()).Effect() == result.NotRun
}

func (t *table) get(k requestKey) *attempt {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.attempts[k]
}

// expire forgets ended attempts that are too old, and the oldest ended ones
// while all together are too many or too large.
func (t *table) expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	bytes := 0
	for _, a := range t.order {
		bytes += a.kept()
	}
	count := len(t.order)
	kept := t.order[:0]
	for _, a := range t.order {
		end, at := a.ended()
		over := bytes > keepBytes || count > keepCount
		if end == nil || !over && now.Sub(at) < keepAnswers {
			kept = append(kept, a)
			continue
		}
		bytes -= a.kept()
		count--
		if k := keyOf(a.req); t.attempts[k] == a {
			delete(t.attempts, k)
		}
	}
	clear(t.order[len(kept):])
	t.order = kept
}
