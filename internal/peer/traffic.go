package peer

import (
	"context"
	"path"
	"sync"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/grpc/stats"
)

// Traffic counts the messages between processes and their bytes on the wire, by direction
// and method. It implements stats.Handler. Set the exported field before the first call.
// It is safe for concurrent use.
type Traffic struct {
	// Registry receives the counters peer.sent.METHOD.messages, peer.sent.METHOD.bytes,
	// and the same of peer.received.
	Registry metrics.Registry

	mu       sync.Mutex // guards counters
	counters map[trafficKind]trafficCounters
}

// trafficKind is a direction, "sent" or "received", and a method.
type trafficKind struct{ direction, method string }

type trafficCounters struct{ messages, bytes metrics.Counter }

type methodKey struct{}

// TagRPC implements stats.Handler.
func (t *Traffic) TagRPC(ctx context.Context, info *stats.RPCTagInfo) context.Context {
	return context.WithValue(ctx, methodKey{}, path.Base(info.FullMethodName))
}

// HandleRPC implements stats.Handler.
func (t *Traffic) HandleRPC(ctx context.Context, s stats.RPCStats) {
	method, _ := ctx.Value(methodKey{}).(string)
	switch s := s.(type) {
	case *stats.OutPayload:
		t.count(trafficKind{"sent", method}, s.WireLength)
	case *stats.InPayload:
		t.count(trafficKind{"received", method}, s.WireLength)
	}
}

// TagConn implements stats.Handler.
func (t *Traffic) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler.
func (t *Traffic) HandleConn(context.Context, stats.ConnStats) {}

func (t *Traffic) count(k trafficKind, n int) {
	t.mu.Lock()
	c, ok := t.counters[k]
	if !ok {
		name := "peer." + k.direction + "." + k.method
		c = trafficCounters{
			messages: metrics.GetOrRegisterCounter(name+".messages", t.Registry),
			bytes:    metrics.GetOrRegisterCounter(name+".bytes", t.Registry),
		}
		if t.counters == nil {
			t.counters = map[trafficKind]trafficCounters{}
		}
		t.counters[k] = c
	}
	t.mu.Unlock()
	c.messages.Inc(1)
	c.bytes.Inc(int64(n))
}
