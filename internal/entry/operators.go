package entry

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/operator"
	"github.com/hyssoprelay/hyssoprelay/internal/peer/peerpb"
	"github.com/hyssoprelay/hyssoprelay/internal/platform/claim"
	"github.com/hyssoprelay/hyssoprelay/internal/timeline"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

const (
	// askTimeout bounds the wait for one process's status or time line, so
	// that a dead one holds up an operator no longer.
	askTimeout = 2 * time.Second
	// claimPage is how many open claims are read at once.
	claimPage = 500
)

// everyone returns this process and all that it knows of, by name.
func (e *Entry) everyone() map[string]string {
	all := map[string]string{e.Settings.Name: e.peers.ListenAddr()}
	for _, v := range e.directory.entries() {
		all[v.ID()] = v.Address()
	}
	e.directory.mu.Lock()
	defer e.directory.mu.Unlock()
	for name, addr := range e.directory.agentAt {
		all[name] = addr
	}
	return all
}

// asked is what became of asking one process.
type asked struct {
	name string
	err  error
}

// askAll asks every process at once and returns the names of those that did
// not answer.
func (e *Entry) askAll(ctx context.Context, ask func(context.Context, peerpb.PeerClient) error) []string {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	all := e.everyone()
	done := make(chan asked, len(all))
	for name, addr := range all {
		go func() { done <- asked{name: name, err: e.askOne(ctx, addr, ask)} }()
	}
	var silent []string
	for range all {
		if a := <-done; a.err != nil {
			silent = append(silent, a.name)
		}
	}
	return silent
}

func (e *Entry) askOne(ctx context.Context, addr string, ask func(context.Context, peerpb.PeerClient) error) error {
	cc, err := e.conns.Get(addr)
	if err != nil {
		return err
	}
	return ask(ctx, peerpb.NewPeerClient(cc))
}

// statusOf is operator.Status over all processes.
type statusOf struct{ entry *Entry }

// Status implements operator.Status.
func (s statusOf) Status(ctx context.Context) ([]*peerpb.StatusReply, []string) {
	e := s.entry
	found := make(chan *peerpb.StatusReply, len(e.everyone())+1)
	silent := e.askAll(ctx, func(ctx context.Context, c peerpb.PeerClient) error {
		r, err := c.Status(ctx, &peerpb.StatusRequest{Hlc: uint64(e.clock.Next(e.now()))})
		if err != nil {
			return err
		}
		select {
		case found <- r:
		default:
		}
		return nil
	})
	close(found)
	var rs []*peerpb.StatusReply
	for r := range found {
		e.clock.Observe(timeline.Stamp(r.GetHlc()), e.now())
		rs = append(rs, r)
	}
	return rs, silent
}

// timelineOf is operator.Timeline over all processes.
type timelineOf struct{ entry *Entry }

// Timeline implements operator.Timeline.
func (t timelineOf) Timeline(ctx context.Context, r *peerpb.TimelineRequest) ([]*peerpb.TimelineEvent, []string) {
	e := t.entry
	r.Hlc = uint64(e.clock.Next(e.now()))
	found := make(chan []*peerpb.TimelineEvent, len(e.everyone())+1)
	silent := e.askAll(ctx, func(ctx context.Context, c peerpb.PeerClient) error {
		events, err := readTimeline(ctx, c, r)
		if err != nil {
			return err
		}
		select {
		case found <- events:
		default:
		}
		return nil
	})
	close(found)
	var all []*peerpb.TimelineEvent
	for es := range found {
		all = append(all, es...)
	}
	return all, silent
}

func readTimeline(ctx context.Context, c peerpb.PeerClient, r *peerpb.TimelineRequest) ([]*peerpb.TimelineEvent, error) {
	stream, err := c.Timeline(ctx, r)
	if err != nil {
		return nil, err
	}
	var all []*peerpb.TimelineEvent
	for {
		reply, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return all, nil
		}
		if err != nil {
			return nil, err
		}
		all = append(all, reply.GetEvents()...)
	}
}

// claimsOf is operator.Claims over the platform's records.
type claimsOf struct {
	registry *claim.Registry
}

// List implements operator.Claims.
func (c claimsOf) List(ctx context.Context, account, key string) ([]operator.Claim, error) {
	var all []operator.Claim
	after := ""
	for {
		page, err := c.registry.List(ctx, after, claimPage)
		if err != nil {
			return nil, err
		}
		for _, o := range page.Claims() {
			r := o.Record()
			after = r.Key().String()
			if matches(r, account, key) {
				all = append(all, claimView(r, o.ReleasableAfter()))
			}
		}
		if !page.More() || len(page.Claims()) == 0 {
			return all, nil
		}
	}
}

func matches(r claim.Record, account, key string) bool {
	k := r.Key()
	return (account == "" || k.Account() == account) && (key == "" || k.IdempotencyKey() == key)
}

func claimView(r claim.Record, releasableAfter time.Duration) operator.Claim {
	return operator.Claim{
		Route:      r.Key().Service(),
		Account:    r.Key().Account(),
		Key:        r.Key().IdempotencyKey(),
		RequestID:  r.RequestID(),
		Agent:      r.Endpoint(),
		State:      r.State().String(),
		AtMicros:   r.UpdatedAt().UnixMicro(),
		RestMillis: releasableAfter.Milliseconds(),
	}
}

// Release implements operator.Claims.
func (c claimsOf) Release(ctx context.Context, r operator.Release) error {
	k, err := claim.NewKey(r.Route, r.Account, r.Key)
	if err != nil {
		return result.New(result.MalformedOrder, err.Error())
	}
	state := claim.NotRun
	if r.Ran {
		state = claim.Ran
	}
	return c.registry.Release(ctx, k, state, r.By)
}
