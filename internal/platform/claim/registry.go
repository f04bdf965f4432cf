package claim

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/pause"
	"github.com/hyssoprelay/hyssoprelay/internal/platform"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// maxFirstSeen bounds the revisions whose first-seen time is kept. When it is
// reached, all times are discarded and the waits start again.
const maxFirstSeen = 4096

// retryInterval is the wait between two attempts to write a release when a
// reply was lost.
const retryInterval = 50 * time.Millisecond

// Registry lists open claims and releases them for operators. Set the fields
// before the first call. It is safe for concurrent use.
type Registry struct {
	// KV is the platform's key-value service.
	KV platform.KV
	// DispatchWindow is the agents' dispatch window. ReleaseMargin is added to
	// it for the time that an agent needs between its check and the dispatch,
	// and for clocks that run at different speeds.
	DispatchWindow time.Duration
	ReleaseMargin  time.Duration
	// Retention is how long a released record is kept.
	Retention time.Duration
	// Alive, if set, reports whether an agent's incarnation is still alive.
	Alive func(agent string, incarnation uint64) bool
	// Now returns the current time.
	Now func() time.Time

	mu        sync.Mutex // guards firstSeen
	firstSeen map[int64]time.Time
}

// OpenClaim is an open claim as it is listed for operators.
type OpenClaim struct {
	record          Record
	releasableAfter time.Duration
}

// Record returns the claim.
func (o OpenClaim) Record() Record { return o.record }

// ReleasableAfter returns the time until the claim can be released. Zero means
// now.
func (o OpenClaim) ReleasableAfter() time.Duration { return o.releasableAfter }

// Page is a page of the list of open claims.
type Page struct {
	claims     []OpenClaim
	more       bool
	unreadable int
}

// Claims returns the claims in the order of their keys.
func (p Page) Claims() []OpenClaim { return p.claims }

// More reports whether more claims follow this page.
func (p Page) More() bool { return p.more }

// Unreadable returns how many records were omitted because they can't be
// decoded.
func (p Page) Unreadable() int { return p.unreadable }

// List returns a page of at most limit open claims whose keys follow after, the
// String of a Key. The first page has after "".
func (g *Registry) List(ctx context.Context, after string, limit int) (Page, error) {
	if after != "" {
		after = OpenPrefix + after
	}
	r, err := g.KV.List(ctx, OpenPrefix, after, limit)
	if err != nil {
		return Page{}, err
	}
	p := Page{more: r.More()}
	now := g.Now()
	for _, kv := range r.KVs() {
		rec, err := DecodeRecord(kv.Value())
		if err != nil {
			p.unreadable++
			continue
		}
		p.claims = append(p.claims, OpenClaim{record: rec, releasableAfter: max(0, g.remainingWindow(kv.Revision(), now))})
	}
	return p, nil
}

// firstSeenAt returns when this Registry first saw the revision, which is now
// if it did not see it before.
func (g *Registry) firstSeenAt(revision int64, now time.Time) time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	if at, ok := g.firstSeen[revision]; ok {
		return at
	}
	if g.firstSeen == nil || len(g.firstSeen) >= maxFirstSeen {
		g.firstSeen = make(map[int64]time.Time)
	}
	g.firstSeen[revision] = now
	return now
}

// Release closes an open claim as Ran or NotRun, as determined by operator. It
// refuses while the agent may still dispatch the request. The operator must look
// at the endpoint after that time, because what it shows before can still change.
//
// Errors are result errors: MalformedOrder when s is another state or operator
// is empty; UnknownClaim when no open claim has the key; DocumentUnreadable
// when the record can't be decoded; ClaimRunning, with the time to retry after,
// while the window may be open or, for a claim in state Claimed, its agent is
// alive; Conflict when the claim was changed in the meantime; WriteUnknown when
// the release may have been written; PlatformRefused when it was not written.
func (g *Registry) Release(ctx context.Context, k Key, s State, operator string) error {
	if s != Ran && s != NotRun || operator == "" {
		return result.New(result.MalformedOrder, "a release says ran or notRun and who says so")
	}
	rec, revision, err := g.readOpen(ctx, k)
	if err != nil {
		return err
	}
	if rec.state == Claimed && g.Alive != nil && g.Alive(rec.agent, rec.incarnation) {
		return result.New(result.ClaimRunning, "the agent at "+rec.agent+" lives").WithRetryAfter(g.DispatchWindow)
	}
	if remaining := g.remainingWindow(revision, g.Now()); remaining > 0 {
		return result.New(result.ClaimRunning, "the agent may still dispatch the request; look at the endpoint after that").WithRetryAfter(remaining)
	}
	closed := rec.withState(s, Answer{}, g.Now())
	closed.releasedBy = operator
	return g.commitRelease(ctx, storeOutcome{record: closed, revision: revision})
}

func (g *Registry) readOpen(ctx context.Context, k Key) (Record, int64, error) {
	r, err := g.KV.Get(ctx, k.openKey())
	if err != nil {
		return Record{}, 0, result.New(result.PlatformRefused, err.Error())
	}
	kv, ok := r.First()
	if !ok {
		return Record{}, 0, result.New(result.UnknownClaim, k.String())
	}
	rec, err := DecodeRecord(kv.Value())
	if err != nil {
		return Record{}, 0, result.New(result.DocumentUnreadable, err.Error())
	}
	return rec, kv.Revision(), nil
}

// remainingWindow returns for how long the window of the claim's agent, with
// the margin, may still be open; zero or less means that it is closed.
//
// It prevents a release before the dispatch: the operator sees that the request
// was not run and releases the claim, the agent then runs the request, and the
// repeat that the caller sends runs too. The claim was sent before it was
// first seen, so counting from then can only make the wait too long. The clocks
// of agent and operator are not compared.
func (g *Registry) remainingWindow(revision int64, now time.Time) time.Duration {
	return g.firstSeenAt(revision, now).Add(g.DispatchWindow + g.ReleaseMargin).Sub(now)
}

// commitRelease writes the release. It repeats the write until ctx ends if the
// grant of the lease got no reply or the outcome of a write is unknown.
func (g *Registry) commitRelease(ctx context.Context, c storeOutcome) error {
	unknown := false
	for {
		stored, err := g.tryRelease(ctx, c)
		switch {
		case err == nil && stored:
			return nil
		case err == nil:
			return result.New(result.Conflict, "the claim was changed meanwhile")
		case errors.Is(err, errNoLease):
		case platform.IsUnknown(err):
			unknown = true
		case !unknown:
			return result.New(result.PlatformRefused, err.Error())
		}
		pause.For(ctx, retryInterval)
		if ctx.Err() == nil {
			continue
		}
		if unknown {
			return result.New(result.WriteUnknown, c.record.key.String())
		}
		return result.New(result.PlatformRefused, "the time limit passed")
	}
}

// errNoLease means that the grant of a lease for a released record got no
// reply, so the release itself was not written.
var errNoLease = errors.New("claim: lease grant for the released record got no reply")

// tryRelease writes the release once and reports whether it is stored. Its error
// satisfies platform.IsUnknown only if the outcome of the transaction itself is
// unknown.
func (g *Registry) tryRelease(ctx context.Context, c storeOutcome) (bool, error) {
	id, err := g.KV.Grant(ctx, g.Retention)
	if platform.IsUnknown(err) {
		return false, errNoLease
	}
	if err != nil {
		return false, err
	}
	r, err := g.KV.Txn(ctx, platform.Txn{Then: []platform.Op{mutationTxn(c, id)}})
	if err != nil {
		return false, err
	}
	stored, _ := c.interpretReply(r.Ops()[0].Txn())
	return stored, nil
}
