package frontend

import (
	"context"
	"sync"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/pause"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/hyssoprelay/hyssoprelay/internal/boottime"
	"github.com/hyssoprelay/hyssoprelay/internal/fleet/fleetpb"
	"github.com/hyssoprelay/hyssoprelay/internal/wake"
)

const (
	// tellEvery is the least time between two messages to one entry. A request
	// lasts a second; in this time the whole fleet places one or two.
	tellEvery = 20 * time.Millisecond
	// fewEntries is up to how many entries that time holds. Messages grow with
	// the square of the fleet, so in a larger one they come as much more seldom
	// as it is larger; each entry's part of the work is as much smaller.
	fewEntries = 10
	// farTimes is how many times more seldom entries of other data centres are
	// told in a fleet of more than fewEntries.
	farTimes = 4
	// tellAlways is the longest time between them: a message that was lost is
	// made good, and the others see that this entry is there.
	tellAlways = time.Second
	// tellTimeout bounds one message.
	tellTimeout = 200 * time.Millisecond
)

// teller tells the other entries how much work this one has given to endpoints.
//
// The load is a group of engines that run in lock-step, so that the fullest one
// slows all of them. Each entry sees a ninth of the requests; without knowing of
// the others' it would fill some engines while others rest.
type teller struct {
	frontend *Frontend
	born     uint64
	woken    wake.Signal

	mu     sync.Mutex
	number uint64
	// toldFar is when entries of other data centres were last told, and farWaits
	// that something has changed since. Only run uses them.
	toldFar  time.Time
	farWaits bool
	// busy holds the entries to which a message is on its way.
	busy map[string]bool
}

func newTeller(f *Frontend) *teller {
	return &teller{
		frontend: f, born: uint64(boottime.Now().UnixNano()),
		busy: map[string]bool{},
	}
}

func (t *teller) run(ctx context.Context) error {
	timer := time.NewTimer(tellAlways)
	defer timer.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return nil
		case <-t.woken.Raised():
		case <-timer.C:
		}
		now := boottime.Now()
		t.tellAll(ctx, now)
		timer.Reset(t.rest(now))
		pause.For(ctx, tellPause(t.frontend.others.count()))
	}
	return nil
}

// tellPause returns the time between two messages in a fleet of so many entries.
func tellPause(entries int) time.Duration {
	return tellEvery * time.Duration(max(entries, fewEntries)) / fewEntries
}

// farPause returns the same for entries of other data centres, or 0 where they are
// told as often as those of the own one.
//
// Load: 42 entries in three data centres, of which each tells 28 in others some
// twelve times a second. Harm prevented: most of the bytes that go between data
// centres, which are dear, were such messages. What is heard later is made up for
// by the reports of engines, and each entry still knows its own third at once.
func farPause(entries int) time.Duration {
	if entries <= fewEntries {
		return 0
	}
	return farTimes * tellPause(entries)
}

// rest returns how long until somebody has to be told though nothing changes.
func (t *teller) rest(now time.Time) time.Duration {
	if !t.farWaits {
		return tellAlways
	}
	return min(tellAlways, max(0, t.toldFar.Add(farPause(t.frontend.others.count())).Sub(now)))
}

// farDue reports whether entries of other data centres are told now.
func (t *teller) farDue(now time.Time) bool {
	due := now.Sub(t.toldFar) >= farPause(t.frontend.others.count())
	if due {
		t.toldFar = now
	}
	t.farWaits = !due
	return due
}

func (t *teller) tellAll(ctx context.Context, now time.Time) {
	f := t.frontend
	own := f.belief.Own()
	t.mu.Lock()
	t.number++
	q := &fleetpb.WorkRequest{Name: f.Settings.Name, Born: t.born, Number: t.number, Waiting: f.belief.Waiting()}
	t.mu.Unlock()
	for id, n := range own {
		q.Works = append(q.Works, &fleetpb.Work{Endpoint: id, Running: uint32(n)})
	}
	far := t.farDue(now)
	for name, m := range f.others.all() {
		near := m.DataCentre == f.Settings.DataCentre
		if name != f.Settings.Name && (near || far) && t.begin(name) {
			go t.tell(ctx, name, m.Address, q)
		}
	}
}

// begin reports whether no message to the entry is on its way. One that is
// passed over is told the next time; what it misses is part of that message.
func (t *teller) begin(name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.busy[name] {
		t.woken.Raise()
		return false
	}
	t.busy[name] = true
	return true
}

func (t *teller) end(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.busy, name)
}

func (t *teller) tell(ctx context.Context, name, addr string, q *fleetpb.WorkRequest) {
	defer t.end(name)
	f := t.frontend
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	conn, err := f.conns.Get(addr)
	if err == nil {
		_, err = fleetpb.NewEntryClient(conn).Work(ctx, q)
	}
	if err == nil {
		return
	}
	f.Log.WithFields(logrus.Fields{"entry": name, "cause": err.Error()}).Debug("work not told")
	if status.Code(err) == codes.DeadlineExceeded {
		// A connection may have gone silent for good while a new one works.
		f.conns.Drop(addr)
	}
}
