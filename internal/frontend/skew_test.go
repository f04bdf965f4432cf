package frontend

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"
)

// connectionLoad sends requests on new connections.
type connectionLoad struct {
	entries []*entry
	// hot is the entry that gets most connections, or nil.
	hot *entry
	// perSecond is the rate of requests.
	perSecond float64

	mu         sync.Mutex // guards all below
	sent, read int
}

// hotShare is the part of all new connections that the hot entry gets.
const hotShare = 0.95

// run sends requests for d and returns the share that was served at the first attempt.
func (l *connectionLoad) run(d time.Duration, seed uint64) float64 {
	rng := rand.New(rand.NewPCG(seed, 3))
	l.sent, l.read = 0, 0
	var wg sync.WaitGroup
	end := time.Now().Add(d)
	for i := 0; time.Now().Before(end); i++ {
		e := l.entries[rng.IntN(len(l.entries))]
		if l.hot != nil && rng.Float64() < hotShare {
			e = l.hot
		}
		path := allPaths[i%len(allPaths)]
		wg.Go(func() {
			resp := e.request(context.Background(), path, fmt.Sprint(seed, "/", i), "k1")
			l.mu.Lock()
			defer l.mu.Unlock()
			l.sent++
			if resp.err == nil && resp.status == http.StatusOK {
				l.read++
			}
		})
		time.Sleep(time.Duration(rng.ExpFloat64() / l.perSecond * float64(time.Second)))
	}
	wg.Wait()
	return float64(l.read) / float64(max(1, l.sent))
}

// The platform leads most new connections to one of three entries, while callers open twice as many,
// and all endpoints name a limit. Guards against an entry that refuses callers while the others have
// nothing to do.
func TestMostNewConnectionsGoToOneEntry(t *testing.T) {
	s := newSystem(t, 4)
	for _, ep := range s.endpoints {
		ep.NameLimit("40")
	}
	l := &connectionLoad{entries: s.startEntries(3), perSecond: 60}
	before := l.run(4*time.Second, 1)
	l.hot, l.perSecond = l.entries[1], 120
	l.run(3*time.Second, 2) // the time within which shares have to follow
	during := l.run(4*time.Second, 3)
	t.Logf("served at the first attempt: %.3f before, %.3f while most go to one entry", before, during)
	if during < 0.75*before {
		t.Errorf("served at the first attempt: %.3f before, %.3f while most go to one entry", before, during)
	}
}
