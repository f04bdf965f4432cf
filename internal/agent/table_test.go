package agent

import (
	"fmt"
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/peer/peerpb"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

func fresh(req *peerpb.RunRequest) func() *attempt {
	return func() *attempt { return anAttempt(req) }
}

func runOnceRequest(id string) *peerpb.RunRequest {
	r := request(id)
	r.RunOnce = true
	r.IdempotencyKey = "basket-7"
	return r
}

func ended(e *result.Error) func(*attempt) {
	return func(a *attempt) { a.finish(endOf(e), epoch) }
}

// An entry loses its stream and asks again, while the caller asks through
// another entry. Without the join, each ask would run the request once more at
// the endpoint, and the caller could get pieces of two texts.
func TestJoin(t *testing.T) {
	running := func(*attempt) {}
	other := request("r")
	other.Body = []byte("another quote")
	stranger := request("r")
	stranger.Account = "school"
	refusedOnce := result.New(result.EndpointBusy, "")
	unknown := result.New(result.OutcomeUnknown, "")
	broken := result.New(result.AnswerIncomplete, "")
	cases := []struct {
		name          string
		first, second *peerpb.RunRequest
		between       func(*attempt)
		joined        bool
		code          result.Code
	}{
		{"while it runs", request("r"), request("r"), running, true, 0},
		{"after its whole answer", request("r"), request("r"), ended(nil), true, 0},
		{"after a broken answer", request("r"), request("r"), ended(broken), false, 0},
		{"after a refusal", request("r"), request("r"), ended(refusedOnce), false, 0},
		{"an order while it runs", runOnceRequest("r"), runOnceRequest("r"), running, true, 0},
		{"an order that may have run", runOnceRequest("r"), runOnceRequest("r"), ended(unknown), true, 0},
		{"an order whose answer broke", runOnceRequest("r"), runOnceRequest("r"), ended(broken), true, 0},
		{"an order that was not run", runOnceRequest("r"), runOnceRequest("r"), ended(refusedOnce), false, 0},
		{"another body", request("r"), other, running, false, result.RequestIDReused},
		{"another body after the end", request("r"), other, ended(nil), false, result.RequestIDReused},
		{"another account's id", request("r"), stranger, running, false, 0},
		{"another id", request("r"), request("s"), running, false, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var tab table
			a, _, _ := tab.join(c.first, fresh(c.first))
			c.between(a)
			b, joined, err := tab.join(c.second, fresh(c.second))
			if code := codeOf(err); code != c.code {
				t.Fatalf("code %d, want %d", code, c.code)
			}
			if joined != c.joined || c.code == 0 && (a == b) != c.joined {
				t.Errorf("joined %t, want %t", joined, c.joined)
			}
		})
	}
}

func codeOf(e *result.Error) result.Code {
	if e == nil {
		return result.OK
	}
	return e.Code()
}

// Many entries ask for one request at the same moment. Looking for an attempt
// and adding one must be one step, else two of them would both find none.
func TestJoinAtOnceMakesOneAttempt(t *testing.T) {
	var tab table
	const calls = 64
	made := make(chan struct{}, calls)
	got := make(chan *attempt, calls)
	for range calls {
		go func() {
			a, _, _ := tab.join(request("r"), func() *attempt {
				made <- struct{}{}
				time.Sleep(time.Millisecond) // lets others look meanwhile
				return anAttempt(request("r"))
			})
			got <- a
		}()
	}
	first := <-got
	for range calls - 1 {
		if a := <-got; a != first {
			t.Fatal("two attempts of one request")
		}
	}
	if len(made) != 1 {
		t.Errorf("%d attempts were made", len(made))
	}
}

// Answers are kept for callers whose entry died. Kept for ever they would fill
// the VM's memory; a running attempt that was forgotten would be run again.
func TestExpire(t *testing.T) {
	held := func(n int) *attempt {
		a := anAttempt(request("held"))
		a.pieces, a.bytes = [][]byte{make([]byte, n)}, n
		return a
	}
	cases := []struct {
		name string
		fill func(*table)
		at   time.Duration
		left []string
	}{
		{"young answers stay", func(tab *table) { put(tab, "a", held(1), true) }, keepAnswers - 1, []string{"a"}},
		{"old answers go", func(tab *table) { put(tab, "a", held(1), true) }, keepAnswers, nil},
		{"running attempts stay", func(tab *table) { put(tab, "a", held(1), false) }, time.Hour, []string{"a"}},
		{"the oldest go when they are too large", func(tab *table) {
			for i := range 4 {
				put(tab, fmt.Sprint(i), held(keepBytes/3), true)
			}
		}, 0, []string{"1", "2", "3"}},
		{"a large one that runs stays", func(tab *table) {
			put(tab, "runs", held(keepBytes), false)
			put(tab, "a", held(1), true)
		}, 0, []string{"runs"}},
		{"the oldest go when they are too many", func(tab *table) {
			for i := range keepCount + 2 {
				put(tab, fmt.Sprint(i), held(0), true)
			}
		}, 0, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var tab table
			c.fill(&tab)
			tab.expire(epoch.Add(c.at))
			if len(tab.order) > keepCount || len(tab.order) != len(tab.attempts) {
				t.Errorf("%d in order, %d by id", len(tab.order), len(tab.attempts))
			}
			for _, id := range c.left {
				if tab.get(keyOf(request(id))) == nil {
					t.Errorf("%s is gone", id)
				}
			}
			if c.left != nil && len(tab.order) != len(c.left) {
				t.Errorf("%d left, want %v", len(tab.order), c.left)
			}
		})
	}
}

func put(tab *table, id string, a *attempt, end bool) {
	a.req = request(id)
	_, _, _ = tab.join(a.req, func() *attempt { return a })
	if end {
		a.finish(endOf(nil), epoch)
	}
}

// A failed attempt and the one that followed it carry the same request id.
// When the old one expires, the new one must stay to be found.
func TestExpireKeepsTheNewerAttempt(t *testing.T) {
	var tab table
	a, _, _ := tab.join(request("r"), fresh(request("r")))
	a.finish(endOf(result.New(result.EndpointDown, "")), epoch)
	b, _, _ := tab.join(request("r"), fresh(request("r")))
	tab.expire(epoch.Add(keepAnswers))
	if tab.get(keyOf(request("r"))) != b {
		t.Error("the newer attempt is gone")
	}
}
