package rank

import (
	"context"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/hyssoprelay/hyssoprelay/internal/rank/expertmap"
	"github.com/hyssoprelay/hyssoprelay/internal/rank/naming"
	"github.com/hyssoprelay/hyssoprelay/internal/rank/rankpb"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// dial sets up a connection to each peer. None is opened before the first call.
func (r *Runner) dial() error {
	connect := r.Connect
	if connect == nil {
		connect = r.connect
	}
	r.conns = make([]*grpc.ClientConn, len(r.Peers))
	for i, addr := range r.Peers {
		if i == r.Index {
			continue
		}
		c, err := connect(addr)
		if err != nil {
			r.hangUp()
			return eris.Wrapf(err, "peer %s", addr)
		}
		r.conns[i] = c
	}
	return nil
}

func (r *Runner) connect(addr string) (*grpc.ClientConn, error) {
	creds := r.Credentials
	if creds == nil {
		creds = insecure.NewCredentials()
	}
	return grpc.NewClient("passthrough:///"+addr, grpc.WithTransportCredentials(creds))
}

func (r *Runner) hangUp() {
	for _, c := range r.conns {
		if c != nil {
			_ = c.Close()
		}
	}
}

func (r *Runner) peer(i int) (rankpb.RankClient, error) {
	if i < 0 || i >= len(r.conns) || r.conns[i] == nil {
		return nil, result.Newf(result.PeerUnknown, "member %d", i)
	}
	return rankpb.NewRankClient(r.conns[i]), nil
}

// order sends an order of this agent's leader to a member and returns the
// member's state after it.
func (r *Runner) order(ctx context.Context, to int, o naming.Order) (naming.State, error) {
	p, err := r.peer(to)
	if err != nil {
		return naming.State{}, err
	}
	reply, err := p.Give(ctx, orderProto(r.Group, o, r.source(to)))
	if err != nil {
		return naming.State{}, eris.Wrapf(err, "order to member %d", to)
	}
	if reply.GetState() == nil {
		return naming.State{}, result.New(result.Code(reply.GetCode()), reply.GetDetail())
	}
	return stateFrom(reply.GetState()), nil
}

// fanOut is how many members fetch a map from one member. With two, a map of
// 60 KB costs no agent more than twice its size, also in a group of 128, and
// reaches the last one after seven hops.
const fanOut = 2

// source returns the member from which another one fetches maps: its parent in
// a tree of all members whose root is this agent.
func (r *Runner) source(to int) []uint32 {
	n := len(r.Peers)
	place := (to - r.Index + n) % n
	if place == 0 {
		return nil
	}
	parent := (place - 1) / fanOut
	return []uint32{uint32((parent + r.Index) % n)}
}

func (r *Runner) fetch(ctx context.Context, from int, ref naming.Ref) (*expertmap.Map, error) {
	p, err := r.peer(from)
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	held := r.member.Needed()
	r.mu.Unlock()
	ask := &rankpb.FetchRequest{Group: r.Group, Map: refProto(ref)}
	for _, m := range held {
		ask.Have = append(ask.Have, refProto(naming.RefOf(m)))
	}
	reply, err := p.Fetch(ctx, ask)
	if err != nil {
		return nil, eris.Wrapf(err, "map from member %d", from)
	}
	if reply.GetCode() != 0 {
		return nil, result.New(result.Code(reply.GetCode()), reply.GetDetail())
	}
	m, err := mapFrom(reply.GetMap(), baseOf(reply.GetMap(), held))
	if err != nil {
		return nil, err
	}
	if naming.RefOf(m) != ref {
		return nil, result.Newf(result.MalformedMsg, "member %d sent another map", from)
	}
	return m, nil
}

// baseOf returns the map that p names as its base, or nil.
func baseOf(p *rankpb.Map, held []*expertmap.Map) *expertmap.Map {
	for _, m := range held {
		if p.GetBase() != nil && naming.RefOf(m) == refFrom(p.GetBase()) {
			return m
		}
	}
	return nil
}

func (r *Runner) askJoin(ctx context.Context, of int, j naming.Join) (naming.Joining, error) {
	p, err := r.peer(of)
	if err != nil {
		return naming.Joining{}, err
	}
	reply, err := p.Join(ctx, &rankpb.JoinRequest{
		Group: r.Group, Member: uint32(j.Member), Incarnation: j.Incarnation,
	})
	if err != nil {
		return naming.Joining{}, eris.Wrapf(err, "join at member %d", of)
	}
	if reply.GetCode() != 0 {
		return naming.Joining{}, result.New(result.Code(reply.GetCode()), reply.GetDetail())
	}
	a := naming.Joining{To: reply.GetTo(), Noted: reply.GetNoted(), State: stateFrom(reply.GetState())}
	for _, p := range reply.GetMaps() {
		m, err := mapFrom(p, nil)
		if err != nil {
			return naming.Joining{}, err
		}
		a.Maps = append(a.Maps, m)
	}
	return a, nil
}

func (r *Runner) count(ctx context.Context, of int) ([]Count, error) {
	if of == r.Index {
		return r.Engine.Counts(ctx)
	}
	p, err := r.peer(of)
	if err != nil {
		return nil, err
	}
	reply, err := p.Count(ctx, &rankpb.CountRequest{Group: r.Group})
	if err != nil {
		return nil, eris.Wrapf(err, "counts of member %d", of)
	}
	if reply.GetCode() != 0 {
		return nil, result.New(result.Code(reply.GetCode()), reply.GetDetail())
	}
	layers, experts := reply.GetLayers(), reply.GetExperts()
	if len(layers) != len(reply.GetCounts()) || len(experts) != len(reply.GetCounts()) {
		return nil, result.New(result.MalformedMsg, "counts of different lengths")
	}
	counts := make([]Count, len(layers))
	for i := range counts {
		counts[i] = Count{Layer: int(layers[i]), Expert: int(experts[i]), Tokens: float64(reply.GetCounts()[i])}
	}
	return counts, nil
}
