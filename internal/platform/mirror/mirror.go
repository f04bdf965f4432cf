package mirror

import (
	"context"
	"errors"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/pause"
	"github.com/hyssoprelay/hyssoprelay/internal/platform"
	"github.com/hyssoprelay/hyssoprelay/internal/wake"
)

// ErrCompacted reports that the service no longer keeps the requested changes.
var ErrCompacted = errors.New("mirror: requested revision has been compacted")

// ErrTooLong reports that the requested changes take more bytes than an answer may have, or
// than arrive in time.
var ErrTooLong = errors.New("mirror: the changes since the requested revision are too long")

// Reader is the part of the key-value service that a Mirror uses.
type Reader interface {
	// List returns a page of the keys with the prefix, starting behind the key
	// after. The service may use a page size of its own instead of limit.
	List(ctx context.Context, prefix, after string, limit int) (platform.RangeReply, error)
	// Poll returns the changes made to the keys with the prefix after a revision,
	// as soon as there are any, or no changes once wait has passed. It returns
	// ErrCompacted if the service no longer keeps these changes, and ErrTooLong if it
	// can't pass them on.
	Poll(ctx context.Context, prefix string, after int64, wait time.Duration) (platform.Changed, error)
}

const (
	// pageLimit is the number of keys requested per call of List.
	pageLimit = 500
	// minRetryDelay and maxRetryDelay bound the delay after a failed call, which
	// doubles with each further failure. With these bounds, the recovery of the
	// service is noticed within the second that the configuration allows for it, and
	// an outage of 10 s costs each process about 25 calls.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 450 * time.Millisecond
	// minRelistInterval is the shortest time between two readings of the complete state because
	// changes are too long. All of it is sent on to each process that follows this one. It
	// leaves the other half of the time that the configuration allows for a change.
	minRelistInterval = time.Second
)

// Update holds the content of one answer of the service or of a peer.
type Update struct {
	// Complete reports that KVs is the complete state and Deleted is empty.
	Complete bool
	KVs      []platform.KeyValue
	Deleted  []string
	// Revision is the revision up to which the changes of all keys but
	// Copy.SeparateKey are known after the update.
	Revision int64
	Coverage
	// Recovered reports that calls to the service failed before this answer.
	Recovered bool
	// FromPeer reports that the update comes from another process instead of the
	// service.
	FromPeer bool
	// SeparateMissing reports that the process doesn't hold the value of
	// Copy.SeparateKey that Coverage requires yet, so that Coverage doesn't hold.
	SeparateMissing bool
}

// position is the revision up to which a process knows changes. If known is false,
// the complete state has to be read first.
type position struct {
	revision int64
	known    bool
}

// advance records that the changes up to a revision are known.
func (p *position) advance(revision int64) {
	p.revision, p.known = max(p.revision, revision), true
}

// progress is what a process knows after the updates that it has received. The zero
// value has received none.
type progress struct {
	// received is the position in the changes of all keys but Copy.SeparateKey, from
	// which peers are asked, and covered the one in the changes of all keys, from which
	// the service is polled.
	received, covered position
	// knownAt is the time before which all changes are known.
	knownAt time.Time
}

// note records an update. One of a peer that doesn't state what it covers, as earlier
// versions don't, moves no poll.
func (p *progress) note(u Update) {
	p.received.advance(u.Revision)
	if u.SeparateMissing {
		return
	}
	if u.CoveredRevision > 0 || !u.FromPeer {
		p.covered.advance(u.CoveredRevision)
	}
	if u.RequestedAt.After(p.knownAt) {
		p.knownAt = u.RequestedAt
	}
}

// Mirror follows the keys under one prefix. Set the exported fields before Run.
type Mirror struct {
	Reader Reader
	Prefix string
	// Wait is the longest time that a poll waits for a change. It bounds the age
	// of the known state while nothing changes.
	Wait time.Duration
	// Settle is the pause after an answer of the service with changes. Changes
	// come in bursts, as when a fleet starts or a data centre recovers, and calls
	// are billed: without the pause each change of a burst costs each process a
	// call.
	Settle time.Duration
	// MaxSettle is the limit up to which the pause doubles with each consecutive
	// answer with changes, during the first StartupPeriod of Run. If MaxSettle is 0,
	// the pause is always Settle.
	MaxSettle, StartupPeriod time.Duration
	// Repoll, if set, makes the Mirror abort the pending poll and send it again. Raise
	// it when other calls show that the service is reachable again.
	//
	// A poll that was pending when the service became unreachable may never be
	// answered. Where few keys change under the prefix, this shows only at the end
	// of its wait: after an outage of 6 s a group of ranks had no leader for another
	// 5 s, since no process saw that the last leader's lease had expired.
	Repoll *wake.Signal
	// Peer, if set, is called before the service. It returns the changes that
	// another process received from the service after a revision, or the complete
	// state if known is false. It also sets Recovered in the update, which Run sets
	// in the answers of the service. If it returns false, the service is called instead.
	//
	// The service is polled from the revision that the updates without
	// SeparateMissing cover. Otherwise a value that a peer announced but did not
	// transfer, or that the peer itself lacked, would never arrive.
	Peer func(ctx context.Context, revision int64, known bool) (Update, bool)
	// OnRequest, if set, is called before each call to the service with the time at
	// which the answer is due.
	OnRequest func(due time.Time)
	// Now returns the current time.
	Now func() time.Time
	// Apply is called with each update, in order, from one goroutine.
	Apply func(Update)
	// OnError, if set, is called with the error of each failed call.
	OnError func(error)
	// OnRelist, if set, is called with ErrCompacted or ErrTooLong before the complete
	// state is read in place of the changes.
	OnRelist func(cause error)
}

// Run follows the prefix until ctx ends. It always returns nil.
func (m *Mirror) Run(ctx context.Context) error {
	retryDelay, settle := minRetryDelay, m.Settle
	known, failed := progress{}, false
	// unconfirmed reports that the service did not answer the last call, or that the
	// last update came from a peer.
	unconfirmed := false
	startupEnd := m.Now().Add(m.StartupPeriod)
	relistAfter := time.Time{}
	for ctx.Err() == nil {
		u, err := m.fetch(ctx, known, m.pollWait(m.Now().Sub(known.knownAt), unconfirmed))
		switch {
		case err == nil:
			if !u.FromPeer {
				u.Recovered = failed
			}
			unconfirmed = u.FromPeer
			failed, retryDelay = false, minRetryDelay
			known.note(u)
			m.Apply(u)
			if u.FromPeer {
				settle = m.Settle
				continue // the peer has already coalesced changes
			}
			if len(u.KVs)+len(u.Deleted) == 0 {
				settle = m.Settle
				continue
			}
			pause.For(ctx, settle)
			if settle = max(settle, min(2*settle, m.MaxSettle)); m.Now().After(startupEnd) {
				settle = m.Settle
			}
		case errors.Is(err, ErrCompacted):
			known.covered.known = false
			m.reportRelist(err)
		case errors.Is(err, ErrTooLong):
			// The changes since then only become more, so that the same poll would
			// fail as long as the service keeps them. The pages of a list are bounded.
			// The call is not a failure: the service has answered.
			known.covered.known = false
			m.reportRelist(err)
			pause.For(ctx, relistAfter.Sub(m.Now()))
			relistAfter = m.Now().Add(minRelistInterval)
		case errors.Is(err, errPollAborted):
			failed = true
		default:
			failed, unconfirmed = true, true
			m.reportFailure(ctx, err)
			pause.For(ctx, retryDelay)
			retryDelay = min(2*retryDelay, maxRetryDelay)
		}
	}
	return nil
}

// minPollWait is the shortest wait of a poll, whatever the age of the known state.
const minPollWait = 50 * time.Millisecond

// pollWait returns the wait of a poll when the known state has the given age. It is
// shortened so that the state is at most two waits old when the answer comes, and
// is minPollWait if unconfirmed.
//
// After an outage, or when this process starts to poll the service in place of
// another, a poll of the full wait would let a state that is already old grow older
// by that wait, beyond the age up to which it is used. While a process waits for a
// service that may be unreachable, it also receives nothing from its peers.
func (m *Mirror) pollWait(age time.Duration, unconfirmed bool) time.Duration {
	if unconfirmed {
		return minPollWait
	}
	return min(m.Wait, max(minPollWait, 2*m.Wait-age))
}

func (m *Mirror) reportFailure(ctx context.Context, err error) {
	if m.OnError != nil && ctx.Err() == nil {
		m.OnError(err)
	}
}

func (m *Mirror) reportRelist(cause error) {
	if m.OnRelist != nil {
		m.OnRelist(cause)
	}
}

func (m *Mirror) fetch(ctx context.Context, known progress, wait time.Duration) (Update, error) {
	if m.Peer != nil {
		if u, ok := m.Peer(ctx, known.received.revision, known.received.known); ok {
			u.FromPeer = true
			return u, nil
		}
	}
	sentAt := m.Now()
	if !known.covered.known {
		m.reportRequest(sentAt)
		u, err := m.list(ctx)
		u.Coverage = Coverage{CoveredRevision: u.Revision, RequestedAt: sentAt}
		return u, err
	}
	m.reportRequest(sentAt.Add(wait))
	c, err := m.poll(ctx, known.covered.revision, wait)
	if err != nil {
		return Update{}, err
	}
	// An answer that arrives out of order carries an older revision, and polling
	// from there would repeat changes.
	revision := max(c.Revision, known.covered.revision)
	return Update{
		KVs: c.KVs, Deleted: c.Deleted, Revision: revision, Coverage: Coverage{CoveredRevision: revision, RequestedAt: sentAt},
	}, nil
}

func (m *Mirror) reportRequest(due time.Time) {
	if m.OnRequest != nil {
		m.OnRequest(due)
	}
}

// errPollAborted reports that a poll was aborted by Repoll and is to be repeated.
var errPollAborted = errors.New("mirror: poll aborted")

// poll polls the service until it answers or Repoll is raised.
func (m *Mirror) poll(ctx context.Context, revision int64, wait time.Duration) (platform.Changed, error) {
	if m.Repoll == nil {
		return m.Reader.Poll(ctx, m.Prefix, revision, wait)
	}
	pollCtx, cancel := context.WithCancelCause(ctx)
	watcherDone := make(chan struct{})
	go func() {
		defer close(watcherDone)
		select {
		case <-m.Repoll.Raised():
			cancel(errPollAborted)
		case <-pollCtx.Done():
		}
	}()
	c, err := m.Reader.Poll(pollCtx, m.Prefix, revision, wait)
	cancel(nil)
	<-watcherDone
	if err != nil && errors.Is(context.Cause(pollCtx), errPollAborted) {
		err = errPollAborted
	}
	return c, err
}

// list reads all keys page by page and returns them with the revision of the first
// page. The pages aren't one snapshot: polling from that revision repeats changes
// that later pages already contained, and delivers those that they missed.
func (m *Mirror) list(ctx context.Context) (Update, error) {
	kvs, revision, err := platform.ListPages(func(after string) (platform.RangeReply, error) {
		return m.Reader.List(ctx, m.Prefix, after, pageLimit)
	})
	return Update{Complete: true, KVs: kvs, Revision: revision}, err
}
