package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/peer"
	"github.com/hyssoprelay/hyssoprelay/internal/peer/peerpb"
)

const (
	// pushSlot is how long an entry waits on average for each other entry
	// before it hands a change to an agent, and pushSpread the most. An agent
	// that has the change says so to all that listen to it, so those who wait
	// longer need not hand it on: at the target size 23 entries listen to an
	// agent, and 23 exchanges for each of 36,000 changes a day would take three
	// times what an entry may spend on control.
	pushSlot   = 10 * time.Millisecond
	pushSpread = time.Second
	// differMost is how long an agent's configuration may differ before it is
	// exchanged again: a push may have failed, and the agent may know more.
	differMost = 1500 * time.Millisecond
	// pushTimeout bounds the exchange of configuration with one peer.
	pushTimeout = 2 * time.Second
)

// differsTooLong reports whether to exchange with the agent now: one that has
// just been met, or whose configuration has differed for long. m.mu must be
// held.
func (m *members) differsTooLong(one *member, joined bool, now time.Time) bool {
	switch {
	case !m.differ(one):
		one.differs = time.Time{}
		return false
	case one.differs.IsZero() && !joined:
		one.differs = now
		return false
	case joined || now.Sub(one.differs) >= differMost:
		one.differs = now
		return true
	default:
		return false
	}
}

// differ reports whether the agent said last that it knows something else than
// this entry.
func (m *members) differ(one *member) bool {
	return one.last != nil && one.last.GetConfigDigest() != peer.ConfigDigest(m.store)
}

// push brings a peer to the newest configuration, and this entry too.
func (m *members) push(ctx context.Context, addr string) {
	cc, err := m.conns.Get(addr)
	if err != nil {
		return
	}
	m.pushes.Inc(1)
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	// A peer that can't be reached is tried again at its next report.
	_ = peer.SyncConfig(ctx, peerpb.NewPeerClient(cc), m.store, m.clock, m.now)
}

// pushAll hands a change to the agents that do not get it from another entry
// first.
func (m *members) pushAll(ctx context.Context) {
	done := make(chan struct{}, 1)
	addrs := m.addrs()
	spread := min(pushSpread, time.Duration(2*m.others())*pushSlot)
	for _, a := range addrs {
		wait := time.Duration(rand.Int64N(int64(spread) + 1))
		go func() {
			m.pushAfter(ctx, a, wait)
			done <- struct{}{}
		}()
	}
	for range addrs {
		<-done
	}
}

func (m *members) pushAfter(ctx context.Context, addr string, wait time.Duration) {
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
		return
	}
	m.mu.Lock()
	one := m.byAddr[addr]
	lacks := one != nil && m.differ(one)
	m.mu.Unlock()
	if lacks {
		m.push(ctx, addr)
	}
}
