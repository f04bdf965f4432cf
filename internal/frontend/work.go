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
)

const (
	// tellEvery is the least time between two messages to one entry. A request
	// lasts a second; in this time the whole fleet places one or two.
	tellEvery = 20 * time.Millisecond
	// fewEntries is up to how many entries that time holds. Messages grow with
	// the square of the fleet, so in a larger one they come as much more seldom
	// as it is larger; each entry's part of the work is as much smaller.
	fewEntries = 10
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
	woken    chan struct{}

	mu     sync.Mutex
	number uint64
	// busy holds the entries to which a message is on its way.
	busy map[string]bool
}

func newTeller(f *Frontend) *teller {
	return &teller{
		frontend: f, born: uint64(boottime.Now().UnixNano()),
		woken: make(chan struct{}, 1), busy: map[string]bool{},
	}
}

// wake has the others told soon. It never waits.
func (t *teller) wake() {
	select {
	case t.woken <- struct{}{}:
	default:
	}
}

func (t *teller) run(ctx context.Context) error {
	timer := time.NewTimer(tellAlways)
	defer timer.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return nil
		case <-t.woken:
		case <-timer.C:
		}
		t.tellAll(ctx)
		timer.Reset(tellAlways)
		pause.For(ctx, tellPause(t.frontend.others.count()))
	}
	return nil
}

// tellPause returns the time between two messages in a fleet of so many entries.
func tellPause(entries int) time.Duration {
	return tellEvery * time.Duration(max(entries, fewEntries)) / fewEntries
}

func (t *teller) tellAll(ctx context.Context) {
	f := t.frontend
	own := f.belief.Own()
	t.mu.Lock()
	t.number++
	q := &fleetpb.WorkRequest{Name: f.Settings.Name, Born: t.born, Number: t.number, Waiting: f.belief.Waiting()}
	t.mu.Unlock()
	for id, n := range own {
		q.Works = append(q.Works, &fleetpb.Work{Endpoint: id, Running: uint32(n)})
	}
	for name, addr := range f.others.all() {
		if name != f.Settings.Name && t.begin(name) {
			go t.tell(ctx, name, addr, q)
		}
	}
}

// begin reports whether no message to the entry is on its way. One that is
// passed over is told the next time; what it misses is part of that message.
func (t *teller) begin(name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.busy[name] {
		t.wake()
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
