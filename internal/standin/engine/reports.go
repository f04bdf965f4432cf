package engine

import (
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssoprelay/hyssoprelay/internal/standin"
)

// report is a load report at the time it was made.
type report struct {
	Incarnation string `json:"incarnation"`
	Running     int    `json:"running"`
	Cold        bool   `json:"cold"`
	Completed   int    `json:"completed"`
	AgeMillis   int64  `json:"ageMillis"`

	made time.Time
}

// load answers with the newest report that is as old as the lag. Reports are
// made when asked for, so the first ones are the oldest there are.
func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	e.mu.Lock()
	c := e.counters
	e.reports = append(e.reports, report{
		Incarnation: strconv.Itoa(c.Incarnation), Running: c.Running,
		Cold: c.Cold, Completed: c.Completed, made: now,
	})
	e.dropOldReports(now)
	r := e.reports[0]
	e.mu.Unlock()
	r.AgeMillis = now.Sub(r.made).Milliseconds()
	standin.WriteJSON(w, http.StatusOK, r)
}

// dropOldReports leaves the report to answer with at the front.
func (e *Engine) dropOldReports(now time.Time) {
	lag := millis(e.Settings.LoadLagMillis)
	for len(e.reports) > 1 && now.Sub(e.reports[1].made) >= lag {
		e.reports = e.reports[1:]
	}
}

// cacheEvent says that a prefix was stored.
type cacheEvent struct {
	Number     uint64 `json:"number"`
	Kind       string `json:"kind"`
	PrefixHash uint64 `json:"prefixHash"`
}

// cacheLog keeps the newest events.
type cacheLog struct {
	events []cacheEvent
	next   uint64
}

func (l *cacheLog) add(id string, kept int) {
	l.events = append(l.events, cacheEvent{Number: l.next, Kind: "stored", PrefixHash: xxhash.Sum64String(id)})
	l.next++
	if len(l.events) > kept {
		l.events = l.events[len(l.events)-kept:]
	}
}

func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	e.mu.Lock()
	events := []cacheEvent{}
	for _, ev := range e.cache.events {
		if ev.Number >= since {
			events = append(events, ev)
		}
	}
	next := e.cache.next
	e.mu.Unlock()
	standin.WriteJSON(w, http.StatusOK, map[string]any{"events": events, "next": next})
}
