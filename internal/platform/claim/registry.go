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

// maxSeen bounds the open claims whose first sight is remembered.
const maxSeen = 4096

// retryPause is the wait between two tries to settle a release whose answer was
// lost.
const retryPause = 50 * time.Millisecond

// Registry lists open claims and releases them for operators. Set the fields
// before the first call. It may be used by several goroutines.
type Registry struct {
	// KV is the platform's service.
	KV platform.KV
	// Window is the agents' dispatch window and Margin what is added to it for
	// the time that an agent needs between its check and the dispatch, and for
	// clocks of unequal speed.
	Window time.Duration
	Margin time.Duration
	// Retention is how long a released record is kept.
	Retention time.Duration
	// Alive, when set, reports whether an agent's incarnation still lives.
	Alive func(agent string, incarnation uint64) bool
	// Now is the clock.
	Now func() time.Time

	mu   sync.Mutex // guards seen
	seen map[int64]time.Time
}

// Open is an open claim as operators see it.
type Open struct {
	record Record
	rest   time.Duration
}

// Record returns the claim.
func (o Open) Record() Record { return o.record }

// Rest returns after how long the claim can be released; zero is at once.
func (o Open) Rest() time.Duration { return o.rest }

// Page is a part of the list of open claims.
type Page struct {
	claims     []Open
	more       bool
	unreadable int
}

// Claims returns the claims in the order of their keys.
func (p Page) Claims() []Open { return p.claims }

// More reports whether there are more after this page.
func (p Page) More() bool { return p.more }

// Unreadable returns how many records were left out because they can't be read.
func (p Page) Unreadable() int { return p.unreadable }

// List returns open claims from the key after on, which is the String of a Key.
// The first page has after "".
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
		p.claims = append(p.claims, Open{record: rec, rest: max(0, g.rest(kv.Revision(), now))})
	}
	return p, nil
}

// sight returns when the revision was first seen here.
func (g *Registry) sight(revision int64, now time.Time) time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	if at, ok := g.seen[revision]; ok {
		return at
	}
	if g.seen == nil || len(g.seen) >= maxSeen {
		g.seen = make(map[int64]time.Time)
	}
	g.seen[revision] = now
	return now
}

// Release closes an open claim as Ran or NotRun, on the word of the operator
// by. It refuses while the dispatch window may be open: the operator must look
// at the endpoint after that, because what was seen there before can still
// change. Errors are results: UnknownClaim; ClaimRunning, with the time to come
// back, when the window may be open or the claim's agent lives; Conflict when
// the claim changed meanwhile; WriteUnknown; PlatformRefused.
func (g *Registry) Release(ctx context.Context, k Key, s State, by string) error {
	if s != Ran && s != NotRun || by == "" {
		return result.New(result.MalformedOrder, "a release says ran or notRun and who says so")
	}
	rec, revision, err := g.read(ctx, k)
	if err != nil {
		return err
	}
	if rec.state == Claimed && g.Alive != nil && g.Alive(rec.agent, rec.incarnation) {
		return result.New(result.ClaimRunning, "the agent at "+rec.agent+" lives").WithRetryAfter(g.Window)
	}
	if rest := g.rest(revision, g.Now()); rest > 0 {
		return result.New(result.ClaimRunning, "the agent may still dispatch the request; look at the endpoint after that").WithRetryAfter(rest)
	}
	closed := rec.with(s, Answer{}, g.Now())
	closed.releasedBy = by
	return g.close(ctx, conclude{record: closed, revision: revision})
}

func (g *Registry) read(ctx context.Context, k Key) (Record, int64, error) {
	r, err := g.KV.Get(ctx, k.open())
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

// rest returns for how long the window of the claim's agent may still be open.
//
// It guards against a release that overtakes the dispatch: the operator sees
// that nothing was printed, releases the claim, the agent prints, and the order
// that the caller sends again is printed too. The claim was sent before it was
// seen, so counting from the first sight can only be too long; the clocks of
// agent and operator are not compared.
func (g *Registry) rest(revision int64, now time.Time) time.Duration {
	return g.sight(revision, now).Add(g.Window + g.Margin).Sub(now)
}

// close writes the release and settles a lost answer by writing again.
func (g *Registry) close(ctx context.Context, c conclude) error {
	unknown := false
	for {
		stored, err := g.try(ctx, c)
		switch {
		case err == nil && stored:
			return nil
		case err == nil:
			return result.New(result.Conflict, "the claim was changed meanwhile")
		case errors.Is(err, errGrant):
		case platform.IsUnknown(err):
			unknown = true
		case !unknown:
			return result.New(result.PlatformRefused, err.Error())
		}
		pause.For(ctx, retryPause)
		if ctx.Err() == nil {
			continue
		}
		if unknown {
			return result.New(result.WriteUnknown, c.record.key.String())
		}
		return result.New(result.PlatformRefused, "the time limit passed")
	}
}

// errGrant says that the lease of a released record was not granted, or that
// the answer was lost; either way the release itself was not written.
var errGrant = errors.New("claim: no lease for the released record")

// try reports whether the release is stored. Only an unknown outcome of the
// transaction itself leaves that open.
func (g *Registry) try(ctx context.Context, c conclude) (bool, error) {
	id, err := g.KV.Grant(ctx, g.Retention)
	if platform.IsUnknown(err) {
		return false, errGrant
	}
	if err != nil {
		return false, err
	}
	r, err := g.KV.Txn(ctx, platform.Txn{Then: []platform.Op{txnOf(c, id)}})
	if err != nil {
		return false, err
	}
	stored, _ := c.judge(r.Ops()[0].Txn())
	return stored, nil
}
