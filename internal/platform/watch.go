package platform

import (
	"context"

	"google.golang.org/grpc"

	"github.com/hyssoprelay/hyssoprelay/internal/pause"
	"github.com/hyssoprelay/hyssoprelay/internal/platform/etcdpb"
)

// GapReason is the reason why a watch may have missed changes.
type GapReason int

const (
	// GapOpened means that the watch was opened without a start revision.
	GapOpened GapReason = iota
	// GapReconnected means that the stream broke and a new one was opened.
	GapReconnected
	// GapCanceled means that the service canceled the watch, as it does when it no
	// longer keeps the requested changes.
	GapCanceled
)

// WatchEvent is an event of a watch: Changed or Gap.
type WatchEvent interface{ isWatchEvent() }

// Changed holds the keys that were written, with their values, and the keys that
// were deleted.
type Changed struct {
	KVs      []KeyValue
	Deleted  []string
	Revision int64
}

// Apply adds the latest write or deletion of a key, replacing an earlier one of the
// same key: a key that was deleted and written again within one message counts as
// written, and the reverse.
func (c *Changed) Apply(item KeyValue, deleted bool) {
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

// Gap reports that changes may have been missed, so that the receiver must read the
// keys again. It is sent only after the new stream is open: the stream reports every
// change that is made after that read.
type Gap struct{ Reason GapReason }

func (Changed) isWatchEvent() {}
func (Gap) isWatchEvent()     {}

// Watch sends the changes of the keys with the prefix to events until ctx ends,
// starting at the revision from; zero means the current one. When the stream breaks,
// Watch opens a new one without a start revision and sends a Gap: a service that was
// restored from an older copy may not hold the changes in between. It always
// returns nil.
func (c *Client) Watch(ctx context.Context, prefix string, from int64, events chan<- WatchEvent) error {
	w := watch{c: c, prefix: prefix, startRevision: from, events: events, gapReason: GapOpened}
	for ctx.Err() == nil {
		w.followStream(ctx)
		w.startRevision = 0
		pause.For(ctx, minReconnectDelay)
	}
	return nil
}

// watch is the state of one Watch call.
type watch struct {
	c             *Client
	prefix        string
	startRevision int64
	gapReason     GapReason
	events        chan<- WatchEvent
}

// followStream opens a stream and processes its messages until it breaks.
func (w *watch) followStream(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := w.openStream(ctx)
	if err != nil {
		return
	}
	for {
		resp, err := stream.Recv()
		if err != nil {
			w.gapReason = GapReconnected
			return
		}
		if !w.handleResponse(ctx, resp) {
			return
		}
	}
}

// handleResponse sends the event of one message, if there is one. It returns
// whether the stream can still be used.
func (w *watch) handleResponse(ctx context.Context, resp *etcdpb.WatchResponse) bool {
	switch {
	case resp.GetCanceled():
		w.gapReason = GapCanceled
		return false
	case resp.GetCreated():
		if w.startRevision != 0 {
			return true
		}
		return w.send(ctx, Gap{Reason: w.gapReason})
	case len(resp.GetEvents()) == 0:
		return true
	default:
		return w.send(ctx, changedFrom(resp))
	}
}

type watchStream = grpc.BidiStreamingClient[etcdpb.WatchRequest, etcdpb.WatchResponse]

func (w *watch) openStream(ctx context.Context) (watchStream, error) {
	acquireCtx, cancel := w.c.withTimeout(ctx)
	defer cancel()
	conn, err := w.c.acquire(acquireCtx, &w.c.reads)
	if err != nil {
		return nil, err
	}
	w.c.counters.reads.Inc(1)
	s, err := etcdpb.NewWatchClient(conn).Watch(ctx)
	if err != nil {
		w.c.preferNextAfter(conn)
		return nil, err
	}
	req := &etcdpb.WatchCreateRequest{
		Key:           []byte(w.prefix),
		RangeEnd:      prefixEnd(w.prefix),
		StartRevision: w.startRevision,
	}
	err = s.Send(&etcdpb.WatchRequest{RequestUnion: &etcdpb.WatchRequest_CreateRequest{CreateRequest: req}})
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

func changedFrom(resp *etcdpb.WatchResponse) Changed {
	changed := Changed{Revision: resp.GetHeader().GetRevision()}
	for _, ev := range resp.GetEvents() {
		kv := keyValueFrom(ev.GetKv())
		if ev.GetType() == etcdpb.Event_DELETE {
			changed.Deleted = append(changed.Deleted, kv.key)
			continue
		}
		changed.KVs = append(changed.KVs, kv)
	}
	return changed
}
