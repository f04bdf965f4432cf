package frontend

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/pause"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/hyssoprelay/hyssoprelay/internal/boottime"
	"github.com/hyssoprelay/hyssoprelay/internal/fleet"
	"github.com/hyssoprelay/hyssoprelay/internal/fleet/fanout"
	"github.com/hyssoprelay/hyssoprelay/internal/fleet/fleetpb"
	"github.com/hyssoprelay/hyssoprelay/internal/wake"
)

const (
	// tellEvery is the least time between two messages to one entry. A request
	// lasts a second; in this time the whole fleet places one or two.
	tellEvery = 20 * time.Millisecond
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
//
// In a fleet of more than fanout.FewEntries each message to all others would make them grow
// with its square, so one entry of each data centre is told and passes it on, see
// hub.
type teller struct {
	frontend *Frontend
	born     uint64
	woken    wake.Signal
	number   uint64
	// tree says which entry of the data centre is told.
	tree fanout.Tree

	mu sync.Mutex // guards busy
	// busy holds the entries to which a message is on its way.
	busy map[string]bool
}

func newTeller(f *Frontend) *teller {
	return &teller{
		frontend: f, born: uint64(boottime.Now().UnixNano()),
		tree: fanout.Tree{Direct: 1, Most: fanout.BunchEntries}, busy: map[string]bool{},
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
		t.tellAll(ctx, boottime.Now())
		timer.Reset(tellAlways)
		pause.For(ctx, tellEvery)
	}
	return nil
}

// own describes the work of this entry. Only run calls it.
func (t *teller) own(now time.Time) *fleetpb.EntryWork {
	f := t.frontend
	t.number++
	w := &fleetpb.EntryWork{Name: f.Settings.Name, Born: t.born, Number: t.number, Waiting: f.belief.Waiting(), Limits: f.limitsTold(now)}
	for id, n := range f.belief.Own() {
		w.Works = append(w.Works, &fleetpb.Work{Endpoint: id, Running: uint32(n)})
	}
	return w
}

func (t *teller) tellAll(ctx context.Context, now time.Time) {
	f := t.frontend
	own := t.own(now)
	if f.others.count() <= fanout.FewEntries {
		for _, m := range f.others.all() {
			t.send(ctx, m, &fleetpb.WorkRequest{Entries: []*fleetpb.EntryWork{own}})
		}
		return
	}
	hub := t.hub()
	if hub.Name == f.Settings.Name {
		f.hub.add(own, fleetpb.Passing_ALL, now)
		return
	}
	t.send(ctx, hub, &fleetpb.WorkRequest{Entries: []*fleetpb.EntryWork{own}, To: fleetpb.Passing_ALL})
}

// hub returns the entry of this one's data centre that passes messages on.
func (t *teller) hub() fleet.Member {
	f := t.frontend
	near := f.others.near(f.Settings.DataCentre)
	near[f.Settings.Name] = fleet.Member{Name: f.Settings.Name, DataCentre: f.Settings.DataCentre}
	return t.tree.Delegate(t.tree.Bunches(slices.Collect(maps.Values(near)))[0])
}

// send tells one entry, unless a message to it is on its way.
func (t *teller) send(ctx context.Context, m fleet.Member, q *fleetpb.WorkRequest) {
	if m.Name != t.frontend.Settings.Name && t.begin(m.Name) {
		go t.tell(ctx, m, q)
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

func (t *teller) tell(ctx context.Context, m fleet.Member, q *fleetpb.WorkRequest) {
	defer t.end(m.Name)
	f := t.frontend
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	conn, err := f.conns.Get(m.Address)
	if err == nil {
		_, err = fleetpb.NewEntryClient(conn).Work(ctx, q)
	}
	if err == nil {
		return
	}
	f.Log.WithFields(logrus.Fields{"entry": m.Name, "cause": err.Error()}).Debug("work not told")
	t.tree.Failed(m.Name, boottime.Now())
	if status.Code(err) == codes.DeadlineExceeded {
		f.conns.DropSilent(m.Address)
	}
}
