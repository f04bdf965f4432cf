package frontend

import (
	"context"
	"fmt"
	"math/rand/v2"
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
}

// hotShare is the part of all new connections that the hot entry gets.
const hotShare = 0.95

// run sends requests for d and returns the share that was served at the first attempt.
func (l *connectionLoad) run(d time.Duration, seed uint64) float64 {
	rng := rand.New(rand.NewPCG(seed, 3))
	var mu sync.Mutex // guards all
	var all []outcome
	begun := time.Now()
	sendAtRate(rng, d, l.perSecond, func(i int) func() {
		e := l.entries[rng.IntN(len(l.entries))]
		if l.hot != nil && rng.Float64() < hotShare {
			e = l.hot
		}
		path := allPaths[i%len(allPaths)]
		return func() {
			o := outcome{sentAt: time.Now(), resp: e.request(context.Background(), path, fmt.Sprint(seed, "/", i), "k1")}
			mu.Lock()
			defer mu.Unlock()
			all = append(all, o)
		}
	})
	ok, n := served(all, begun)
	return float64(ok) / float64(max(1, n))
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
