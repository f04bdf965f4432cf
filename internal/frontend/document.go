package frontend

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/hyssoprelay/hyssoprelay/internal/boottime"
	"github.com/hyssoprelay/hyssoprelay/internal/fleet/document"
	"github.com/hyssoprelay/hyssoprelay/internal/fleet/fleetpb"
	"github.com/hyssoprelay/hyssoprelay/internal/pause"
	"github.com/hyssoprelay/hyssoprelay/internal/platform/mirror"
	"github.com/hyssoprelay/hyssoprelay/internal/routing"
	"github.com/hyssoprelay/hyssoprelay/internal/wake"
	"github.com/hyssoprelay/hyssoprelay/platform"
)

const (
	// documentBandwidthShare is the share of an entry's line rate that copies of the
	// configuration may use.
	documentBandwidthShare = 0.5
	// documentTimeout limits one request for a copy. It is several times what a
	// compressed megabyte takes on a slow line.
	documentTimeout = 750 * time.Millisecond
	// documentRetryDelay is the mean delay after a request that failed or returned
	// nothing newer.
	documentRetryDelay = 50 * time.Millisecond
	// maxDocumentRedirects is the maximum number of entries asked in turn, each named
	// by the previous one.
	maxDocumentRedirects = 4
)

// missingDocument is a configuration that another entry holds and this one does not.
type missingDocument struct {
	entry, address string
	// covered is what this entry knows once it has the configuration at
	// covered.SeparateRevision.
	covered mirror.Coverage
}

// revision returns the revision of the configuration, or 0 if none is missing.
func (d missingDocument) revision() int64 { return d.covered.SeparateRevision }

// missingTracker holds the configuration that this entry is missing, and signals when
// one is set.
type missingTracker struct {
	changed wake.Signal

	mu       sync.Mutex      // guards document
	document missingDocument // the zero value means that none is missing
}

// set replaces the missing configuration.
func (t *missingTracker) set(doc missingDocument) {
	t.mu.Lock()
	t.document = doc
	t.mu.Unlock()
	if doc.revision() > 0 {
		t.changed.Raise()
	}
}

// get returns the missing configuration, and false if there is none.
func (t *missingTracker) get() (missingDocument, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.document, t.document.revision() > 0
}

// clear removes the missing configuration unless it has been replaced by another one.
func (t *missingTracker) clear(doc missingDocument) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.document == doc {
		t.document = missingDocument{}
	}
}

// heldDocument returns the revision of the newest configuration that this entry holds.
func (f *Frontend) heldDocument() int64 { return f.documents.Newest().Revision }

// newestKnownDocument returns the revision of the newest configuration that this
// entry holds or that another entry has announced.
func (f *Frontend) newestKnownDocument() int64 {
	doc, _ := f.missing.get()
	return max(doc.revision(), f.heldDocument())
}

// fetchDocuments fetches each configuration that this entry is missing, independently
// of all other updates.
//
// The configuration may grow by thousands of routes while endpoints leave. In one
// stream of updates, those removals would queue behind it on the line of the sender
// and become known seconds too late.
func (f *Frontend) fetchDocuments(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-f.missing.changed.Raised():
		}
		for doc, ok := f.missing.get(); ok && ctx.Err() == nil; doc, ok = f.missing.get() {
			f.fetchMissing(ctx, doc)
		}
	}
}

// fetchMissing makes one attempt to fetch a missing configuration, and waits before
// it returns if that did not succeed.
func (f *Frontend) fetchMissing(ctx context.Context, doc missingDocument) {
	if f.heldDocument() < doc.revision() {
		if err := f.fetchDocument(ctx, doc.entry, doc.address); err != nil {
			f.Log.WithFields(logrus.Fields{"entry": doc.entry, "revision": doc.revision(), "cause": err.Error()}).Info("configuration fetch failed")
		}
	}
	if f.heldDocument() < doc.revision() {
		pause.For(ctx, documentRetryDelay/2+rand.N(documentRetryDelay))
		return
	}
	covered := doc.covered
	covered.SeparateRevision = f.heldDocument()
	f.storeCopy.AdvanceSeparate(covered)
	f.advanceFreshness(covered.RequestedAt, boottime.Now())
	f.missing.clear(doc)
}

// fetchDocument fetches the newest configuration from an entry, or from the entries
// to which it redirects.
func (f *Frontend) fetchDocument(ctx context.Context, entry, address string) error {
	for range maxDocumentRedirects {
		p, err := f.requestDocument(ctx, address)
		if err != nil {
			return err
		}
		if p.GetElsewhere() == "" {
			return f.applyDocument(p, entry, boottime.Now())
		}
		address = p.GetElsewhere()
	}
	return eris.New("too many redirects between entries")
}

// requestDocument sends one entry a request for its configuration.
func (f *Frontend) requestDocument(ctx context.Context, address string) (*fleetpb.DocumentReply, error) {
	ctx, cancel := context.WithTimeout(ctx, documentTimeout)
	defer cancel()
	conn, err := f.peerConns.Get(address)
	if err != nil {
		return nil, err
	}
	p, err := fleetpb.NewEntryClient(conn).Document(ctx, &fleetpb.DocumentRequest{
		Held: f.heldDocument(), Asker: f.peerServer.ListenAddr(),
	})
	if err != nil {
		f.peerConns.RemoveUnresponsive(address)
	}
	return p, err
}

// applyDocument puts a configuration received from another entry into force, unless
// it is no newer than the one held.
func (f *Frontend) applyDocument(p *fleetpb.DocumentReply, from string, now time.Time) error {
	if p.GetRevision() <= f.heldDocument() {
		return nil
	}
	v, err := f.documents.Decode(document.Encoded{Revision: p.GetRevision(), Base: p.GetBase(), Bytes: p.GetPacked()})
	if err != nil {
		return err
	}
	t, err := platform.DecodeConfig(v.Value)
	if err != nil {
		return err
	}
	if !f.putInForce(t, v, now) {
		f.documents.Put(v) // it is held, though no version newer than the one in force
		return nil
	}
	f.Log.WithFields(logrus.Fields{
		"version": t.Version(), "routes": t.Routes(), "revision": v.Revision, "entry": from, "bytes": len(p.GetPacked()),
	}).Info("configuration in force")
	return nil
}

// putInForce puts a configuration into force and records that it is held, unless its version
// is no newer than the one in force. It reports whether it is in force now.
//
// The store and another entry may deliver one configuration at once. Whoever finds it in
// force may count as covering its change, and so must find it held as well.
func (f *Frontend) putInForce(t *routing.Table, v document.Version, now time.Time) bool {
	f.inForceMu.Lock()
	defer f.inForceMu.Unlock()
	if !f.state.SetTable(t, now) {
		return false
	}
	f.documents.Put(v)
	return true
}

// Document implements fleetpb.EntryServer.
func (s *service) Document(ctx context.Context, r *fleetpb.DocumentRequest) (*fleetpb.DocumentReply, error) {
	resp, err := s.frontend.documentSender.Answer(r.GetAsker(), r.GetHeld(), boottime.Now())
	if err != nil {
		return nil, err
	}
	switch resp := resp.(type) {
	case document.Redirect:
		return &fleetpb.DocumentReply{Elsewhere: resp.Address}, nil
	case document.Copy:
		pause.For(ctx, resp.Delay)
		return &fleetpb.DocumentReply{Revision: resp.Encoded.Revision, Base: resp.Encoded.Base, Packed: resp.Encoded.Bytes}, ctx.Err()
	default:
		return nil, eris.Errorf("unexpected answer type %T", resp)
	}
}
