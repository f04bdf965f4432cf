package capacity

import (
	"context"
	"errors"
	"fmt"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"github.com/hyssoprelay/hyssoprelay/internal/peer"
	"github.com/hyssoprelay/hyssoprelay/internal/peer/peerpb"
	"github.com/hyssoprelay/hyssoprelay/internal/peer/spread"
	"github.com/hyssoprelay/hyssoprelay/internal/platform/config"
	"github.com/hyssoprelay/hyssoprelay/internal/timeline"
)

var errCut = errors.New("capacity: the network is cut")

// mesh is a number of stores that exchange with each other by direct calls, so
// that bytes and rounds can be counted. Only stores, the exchange and the
// choice of peers are in it; nothing stands for time or for load.
type mesh struct {
	nodes    []*meshNode
	byName   map[string]*meshNode
	cut      map[string]bool // data centres that are cut off from all others
	dead     map[string]bool // entries that answer nothing
	messages int
	bytes    int
}

// meshNode is one entry of a mesh.
type meshNode struct {
	self    spread.Node
	table   spread.Table
	store   config.Store
	clock   timeline.Clock
	service peer.Service
	changed chan struct{}
}

// newMesh returns n entries in turn over the data centres. All know of each
// other and begin with the head.
func newMesh(n, dataCentres int, h config.Head, parts ...[]byte) *mesh {
	m := &mesh{byName: map[string]*meshNode{}, cut: map[string]bool{}, dead: map[string]bool{}}
	var all []spread.Node
	for i := range n {
		dc := fmt.Sprintf("dc-%d", i%dataCentres)
		all = append(all, spread.Node{Name: fmt.Sprintf("entry-%d", i), DataCentre: dc})
	}
	for i, self := range all {
		e := &meshNode{self: self}
		e.table = spread.Table{Self: self, Seed: 1}
		others := append(append([]spread.Node(nil), all[:i]...), all[i+1:]...)
		e.table.Set(others)
		e.store.Merge(h, parts...)
		e.service = peer.Service{Clock: &e.clock, Store: &e.store, Now: meshNow}
		e.changed = e.store.Subscribe()
		e.learnt()
		m.nodes = append(m.nodes, e)
		m.byName[self.Name] = e
	}
	return m
}

func meshNow() time.Time { return time.UnixMicro(1) }

// learnt reports whether the entry has learnt something since the last call.
func (e *meshNode) learnt() bool {
	select {
	case <-e.changed:
		return true
	default:
		return false
	}
}

// rumours lets each entry that has learnt something tell others, once.
func (m *mesh) rumours(ctx context.Context) {
	var tell []*meshNode
	for _, e := range m.nodes {
		if e.learnt() && !m.dead[e.self.Name] {
			tell = append(tell, e)
		}
	}
	for _, e := range tell {
		for _, to := range e.table.RumourTargets() {
			m.exchange(ctx, e, to)
		}
	}
}

// turns lets each entry take its periodic turn.
func (m *mesh) turns(ctx context.Context) {
	for _, e := range m.nodes {
		if to, ok := e.table.NextExchange(); ok && !m.dead[e.self.Name] {
			m.exchange(ctx, e, to)
		}
	}
}

func (m *mesh) exchange(ctx context.Context, e *meshNode, to spread.Node) {
	c := &meshClient{mesh: m, from: e, to: m.byName[to.Name]}
	err := peer.SyncConfig(ctx, c, &e.store, &e.clock, meshNow)
	e.table.RecordResponse(to.Name, err == nil)
}

// knowing returns how many entries have at least the generation.
func (m *mesh) knowing(generation uint64) int {
	n := 0
	for _, e := range m.nodes {
		if e.store.Current().Head().Generation() >= generation {
			n++
		}
	}
	return n
}

// readers returns how many entries of the data centre read the platform.
func (m *mesh) readers(dc string) int {
	n := 0
	for _, e := range m.nodes {
		if e.self.DataCentre == dc && !m.dead[e.self.Name] && e.table.IsReader() {
			n++
		}
	}
	return n
}

// meshClient is the peerpb.PeerClient of one entry towards another.
type meshClient struct {
	peerpb.PeerClient
	mesh     *mesh
	from, to *meshNode
}

// Sync implements peerpb.PeerClient.
func (c *meshClient) Sync(ctx context.Context, r *peerpb.SyncRequest, _ ...grpc.CallOption) (*peerpb.SyncReply, error) {
	a, b := c.from.self.DataCentre, c.to.self.DataCentre
	if c.mesh.dead[c.to.self.Name] || a != b && (c.mesh.cut[a] || c.mesh.cut[b]) {
		return nil, errCut
	}
	reply, err := c.to.service.Sync(ctx, r)
	if err != nil {
		return nil, err
	}
	c.mesh.messages += 2
	c.mesh.bytes += proto.Size(r) + proto.Size(reply)
	return reply, nil
}

// headOf returns a document after a number of changes, and its only part. It
// has outOfService targets out of service.
func headOf(changes, outOfService int) (config.Head, []byte) {
	var h config.Head
	body := []byte("[preset]\nname = ordinary\n")
	for i := range changes {
		h = after(h, i, change(i, outOfService, body))
	}
	return h, body
}

func change(i, outOfService int, body []byte) config.Change {
	switch {
	case i == 0:
		return config.PutPreset{Name: "ordinary", Body: body}
	case i <= outOfService:
		return config.TakeOutOfService{Target: config.Endpoint(fmt.Sprintf("endpoint-%d", i))}
	default:
		return config.SwitchPreset{Name: "ordinary"}
	}
}

// after returns the head after one more change, with ids of the length that
// the command line makes.
func after(h config.Head, i int, c config.Change) config.Head {
	o := config.Order{ChangeID: fmt.Sprintf("%032x", uint64(i)*0x9e3779b97f4a7c15), By: "operator", Change: c}
	n, err := config.Apply(h, o, time.UnixMicro(int64(i)))
	if err != nil {
		panic(err)
	}
	return n
}
