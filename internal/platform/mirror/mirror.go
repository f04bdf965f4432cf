package mirror

import (
	"context"
	"errors"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/pause"

	"github.com/hyssoprelay/hyssoprelay/internal/platform"
	"github.com/hyssoprelay/hyssoprelay/internal/wake"
)

// ErrCompacted says that the service no longer keeps the changes asked for.
var ErrCompacted = errors.New("mirror: the history asked for is gone")

// Reader is what a Mirror needs of the key-value service.
type Reader interface {
	// List reads a page of the keys with the prefix, from key after on.
	List(ctx context.Context, prefix, after string, limit int) (platform.RangeReply, error)
	// Poll returns what happened to the keys with the prefix after a revision,
	// as soon as something did, or nothing after wait. It returns ErrCompacted
	// when the service has dropped that history.
	Poll(ctx context.Context, prefix string, after int64, wait time.Duration) (platform.Changed, error)
}

const (
	// pageLimit is the number of keys asked for at a time.
	pageLimit = 500
	// leastPause and mostPause bound the pause after a failed call: a service
	// that is back is noticed within the second that configuration leaves for
	// it, and an outage of 10 s costs each process some 25 calls.
	leastPause = 100 * time.Millisecond
	mostPause  = 450 * time.Millisecond
)

// Update is what one answer of the service told.
type Update struct {
	// Whole says that KVs is all that there is, and Deleted is empty.
	Whole    bool
	KVs      []platform.KeyValue
	Deleted  []string
	Revision int64
	// Asked is when the answer was asked for: the process knows every change
	// that was made before.
	Asked time.Time
	// Returned says that calls failed before this answer.
	Returned bool
	// Neighbour says that another process has told this, in place of the service.
	Neighbour bool
	// Apart is the revision of the value of the key that is told apart: of the one
	// that the process holds, or in what a neighbour tells, of the neighbour's.
	Apart int64
	// Lacking says that the process doesn't hold that value yet. It knows what was
	// changed before Asked only once it does.
	Lacking bool
}

// position is up to where a process knows all changes.
type position struct {
	revision int64
	known    bool
}

// reach notes that all changes up to a revision are known.
func (p *position) reach(revision int64) {
	p.revision, p.known = max(p.revision, revision), true
}

// Mirror follows one prefix. Set the exported fields before Run.
type Mirror struct {
	Reader Reader
	Prefix string
	// Wait is how long a poll may wait for a change. It bounds the age of what
	// the process knows while nothing changes.
	Wait time.Duration
	// Settle is the pause after an answer that told changes. Changes come in
	// bursts (a fleet starts, a data centre returns), and each call is priced:
	// without the pause each change of a burst costs each process a call.
	Settle time.Duration
	// MostSettle is up to what that pause doubles while one answer after the
	// other tells changes, in the first StartTime of Run; 0 means that it stays
	// the same.
	MostSettle, StartTime time.Duration
	// Doubt, when set and raised, has a poll that waits be asked anew at once.
	//
	// Guard: a poll that was under way when the service fell silent may never be
	// answered. Where few keys change under the prefix, nothing shows that before
	// its wait is over: a group of ranks had no leader for 5 s after an outage of
	// 6 s, since nobody saw that the last one's lease had lapsed in it. Whoever
	// sees by other calls that the service is back raises this.
	Doubt *wake.Signal
	// Neighbour, when set, is asked before the service: it returns what another
	// process has heard from it, or false to ask the service. It says itself in
	// the update whether the service has returned.
	//
	// The service is asked from where nothing was lacking: what another process has
	// told of and not yet passed on would else never be told.
	Neighbour func(ctx context.Context, revision int64, known bool) (Update, bool)
	// Asking, when set, is told before each call to the service when the answer is
	// due.
	Asking func(due time.Time)
	// Now is the clock.
	Now func() time.Time
	// Apply takes in each update, in order, from one goroutine.
	Apply func(Update)
	// Failed, when set, is told of each failed call.
	Failed func(error)
}

// Run follows the prefix until ctx ends.
func (m *Mirror) Run(ctx context.Context) error {
	rest, settle := leastPause, m.Settle
	// heard goes up to what neighbours told, and whole up to where nothing lacks.
	heard, whole, failed := position{}, position{}, false
	// doubtful says that the service did not answer the last call, or another process told
	// the last update in its place.
	asked, doubtful := time.Time{}, false
	started := m.Now().Add(m.StartTime)
	for ctx.Err() == nil {
		u, err := m.next(ctx, heard, whole, m.waitFor(m.Now().Sub(asked), doubtful))
		switch {
		case err == nil:
			if !u.Neighbour {
				u.Returned = failed
			}
			doubtful = u.Neighbour
			failed, rest = false, leastPause
			heard.reach(u.Revision)
			if !u.Lacking {
				whole.reach(u.Revision)
			}
			if u.Asked.After(asked) && !u.Lacking {
				asked = u.Asked
			}
			m.Apply(u)
			if u.Neighbour {
				settle = m.Settle
				continue // changes have gathered at the neighbour
			}
			if len(u.KVs)+len(u.Deleted) == 0 {
				settle = m.Settle
				continue
			}
			pause.For(ctx, settle)
			if settle = max(settle, min(2*settle, m.MostSettle)); m.Now().After(started) {
				settle = m.Settle
			}
		case errors.Is(err, ErrCompacted):
			whole.known = false
		case errors.Is(err, errDoubted):
			failed = true
		default:
			failed, doubtful = true, true
			m.fail(ctx, err)
			pause.For(ctx, rest)
			rest = min(2*rest, mostPause)
		}
	}
	return nil
}

// agedWait is how long a poll waits at least, however old what is known has grown.
const agedWait = 50 * time.Millisecond

// waitFor returns how long a poll waits when knowledge is of so long ago: so that it
// is at most two waits old when the answer comes. A service is tried, and not waited at,
// if it did not answer the last call or this process begins to ask in place of another.
//
// Guard: after an outage, or when this process begins to ask in place of another,
// an answer that waits for a change as usual would leave what is known as old as it
// is for as long again, and it would count for nothing. And a process that tries a service
// which may be silent hears of nothing from others meanwhile.
func (m *Mirror) waitFor(age time.Duration, doubtful bool) time.Duration {
	if doubtful {
		return agedWait
	}
	return min(m.Wait, max(agedWait, 2*m.Wait-age))
}

func (m *Mirror) fail(ctx context.Context, err error) {
	if m.Failed != nil && ctx.Err() == nil {
		m.Failed(err)
	}
}

func (m *Mirror) next(ctx context.Context, heard, whole position, wait time.Duration) (Update, error) {
	if m.Neighbour != nil {
		if u, ok := m.Neighbour(ctx, heard.revision, heard.known); ok {
			u.Neighbour = true
			return u, nil
		}
	}
	asked := m.Now()
	if !whole.known {
		m.asking(asked)
		u, err := m.list(ctx)
		u.Asked = asked
		return u, err
	}
	m.asking(asked.Add(wait))
	c, err := m.poll(ctx, whole.revision, wait)
	if err != nil {
		return Update{}, err
	}
	// Guard: an answer that was overtaken on its way tells an older revision.
	// Going on from there would repeat changes, so the newest one stays.
	return Update{KVs: c.KVs, Deleted: c.Deleted, Revision: max(c.Revision, whole.revision), Asked: asked}, nil
}

func (m *Mirror) asking(due time.Time) {
	if m.Asking != nil {
		m.Asking(due)
	}
}

// errDoubted says that a poll was given up to be asked anew.
var errDoubted = errors.New("mirror: the poll was given up")

// poll asks for changes, until it is answered or doubted.
func (m *Mirror) poll(ctx context.Context, revision int64, wait time.Duration) (platform.Changed, error) {
	if m.Doubt == nil {
		return m.Reader.Poll(ctx, m.Prefix, revision, wait)
	}
	asked, cancel := context.WithCancelCause(ctx)
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		select {
		case <-m.Doubt.Raised():
			cancel(errDoubted)
		case <-asked.Done():
		}
	}()
	c, err := m.Reader.Poll(asked, m.Prefix, revision, wait)
	cancel(nil)
	<-watched
	if err != nil && errors.Is(context.Cause(asked), errDoubted) {
		err = errDoubted
	}
	return c, err
}

// list reads all keys, page after page. Pages are no snapshot, so the changes
// are asked for from the revision of the first page on: what a later page
// already showed is told again, and what it missed is told then.
func (m *Mirror) list(ctx context.Context) (Update, error) {
	u := Update{Whole: true}
	after := ""
	for {
		p, err := m.Reader.List(ctx, m.Prefix, after, pageLimit)
		if err != nil {
			return u, err
		}
		if u.Revision == 0 {
			u.Revision = p.Revision()
		}
		kvs := p.KVs()
		u.KVs = append(u.KVs, kvs...)
		if !p.More() || len(kvs) == 0 {
			return u, nil
		}
		after = kvs[len(kvs)-1].Key()
	}
}
