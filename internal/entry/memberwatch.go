package entry

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/pause"
	"github.com/hyssoprelay/hyssoprelay/internal/peer/peerpb"
	"github.com/hyssoprelay/hyssoprelay/internal/timeline"
)

// watch follows one agent's reports until ctx ends.
func (m *members) watch(ctx context.Context, one *member) {
	for ctx.Err() == nil {
		err := m.follow(ctx, one)
		if errors.Is(err, io.EOF) {
			m.release(one)
		}
		m.drop(one)
		select {
		case <-time.After(watchRetry):
		case <-ctx.Done():
		}
	}
}

// follow reads reports until the stream breaks or the agent falls silent. It returns
// io.EOF if the agent has ended the stream.
func (m *members) follow(ctx context.Context, one *member) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	quiet := pause.NewWatchdog(silentAfter, time.Now(), cancel)
	defer quiet.Stop()
	cc, err := m.conns.Get(one.addr)
	if err != nil {
		return err
	}
	req := &peerpb.WatchRequest{
		Hlc:            uint64(m.clock.Next(m.now())),
		Entry:          m.name,
		IntervalMicros: reportEvery.Microseconds(),
	}
	stream, err := peerpb.NewAgentClient(cc).Watch(ctx, req)
	if err != nil {
		return err
	}
	for {
		r, err := stream.Recv()
		if err != nil {
			return err
		}
		quiet.Restart(time.Now())
		m.heard(ctx, one, r)
	}
}

func (m *members) heard(ctx context.Context, one *member, r *peerpb.LoadReport) {
	now := m.now()
	m.clock.Observe(timeline.Stamp(r.GetHlc()), now)
	m.mu.Lock()
	joined := one.endpoint == ""
	one.endpoint = r.GetEndpoint()
	one.dataCentre = r.GetDataCentre()
	one.heard = now
	one.last = r
	due := m.differsTooLong(one, joined, now)
	leaving := m.leaving[one.addr]
	m.mu.Unlock()
	if joined {
		m.ring.Add(timeline.PeerJoined, "", r.GetEndpoint(), one.addr, r.GetIncarnation(), now)
	}
	p := reportOf(r, now)
	p.Draining = p.Draining || leaving
	m.report(p, now)
	if due {
		m.push(ctx, one.addr)
	}
}
