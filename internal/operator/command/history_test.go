package command

import (
	"context"
	"fmt"
	"math/rand"
	"net/http"
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/operator"
	"github.com/hyssoprelay/hyssoprelay/internal/platform/config"
	"github.com/hyssoprelay/hyssoprelay/internal/standin/line"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

const (
	historyOperators = 4
	historyOrders    = 20
)

// told is what an operator was told about one order.
type told struct {
	order string
	reply operator.ChangeReply
	code  result.Code
}

// TestToldOutcomesAreTrue: four operators change the configuration at once,
// over lines that lose answers, or break and deliver the order later, on a
// service that sometimes loses answers too. Afterwards the document is read. Every order that was told as
// done must be in it, with the generation that was told and once; no order that
// was told as refused may be in it. Without that, an operator gives an order
// twice or believes in one that never came.
func TestToldOutcomesAreTrue(t *testing.T) {
	service := newService(t)
	first := newEntry(t, service)
	addrs := []string{serve(t, first), serve(t, newEntry(t, service))}
	for _, f := range []string{"tazalyk-ordinary.ini", "tazalyk-peak.ini"} {
		assertOutcome(t, runLine(t, addrs, "preset", "put", examples+f, "--plain"), exitDone)
	}
	lost, stopLost := listen(t, &line.Lossy{To: addrs[0]})
	late, stopLate := listen(t, &line.Lossy{To: addrs[1], Delay: 30 * time.Millisecond})
	bad := []string{lost, late}
	results := make(chan []told, historyOperators)
	for i := range historyOperators {
		go func() {
			r := rand.New(rand.NewSource(int64(i)))
			var list []told
			for n := range historyOrders {
				if r.Intn(4) == 0 {
					service.LoseAnswers(1)
				}
				c := &client{token: token, timeout: 30 * time.Second}
				c.addrs = []string{addrs[r.Intn(2)], addrs[r.Intn(2)]}
				if r.Intn(3) == 0 {
					c.addrs[0] = bad[r.Intn(2)]
				}
				list = append(list, give(c, r, fmt.Sprintf("o%d-%d", i, n)))
			}
			results <- list
		}()
	}
	var all []told
	for range historyOperators {
		all = append(all, <-results...)
	}
	stopLost()
	stopLate()
	doc := first.Configuration
	if err := doc.Refresh(context.Background(), start); err != nil {
		t.Fatal(err)
	}
	checkTold(t, all, doc.Current().Head())
}

// give gives one order and returns what was told.
func give(c *client, r *rand.Rand, id string) told {
	paths := []string{
		"/admin/presets/tazalyk-peak/switch", "/admin/presets/tazalyk-ordinary/switch",
		"/admin/dataCentres/astana/out", "/admin/dataCentres/astana/in", "/admin/endpoints/almaty1-engine-1/out",
	}
	body := operator.ChangeRequest{ChangeID: id}
	if r.Intn(4) == 0 {
		body.IfGeneration = uint64(3 + r.Intn(20))
	}
	x := told{order: id}
	err := c.do(context.Background(), call{method: http.MethodPost, path: paths[r.Intn(len(paths))], body: body, change: true}, &x.reply)
	if refusal, ok := err.(*refusal); ok {
		x.code = result.Code(refusal.reply.Code)
	} else if err != nil {
		x.code = result.WriteUnknown
	}
	return x
}

func checkTold(t *testing.T, all []told, h config.Head) {
	t.Helper()
	at := map[string][]uint64{}
	for _, d := range h.RecentChanges() {
		at[d.ChangeID()] = append(at[d.ChangeID()], d.Generation())
	}
	counts := map[result.Code]int{}
	for _, x := range all {
		counts[x.code]++
		g := at[x.order]
		switch {
		case len(g) > 1:
			t.Errorf("%s was done %d times", x.order, len(g))
		case x.code == result.OK && (len(g) != 1 || g[0] > x.reply.Generation):
			t.Errorf("%s was told as done in generation %d; the document has %v", x.order, x.reply.Generation, g)
		case x.code != result.OK && x.code != result.WriteUnknown && len(g) > 0:
			t.Errorf("%s was told as %s and was done", x.order, x.code)
		}
	}
	if counts[result.OK] < historyOrders || h.Generation() != uint64(len(h.RecentChanges())) {
		t.Errorf("outcomes %v, generation %d of %d changes", counts, h.Generation(), len(h.RecentChanges()))
	}
	t.Logf("outcomes %v", counts)
}
