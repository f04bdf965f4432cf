package engine

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/standin"
)

// Settings describe the engine.
type Settings struct {
	// Capacity is how many requests it runs at once at full speed; above, each
	// token takes longer in proportion.
	Capacity int `json:"capacity"`
	// ColdBound is how many it bears while cold; above, it falls over.
	ColdBound int `json:"coldBound"`
	// WarmAfter is how many whole answers make it warm.
	WarmAfter int `json:"warmAfter"`
	// TokenMicros is the time for one token when warm.
	TokenMicros int64 `json:"tokenMicros"`
	// ColdFactor multiplies the time for the first token while cold.
	ColdFactor int `json:"coldFactor"`
	// LoadLagMillis is how old load reports are.
	LoadLagMillis int64 `json:"loadLagMillis"`
	// CacheEventsKept is how many cache events are kept; older ones are a gap.
	CacheEventsKept int `json:"cacheEventsKept"`
}

// Faults are what goes wrong.
type Faults struct {
	// StallMillis passes before the head of each answer.
	StallMillis int64 `json:"stallMillis"`
	// DieAfterPieces ends each stream that new requests begin after so many
	// pieces, by losing the connection. Zero means never.
	DieAfterPieces int `json:"dieAfterPieces"`
	// StallAfterPieces stops each stream after so many pieces until cancelled.
	StallAfterPieces int `json:"stallAfterPieces"`
	// IgnoreFencing takes orders with any fencing token.
	IgnoreFencing bool `json:"ignoreFencing"`
	// Refuse answers each request with status 503, unrun.
	Refuse bool `json:"refuse"`
	// OmitEnd leaves out the end marker of streams.
	OmitEnd bool `json:"omitEnd"`
}

// Counters are what the engine has seen.
type Counters struct {
	// Ran counts the runs by request id; resumes don't count.
	Ran map[string]int `json:"ran"`
	// Cancelled counts the cancels by request id.
	Cancelled map[string]int `json:"cancelled"`
	// Completed counts whole answers.
	Completed int `json:"completed"`
	// Running is how many run now, and MostRunning the most at once.
	Running     int `json:"running"`
	MostRunning int `json:"mostRunning"`
	// MostCold is the most that ran at once while cold.
	MostCold int `json:"mostCold"`
	// Breaches counts how often it fell over above the cold bound.
	Breaches int `json:"breaches"`
	// Incarnation changes with each restart.
	Incarnation int  `json:"incarnation"`
	Cold        bool `json:"cold"`
	// Models and Roles are the orders taken, in order.
	Models []string `json:"models"`
	Roles  []string `json:"roles"`
}

// Engine is the stand-in. Set Settings before it serves.
//
// Lock order: mu only; it is never held while waiting or writing.
type Engine struct {
	Settings Settings
	// Drop, when set, closes the connections of the server before the engine.
	Drop func()

	once sync.Once
	mux  *http.ServeMux

	mu       sync.Mutex
	faults   Faults
	counters Counters
	warmth   int
	streams  map[string]*stream
	reports  []report
	cache    cacheLog
	fencing  uint64
}

// New returns an engine that begins cold. Zero settings get defaults.
func New(s Settings) *Engine {
	setInt(&s.Capacity, 16)
	setInt(&s.ColdBound, 2)
	setInt(&s.WarmAfter, 8)
	setInt(&s.ColdFactor, 4)
	setInt(&s.CacheEventsKept, 64)
	if s.TokenMicros <= 0 {
		s.TokenMicros = 200
	}
	e := &Engine{Settings: s, streams: map[string]*stream{}}
	e.counters = Counters{Ran: map[string]int{}, Cancelled: map[string]int{}, Incarnation: 1, Cold: true}
	return e
}

func setInt(n *int, value int) {
	if *n <= 0 {
		*n = value
	}
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.once.Do(e.routes)
	standin.EchoRequestID(w, r)
	e.mux.ServeHTTP(w, r)
}

func (e *Engine) routes() {
	e.mux = http.NewServeMux()
	e.mux.HandleFunc("POST /v1/chat/completions", e.complete)
	e.mux.HandleFunc("POST /v1/streams/{id}/resume", e.resume)
	e.mux.HandleFunc("DELETE /v1/streams/{id}", e.cancel)
	e.mux.HandleFunc("GET /v1/streams/{id}/kv", e.exportKV)
	e.mux.HandleFunc("PUT /v1/streams/{id}/kv", e.importKV)
	e.mux.HandleFunc("GET /load", e.load)
	e.mux.HandleFunc("GET /cacheEvents", e.cacheEvents)
	e.mux.HandleFunc("POST /v1/orders/loadModel", e.loadModel)
	e.mux.HandleFunc("POST /v1/orders/changeRole", e.changeRole)
	e.mux.HandleFunc("GET /control/counters", e.controlCounters)
	e.mux.HandleFunc("POST /control/faults", e.controlFaults)
	e.mux.HandleFunc("POST /control/cold", e.controlCold)
	e.mux.HandleFunc("POST /control/restart", e.controlRestart)
}

// SetFaults replaces the faults.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Counters returns a copy of the counters.
func (e *Engine) Counters() Counters {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.counters
	c.Ran = copyCounts(c.Ran)
	c.Cancelled = copyCounts(c.Cancelled)
	c.Models = append([]string(nil), c.Models...)
	c.Roles = append([]string(nil), c.Roles...)
	return c
}

func copyCounts(m map[string]int) map[string]int {
	c := make(map[string]int, len(m))
	for k, n := range m {
		c[k] = n
	}
	return c
}

// TurnCold makes the engine cold without a word: it goes on under the same
// incarnation.
func (e *Engine) TurnCold() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.warmth = 0
	e.counters.Cold = true
}

// Restart loses all streams and connections and begins a new incarnation, cold.
func (e *Engine) Restart() {
	e.mu.Lock()
	e.fallLocked()
	e.mu.Unlock()
	if e.Drop != nil {
		e.Drop()
	}
}

func (e *Engine) fallLocked() {
	for _, s := range e.streams {
		s.end(true)
	}
	e.streams = map[string]*stream{}
	e.warmth = 0
	e.counters.Cold = true
	e.counters.Incarnation++
}

func (e *Engine) controlCounters(w http.ResponseWriter, _ *http.Request) {
	standin.WriteJSON(w, http.StatusOK, e.Counters())
}

func (e *Engine) controlFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if standin.ReadJSON(w, r, &f) {
		e.SetFaults(f)
		standin.WriteJSON(w, http.StatusOK, f)
	}
}

func (e *Engine) controlCold(w http.ResponseWriter, _ *http.Request) {
	e.TurnCold()
	standin.WriteJSON(w, http.StatusOK, e.Counters())
}

func (e *Engine) controlRestart(w http.ResponseWriter, _ *http.Request) {
	e.Restart()
	standin.WriteJSON(w, http.StatusOK, e.Counters())
}

func (e *Engine) incarnation() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return strconv.Itoa(e.counters.Incarnation)
}

func micros(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
