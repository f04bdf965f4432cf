// Command 1 has streams moved off slow engines to others, of which one fails a part of its requests.
package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hyssoprelay/hyssoprelay/review/harness"
)

const (
	recordFile = "review/1/record.txt"
	service    = "engines"
	engines    = 8
	relays     = 4
	// clients is the number of clients of each relay, which send one stream after another.
	clients = 10
	// slowEngines is the number of engines that turn slow together, 3 of 8, by slowdown. failing is
	// the number of the one that fails failingOf in 100 of its requests.
	slowEngines = 3
	slowdown    = 12
	failing     = engines - 1
	failingOf   = 40
	// windows is how often engines turn slow, for slowFor, with slowGap between two times.
	windows = 8
	slowFor = 4 * time.Second
	slowGap = 3 * time.Second
	// events is the number of events of a stream, and eventGap the pause between them on an engine
	// that isn't slow.
	events   = 24
	eventGap = 30 * time.Millisecond
	// ledWithin is the time in which the group gets its leader, which reports the engines' loads.
	ledWithin  = 5 * time.Second
	timeBudget = 8 * time.Second
)

const configuration = `{"version":7,"routes":[
	{"name":"draft","hostname":"draft.example","prefix":"/draft/","kind":"streaming","timeoutMs":8000,
	 "targetLatencyMs":500,"gapTargetMs":120,"priority":1,"service":"engines","maxAttempts":2,"resumable":true,
	 "sessionAffinity":true}],
	"services":[{"name":"engines","healthPath":"/health","maxConnections":418,"coldStartS":3,"coldPerS":38,
	 "engine":{"slots":12,"kvCapacityTokens":280000,"linkMbps":180000,"stride":4,"step_ms":4.55,"per_seq_ms":0.905,
	 "context_per_k":0.0183,"read_per_s":61400,"chunk":512,"report_lag_ms":200,"usual":{"prompt":835,"answer":97},
	 "sets":4,"experts":72,"placements":12,"spare":3,"expertMb":2200,"expertShare":0.85}}],
	"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":10000},
	"tenants":[{"name":"account","apiKeys":["k1"]}]}`

// engine is a replica that is a rank of a group.
type engine struct {
	id     string
	rank   int
	born   int64
	record *harness.Record
	// running is the number of its streams, and pace its slowdown. fails has it answer 500 to a part
	// of its requests, which arrivals counts.
	running, pace, arrivals atomic.Int64
	fails                   atomic.Bool
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	switch q.URL.Path {
	case "/api/report":
		e.writeJSON(w, http.StatusOK, map[string]any{
			"group": map[string]any{"name": "g", "epoch": 1, "rank": e.rank, "state": "open"}, "size": engines,
			"step": 1, "sequence": 0, "map": 0, "running": e.running.Load(), "queued": 0, "pace": e.pace.Load(), "born": e.born,
		})
	case "/api/picked":
		e.writeJSON(w, http.StatusOK, e.picked(q.URL.Query().Has("lists")))
	case "/api/order":
		e.order(w, q)
	default:
		e.serveStream(w, q)
	}
}

// picked returns counts without a preference, so that no map is better than the first one.
func (e *engine) picked(lists bool) map[string]any {
	const sets, experts = 4, 72
	if !lists {
		return map[string]any{"step": 1, "epoch": 1, "counts": make([]uint64, sets*experts)}
	}
	held := make([][]int, sets)
	for s := range held {
		for x := e.rank; x < experts; x += engines {
			held[s] = append(held[s], x)
		}
	}
	return map[string]any{"map": map[string]any{"version": 0, "experts": held}}
}

// order accepts the order with which a leader shows its token, and no other.
func (e *engine) order(w http.ResponseWriter, q *http.Request) {
	var o struct {
		Operation string `json:"operation"`
	}
	if err := json.NewDecoder(q.Body).Decode(&o); err != nil || o.Operation != "disarm" {
		w.WriteHeader(http.StatusConflict)
		return
	}
	e.writeJSON(w, http.StatusOK, map[string]any{})
}

func (e *engine) writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the caller may have left
}

func (e *engine) serveStream(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("X-Hyssoprelay-Attempt-Id")
	w.Header().Set("X-Hyssoprelay-Attempt-Id", id)
	if q.Header.Get("X-Hyssoprelay-Expect-Replica") != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("X-Hyssoprelay-Replica-Seal", "seal-"+e.id+"-"+id)
	from := 0
	_, _ = fmt.Sscan(q.Header.Get("Last-Event-Id"), &from) // 0 without the header
	if e.fails.Load() && e.arrivals.Add(1)*failingOf%100 < failingOf {
		e.record.Printf("replica %s answers 500 to %s, from event %d", e.id, id, from+1)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	e.running.Add(1)
	defer e.running.Add(-1)
	w.Header().Set("Content-Type", "text/event-stream")
	for i := from + 1; i <= events; i++ {
		select {
		case <-q.Context().Done():
			e.record.Printf("replica %s: the relay left %s before event %d", e.id, id, i)
			return
		case <-time.After(eventGap * time.Duration(e.pace.Load())):
		}
		if _, err := fmt.Fprint(w, event(id, i)); err != nil {
			return
		}
		if f, ok := w.(http.Flusher); ok {
			f.Flush()
		}
	}
}

func event(id string, number int) string {
	return fmt.Sprintf("id: %d\ndata: part %d of %s\n\n", number, number, id)
}

// result counts how streams ended.
type result struct{ whole, ended, unreadable atomic.Int64 }

// stream sends one request and reads its answer.
func stream(address, id string, record *harness.Record, res *result) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		res.ended.Add(1)
		return
	}
	defer func() { _ = conn.Close() }()
	err = errors.Join(conn.SetDeadline(time.Now().Add(timeBudget)), send(conn, id))
	if err != nil {
		res.ended.Add(1)
		return
	}
	received := &recorder{r: conn}
	resp, err := http.ReadResponse(bufio.NewReader(received), nil)
	if err != nil || resp.StatusCode != http.StatusOK {
		res.ended.Add(1)
		return
	}
	_, err = io.Copy(io.Discard, resp.Body)
	var timeout net.Error
	switch {
	case err == nil:
		res.whole.Add(1)
	case errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &timeout):
		res.ended.Add(1)
	default:
		res.unreadable.Add(1)
		record.Printf("MIXED at client %s: %v; the last bytes: %q", id, err, received.last)
	}
}

func send(w io.Writer, id string) error {
	_, err := fmt.Fprintf(w, "POST /draft/1 HTTP/1.1\r\nHost: draft.example\r\nX-Hyssoprelay-Attempt-Id: %s\r\n"+
		"X-Hyssoprelay-Model: m\r\nX-Hyssoprelay-Token-Counts: 714,97\r\nX-Hyssoprelay-Prompt-Prefix: 5c1e07a2:40,%s:674\r\n"+
		"X-Hyssoprelay-Deadline-Ms: %d\r\nX-Api-Key: k1\r\nContent-Length: 2\r\n\r\nhi", id, id, timeBudget.Milliseconds())
	return err
}

// recorder keeps the last bytes that were read.
type recorder struct {
	r    io.Reader
	last []byte
}

// Read implements io.Reader.
func (r *recorder) Read(p []byte) (int, error) {
	const kept = 300
	n, err := r.r.Read(p)
	r.last = append(r.last, p[:n]...)
	r.last = r.last[max(0, len(r.last)-kept):]
	return n, err
}

// startSystem starts engines with their rankers, and the relays.
func startSystem(w *harness.World, record *harness.Record) ([]*engine, []*harness.Relay, error) {
	var es []*engine
	for i := range engines {
		e := &engine{id: fmt.Sprint("i-", i), rank: i, born: time.Now().UnixMilli(), record: record}
		e.pace.Store(1)
		address, err := w.StartReplica(e.id, service, 12, e)
		if err == nil {
			err = w.StartRanker(fmt.Sprint("side-zone-a-", i), service, address)
		}
		if err != nil {
			return nil, nil, err
		}
		es = append(es, e)
	}
	var rs []*harness.Relay
	for i := range relays {
		r, err := w.StartRelay(fmt.Sprint("front-zone-a-", i+1))
		if err != nil {
			return nil, nil, err
		}
		rs = append(rs, r)
	}
	return es, rs, nil
}

// disturb has engines turn slow, and one fail, in windows.
func disturb(es []*engine, record *harness.Record) {
	for i := range windows {
		for k := range slowEngines {
			es[(i*slowEngines+k)%failing].pace.Store(slowdown)
		}
		es[failing].fails.Store(true)
		record.Printf("window %d: %d engines are slow by %d", i+1, slowEngines, slowdown)
		time.Sleep(slowFor)
		for _, e := range es {
			e.pace.Store(1)
		}
		es[failing].fails.Store(false)
		time.Sleep(slowGap)
	}
}

func try(record *harness.Record, trouble bool) (res *result, err error) {
	w, err := harness.NewWorld(record, harness.Site{Zone: "zone-a", RetrySlack: 94}, configuration)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, w.Close()) }()
	es, rs, err := startSystem(w, record)
	if err != nil {
		return nil, err
	}
	time.Sleep(ledWithin)
	res = &result{}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i, r := range rs {
		for k := range clients {
			wg.Add(1)
			go func() {
				defer wg.Done()
				for n := 0; ; n++ {
					select {
					case <-stop:
						return
					default:
						stream(r.Callers, fmt.Sprintf("%02x%02x%04x", i, k, n), record, res)
					}
				}
			}()
		}
	}
	time.Sleep(slowGap)
	if trouble {
		disturb(es, record)
	} else {
		time.Sleep(windows * (slowFor + slowGap))
	}
	close(stop)
	wg.Wait()
	return res, nil
}

func run() int {
	record, err := harness.NewRecord(recordFile)
	if err != nil {
		fmt.Println(err)
		return harness.CouldNot
	}
	defer func() { _ = record.Close() }()
	res, err := try(record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		record.Printf("could not run: %v", err)
		return harness.CouldNot
	}
	record.Printf("streams: %d whole, %d refused, failed or ended early, %d with bytes that are no answer",
		res.whole.Load(), res.ended.Load(), res.unreadable.Load())
	if res.unreadable.Load() > 0 {
		return harness.Broken
	}
	return harness.Held
}

func main() { os.Exit(run()) }
