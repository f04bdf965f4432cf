package entry

import (
	"context"
	"sync"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/caller/admission"
	"github.com/hyssoprelay/hyssoprelay/internal/peer/peerpb"
	"github.com/hyssoprelay/hyssoprelay/internal/platform/vmlist"
	"github.com/hyssoprelay/hyssoprelay/internal/process"
	"github.com/hyssoprelay/hyssoprelay/internal/timeline"
)

const (
	// shareTimeout bounds one report. A reply that comes later than a loan
	// lasts is of no use.
	shareTimeout = 400 * time.Millisecond
	// shrinkAfter is how long the count of a data centre's entries stays at its
	// most after one has left the list, so that a list that lags does not make
	// the entries claim more than a limit together.
	shrinkAfter = 10 * time.Second
	// unknownEntries is how many entries a data centre is taken to have until
	// the list of VMs has answered. Today's have three; a larger number would
	// refuse more callers of a new entry while the list is down.
	unknownEntries = 4
)

// shares divide the accounts' limits: in equal parts over the data centres in
// service, which may be cut off from each other, and by demand over the entries
// of one. Lock order: shares.mu, then scheduler.mu.
type shares struct {
	entry *Entry

	mu     sync.Mutex
	holder admission.ShareHolder
	lender admission.ShareLender
	most   int
	mostAt time.Time
	// known says that most counts the entries of a list that has answered.
	known bool
}

func (s *shares) init() {
	now := s.entry.now()
	s.holder.Entry = s.entry.Settings.Name
	s.holder.Sequence = uint64(now.UnixNano())
	s.lender.Incarnation = uint64(now.UnixNano())
}

// run reports demand and takes shares in until ctx ends.
func (s *shares) run(ctx context.Context) error {
	return process.Every(ctx, s.holder.ReportInterval(), s.round)
}

// round reports to each lender of the data centre and puts the shares into
// force.
func (s *shares) round(ctx context.Context) {
	v := s.entry.view.Load()
	if v == nil {
		return
	}
	now := s.entry.now()
	known := s.entry.directory.knows()
	at := s.colleagues()
	names := []string{s.entry.Settings.Name}
	for name := range at {
		names = append(names, name)
	}
	reports := s.reports(v, names, now)
	for lender, r := range reports {
		s.send(ctx, lender, at[lender], r)
	}
	s.mu.Lock()
	s.known = known
	s.mu.Unlock()
	s.apply(v, s.entry.now())
}

// colleagues returns the other entries of the data centre by name.
func (s *shares) colleagues() map[string]string {
	at := map[string]string{}
	for _, vm := range s.entry.directory.entries() {
		if vm.DataCentre() == s.entry.Settings.DataCentre && vm.State() == vmlist.Live {
			at[vm.ID()] = vm.Address()
		}
	}
	return at
}

// reports makes this round's report for each lender.
func (s *shares) reports(v *view, names []string, now time.Time) map[string]admission.ShareReport {
	demand := s.entry.scheduler.demand(s.holder.ReportInterval())
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(names) >= s.most || now.Sub(s.mostAt) > shrinkAfter {
		s.most, s.mostAt = len(names), now
	}
	s.holder.Entries = s.most
	s.holder.Configure(v.limits(), now)
	for account, d := range demand {
		s.holder.Demand(account, d.rate, d.open)
	}
	lenderOf := func(account string) string { return admission.SelectLender(account, names) }
	all := map[string]admission.ShareReport{}
	for _, n := range names {
		if r := s.holder.Report(n, lenderOf, now); len(r.Accounts) > 0 {
			all[n] = r
		}
	}
	return all
}

// send hands a report to its lender, which may be this entry.
func (s *shares) send(ctx context.Context, lender, addr string, r admission.ShareReport) {
	if lender == s.entry.Settings.Name {
		s.mu.Lock()
		defer s.mu.Unlock()
		if reply, ok := s.lender.Report(r, s.entry.now()); ok {
			s.holder.Reply(lender, reply)
		}
		return
	}
	cc, err := s.entry.conns.Get(addr)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	m, err := peerpb.NewEntryClient(cc).Share(ctx, shareReportTo(r, s.entry))
	if err != nil || m.GetIgnored() {
		return
	}
	s.entry.clock.Observe(timeline.Stamp(m.GetHlc()), s.entry.now())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holder.Reply(lender, shareReplyFrom(m))
}

// apply sets each account's share of its limits at this entry.
//
// Guard: an entry that has just started knows of no other. With the whole share
// of its data centre, or before the first round with the whole limit, an
// account that floods all entries has more than its limit in work while
// entries come and go. The share of one of a few is less than it will have.
func (s *shares) apply(v *view, now time.Time) {
	part := 1 / float64(max(1, v.dataCentresIn()))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lender.Forget(now)
	s.entry.scheduler.mu.Lock()
	defer s.entry.scheduler.mu.Unlock()
	s.entry.scheduler.balancer.Entries = s.most
	for _, a := range v.preset.Accounts() {
		share := 1.0
		switch {
		case !s.known:
			share = 1.0 / unknownEntries
		case s.most > 1:
			share = float64(s.holder.Usable(a.Name(), now)) / admission.ShareUnits
		}
		s.entry.scheduler.admission.SetShare(a.Name(), share*part, now)
	}
}

// server answers what other entries ask of an Entry.
type server struct {
	peerpb.UnimplementedEntryServer
	shares *shares
}

// Share implements peerpb.EntryServer.
func (v *server) Share(_ context.Context, m *peerpb.ShareReport) (*peerpb.ShareReply, error) {
	s := v.shares
	now := s.entry.now()
	s.entry.clock.Observe(timeline.Stamp(m.GetHlc()), now)
	s.mu.Lock()
	reply, ok := s.lender.Report(shareReportFrom(m), now)
	s.mu.Unlock()
	out := shareReplyTo(reply)
	out.Hlc = uint64(s.entry.clock.Next(now))
	out.Ignored = !ok
	return out, nil
}
