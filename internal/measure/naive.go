package measure

import (
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/placement"
)

// naive is an entry without the deciding packages.
type naive struct {
	w       *world
	reports []placement.Report
	queue   []*job
	turn    int
	// inTurn places in turn instead of by the least reported load.
	inTurn bool
}

func newNaive(w *world, i int) entry {
	w.naive = true
	return &naive{w: w, reports: make([]placement.Report, len(w.servers)), turn: i}
}

func newInTurn(w *world, i int) entry {
	w.naive = true
	return &naive{w: w, reports: make([]placement.Report, len(w.servers)), turn: i, inTurn: true}
}

const (
	naiveTries = 3
	naivePause = 50 * time.Millisecond
)

func (n *naive) arrive(j *job, now time.Duration) {
	j.tries++
	n.queue = append(n.queue, j)
	n.tick(now)
}

func (n *naive) heard(r placement.Report, _ time.Duration) {
	n.reports[serverIndex(r.Endpoint)] = r
}

func (n *naive) piece(*job, time.Duration) {}

func (n *naive) ended(j *job, whole bool, now time.Duration) {
	if !whole && j.outcome == pending {
		n.again(j, now)
	}
	n.tick(now)
}

// again lets the caller return at once.
func (n *naive) again(j *job, now time.Duration) {
	if j.tries >= naiveTries {
		n.w.giveUp(j)
		return
	}
	n.w.at(now+naivePause, func() { n.arrive(j, n.w.now) })
}

func (n *naive) expired(*job, time.Duration) {}

// tick starts waiting requests in order of arrival.
func (n *naive) tick(time.Duration) {
	for len(n.queue) > 0 {
		s := n.least()
		if s == nil {
			return
		}
		j := n.queue[0]
		n.queue = n.queue[1:]
		n.w.start(s, j)
	}
}

// least returns the endpoint with the least reported load, ties in turn, or the
// next in turn. Endpoints that report as many requests as they bear are left
// out.
func (n *naive) least() *server {
	var best *server
	n.turn++
	for k := range n.w.servers {
		i := (n.turn + k) % len(n.w.servers)
		r := n.reports[i]
		if r.Endpoint == "" || r.OutOfService || r.Running >= endpointCapacity {
			continue
		}
		if n.inTurn {
			return n.w.servers[i]
		}
		if best == nil || r.Running < n.reports[best.index].Running {
			best = n.w.servers[i]
		}
	}
	return best
}
