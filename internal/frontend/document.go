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
	"github.com/hyssoprelay/hyssoprelay/internal/wake"
	"github.com/hyssoprelay/hyssoprelay/platform"
)

const (
	// documentPart is the part of an entry's line that copies of the configuration
	// may take.
	documentPart = 0.5
	// documentTimeout bounds one request for a copy, several times what a packed
	// megabyte takes on a narrow line.
	documentTimeout = 750 * time.Millisecond
	// documentAgain is about the pause after a request that brought nothing newer.
	documentAgain = 50 * time.Millisecond
	// mostNamed is how many entries are asked one after the other, each named by the
	// one before.
	mostNamed = 4
)

// lack is a configuration that another entry holds and this one doesn't.
type lack struct {
	entry, address string
	revision       int64
	// asked is the time of which this entry will know all once it has the
	// configuration.
	asked time.Time
}

// lacking is what an entry lacks, and is woken when that changes.
type lacking struct {
	woken wake.Signal

	mu   sync.Mutex // guards lack
	lack lack       // of revision 0 if nothing is lacking
}

// set replaces what is lacking.
func (l *lacking) set(to lack) {
	l.mu.Lock()
	l.lack = to
	l.mu.Unlock()
	if to.revision > 0 {
		l.woken.Raise()
	}
}

// get returns what is lacking, and false if nothing is.
func (l *lacking) get() (lack, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lack, l.lack.revision > 0
}

// drop forgets what was lacking, unless something newer is by now.
func (l *lacking) drop(got lack) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lack == got {
		l.lack = lack{}
	}
}

// documentHeard returns the revision of the newest configuration that another entry
// or the store has told of.
func (f *Frontend) documentHeard() int64 {
	l, _ := f.lacking.get()
	return max(l.revision, f.documents.Newest().Revision)
}

// fetchDocuments asks for each configuration that this entry lacks, beside what is
// heard of everything else.
//
// Load: the configuration grows by thousands of routes while endpoints leave. Harm
// prevented: the leavings stand behind it on the line of whoever tells both, and are
// known seconds too late.
func (f *Frontend) fetchDocuments(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-f.lacking.woken.Raised():
		}
		for l, ok := f.lacking.get(); ok && ctx.Err() == nil; l, ok = f.lacking.get() {
			f.fetchLacking(ctx, l)
		}
	}
}

// fetchLacking asks once for what is lacking.
func (f *Frontend) fetchLacking(ctx context.Context, l lack) {
	if f.documents.Newest().Revision < l.revision {
		if err := f.fetchDocument(ctx, l.entry, l.address); err != nil {
			f.Log.WithFields(logrus.Fields{"entry": l.entry, "revision": l.revision, "cause": err.Error()}).Info("configuration not told")
		}
	}
	if f.documents.Newest().Revision < l.revision {
		pause.For(ctx, documentAgain/2+rand.N(documentAgain))
		return
	}
	f.copy.CatchUp(l.asked, f.documents.Newest().Revision)
	f.learn(l.asked, boottime.Now())
	f.lacking.drop(l)
}

// fetchDocument asks an entry for the newest configuration, and whom it names in its
// place.
func (f *Frontend) fetchDocument(ctx context.Context, entry, address string) error {
	for range mostNamed {
		p, err := f.askDocument(ctx, address)
		if err != nil {
			return err
		}
		if p.GetElsewhere() == "" {
			return f.takeDocument(p, entry, boottime.Now())
		}
		address = p.GetElsewhere()
	}
	return eris.New("each entry names another")
}

// askDocument asks one entry.
func (f *Frontend) askDocument(ctx context.Context, address string) (*fleetpb.DocumentReply, error) {
	ctx, cancel := context.WithTimeout(ctx, documentTimeout)
	defer cancel()
	conn, err := f.conns.Get(address)
	if err != nil {
		return nil, err
	}
	p, err := fleetpb.NewEntryClient(conn).Document(ctx, &fleetpb.DocumentRequest{
		Held: f.documents.Newest().Revision, Asker: f.peers.Address(),
	})
	if err != nil {
		f.conns.DropSilent(address)
	}
	return p, err
}

// takeDocument puts a configuration into force that another entry has passed on.
func (f *Frontend) takeDocument(p *fleetpb.DocumentReply, from string, now time.Time) error {
	if p.GetRevision() <= f.documents.Newest().Revision {
		return nil
	}
	v, err := f.documents.Unpack(document.Packed{Revision: p.GetRevision(), Base: p.GetBase(), Bytes: p.GetPacked()})
	if err != nil {
		return err
	}
	t, err := platform.DecodeConfig(v.Value)
	if err != nil {
		return err
	}
	f.belief.SetTable(t, now)
	f.documents.Put(v)
	f.Log.WithFields(logrus.Fields{
		"version": t.Version(), "routes": t.Routes(), "revision": v.Revision, "entry": from, "bytes": len(p.GetPacked()),
	}).Info("configuration in force")
	return nil
}

// Document implements fleetpb.EntryServer.
func (s *service) Document(ctx context.Context, r *fleetpb.DocumentRequest) (*fleetpb.DocumentReply, error) {
	a, err := s.frontend.sender.Ask(r.GetAsker(), r.GetHeld(), boottime.Now())
	if err != nil {
		return nil, err
	}
	switch a := a.(type) {
	case document.Elsewhere:
		return &fleetpb.DocumentReply{Elsewhere: a.Address}, nil
	case document.Copy:
		pause.For(ctx, a.After)
		return &fleetpb.DocumentReply{Revision: a.Packed.Revision, Base: a.Packed.Base, Packed: a.Packed.Bytes}, ctx.Err()
	default:
		return nil, eris.Errorf("answer %T is of no known kind", a)
	}
}
