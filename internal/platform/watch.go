package platform

import (
	"context"

	"github.com/hyssoprelay/hyssoprelay/internal/pause"

	"google.golang.org/grpc"

	"github.com/hyssoprelay/hyssoprelay/internal/platform/etcdpb"
)

// GapReason says why a watch may have missed changes.
type GapReason int

const (
	// Opened means that the watch began without a revision to begin from.
	Opened GapReason = iota
	// Reconnected means that the stream broke and a new one was opened.
	Reconnected
	// Compacted means that the service no longer keeps the changes asked for.
	Compacted
)

// WatchEvent is what a watch tells: Changed or Gap.
type WatchEvent interface{ isWatchEvent() }

// Changed holds new values of keys and the keys that were deleted.
type Changed struct {
	KVs      []KeyValue
	Deleted  []string
	Revision int64
}

// Order adds what became of one key, newest last: a key that was deleted and
// written again within one message ends up as written, and the other way round.
func (c *Changed) Order(item KeyValue, deleted bool) {
	for i := range c.KVs {
		if c.KVs[i].key == item.key {
			c.KVs = append(c.KVs[:i], c.KVs[i+1:]...)
			break
		}
	}
	for i := range c.Deleted {
		if c.Deleted[i] == item.key {
			c.Deleted = append(c.Deleted[:i], c.Deleted[i+1:]...)
			break
		}
	}
	if deleted {
		c.Deleted = append(c.Deleted, item.key)
		return
	}
	c.KVs = append(c.KVs, item)
}

// Gap says that changes may have been missed: the reader has to read the keys
// again. It is sent only after the new stream is open, so a change after that
// read is told by the stream.
type Gap struct{ Reason GapReason }

func (Changed) isWatchEvent() {}
func (Gap) isWatchEvent()     {}

// Watch sends what happens to the keys with the prefix from the revision on
// (zero: from now on) to events, until ctx ends. It opens a broken stream
// again and tells a Gap then, because a service that came back from an older
// copy does not hold the changes in between.
func (c *Client) Watch(ctx context.Context, prefix string, from int64, events chan<- WatchEvent) error {
	w := watch{c: c, prefix: prefix, next: from, events: events, gap: Opened}
	for ctx.Err() == nil {
		w.stream(ctx)
		w.next = 0
		pause.For(ctx, minReconnect)
	}
	return nil
}

// watch is the state of one Watch call.
type watch struct {
	c      *Client
	prefix string
	next   int64
	gap    GapReason
	events chan<- WatchEvent
}

// stream follows one stream until it breaks.
func (w *watch) stream(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s, err := w.open(ctx)
	if err != nil {
		return
	}
	for {
		p, err := s.Recv()
		if err != nil {
			w.gap = Reconnected
			return
		}
		if !w.receive(ctx, p) {
			return
		}
	}
}

// receive passes one message on and returns whether the stream is still good.
func (w *watch) receive(ctx context.Context, p *etcdpb.WatchResponse) bool {
	switch {
	case p.GetCanceled():
		w.gap = Compacted
		return false
	case p.GetCreated():
		if w.next != 0 {
			return true
		}
		return w.send(ctx, Gap{Reason: w.gap})
	case len(p.GetEvents()) == 0:
		return true
	default:
		return w.send(ctx, changedFrom(p))
	}
}

type watchStream = grpc.BidiStreamingClient[etcdpb.WatchRequest, etcdpb.WatchResponse]

func (w *watch) open(ctx context.Context) (watchStream, error) {
	wait, cancel := w.c.limit(ctx)
	defer cancel()
	conn, err := w.c.acquire(wait, &w.c.reads)
	if err != nil {
		return nil, err
	}
	w.c.counts.reads.Inc(1)
	s, err := etcdpb.NewWatchClient(conn).Watch(ctx)
	if err != nil {
		w.c.avoid(conn)
		return nil, err
	}
	r := &etcdpb.WatchCreateRequest{
		Key:           []byte(w.prefix),
		RangeEnd:      prefixEnd(w.prefix),
		StartRevision: w.next,
	}
	err = s.Send(&etcdpb.WatchRequest{RequestUnion: &etcdpb.WatchRequest_CreateRequest{CreateRequest: r}})
	return s, err
}

func (w *watch) send(ctx context.Context, e WatchEvent) bool {
	select {
	case w.events <- e:
		return true
	case <-ctx.Done():
		return false
	}
}

func changedFrom(p *etcdpb.WatchResponse) Changed {
	e := Changed{Revision: p.GetHeader().GetRevision()}
	for _, ev := range p.GetEvents() {
		kv := keyValueFrom(ev.GetKv())
		if ev.GetType() == etcdpb.Event_DELETE {
			e.Deleted = append(e.Deleted, kv.key)
			continue
		}
		e.KVs = append(e.KVs, kv)
	}
	return e
}
