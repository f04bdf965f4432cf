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

// dial creates a client connection for each peer. Connections are opened on the
// first call.
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
			r.closeConns()
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

func (r *Runner) closeConns() {
	for _, c := range r.conns {
		if c != nil {
			_ = c.Close()
		}
	}
}

func (r *Runner) peerClient(i int) (rankpb.RankClient, error) {
	if i < 0 || i >= len(r.conns) || r.conns[i] == nil {
		return nil, result.Newf(result.PeerUnknown, "member %d", i)
	}
	return rankpb.NewRankClient(r.conns[i]), nil
}

// sendOrder sends an order of the leader on this agent to a member and returns
// the member's state after it.
func (r *Runner) sendOrder(ctx context.Context, to int, o naming.Order) (naming.State, error) {
	p, err := r.peerClient(to)
	if err != nil {
		return naming.State{}, err
	}
	reply, err := p.Give(ctx, orderToProto(r.Group, o, r.fetchSource(to)))
	if err != nil {
		return naming.State{}, eris.Wrapf(err, "send order to member %d", to)
	}
	if reply.GetState() == nil {
		return naming.State{}, result.New(result.Code(reply.GetCode()), reply.GetDetail())
	}
	return stateFromProto(reply.GetState()), nil
}

// fetchFanOut is how many members fetch a map from one member. With two, a map
// of 60 KB costs no agent more than twice its size, even in a group of 128, and
// reaches the last member after seven hops.
const fetchFanOut = 2

// fetchSource returns the index of the member from which the member with index
// to fetches maps: its parent in a tree of all members whose root is this
// agent. It returns nil for this agent.
func (r *Runner) fetchSource(to int) []uint32 {
	n := len(r.Peers)
	position := (to - r.Index + n) % n
	if position == 0 {
		return nil
	}
	parent := (position - 1) / fetchFanOut
	return []uint32{uint32((parent + r.Index) % n)}
}

func (r *Runner) fetchMap(ctx context.Context, from int, ref naming.Ref) (*expertmap.Map, error) {
	p, err := r.peerClient(from)
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	known := r.member.RequiredMaps()
	r.mu.Unlock()
	req := &rankpb.FetchRequest{Group: r.Group, Map: refToProto(ref)}
	for _, m := range known {
		req.Have = append(req.Have, refToProto(naming.RefOf(m)))
	}
	reply, err := p.Fetch(ctx, req)
	if err != nil {
		return nil, eris.Wrapf(err, "fetch map from member %d", from)
	}
	if reply.GetCode() != 0 {
		return nil, result.New(result.Code(reply.GetCode()), reply.GetDetail())
	}
	m, err := mapFromProto(reply.GetMap(), findBase(reply.GetMap(), known))
	if err != nil {
		return nil, err
	}
	if naming.RefOf(m) != ref {
		return nil, result.Newf(result.MalformedMsg, "member %d sent another map", from)
	}
	return m, nil
}

// findBase returns the map that p refers to as its base, or nil.
func findBase(p *rankpb.Map, known []*expertmap.Map) *expertmap.Map {
	for _, m := range known {
		if p.GetBase() != nil && naming.RefOf(m) == refFromProto(p.GetBase()) {
			return m
		}
	}
	return nil
}

func (r *Runner) requestJoin(ctx context.Context, to int, j naming.Join) (naming.JoinReply, error) {
	p, err := r.peerClient(to)
	if err != nil {
		return naming.JoinReply{}, err
	}
	reply, err := p.Join(ctx, &rankpb.JoinRequest{
		Group: r.Group, Member: uint32(j.Member), Incarnation: j.Incarnation,
	})
	if err != nil {
		return naming.JoinReply{}, eris.Wrapf(err, "send join request to member %d", to)
	}
	if reply.GetCode() != 0 {
		return naming.JoinReply{}, result.New(result.Code(reply.GetCode()), reply.GetDetail())
	}
	jr := naming.JoinReply{SenderIncarnation: reply.GetTo(), KnownIncarnation: reply.GetNoted(), State: stateFromProto(reply.GetState())}
	for _, p := range reply.GetMaps() {
		m, err := mapFromProto(p, nil)
		if err != nil {
			return naming.JoinReply{}, err
		}
		jr.Maps = append(jr.Maps, m)
	}
	return jr, nil
}

func (r *Runner) fetchCounts(ctx context.Context, from int) ([]ExpertLoad, error) {
	if from == r.Index {
		return r.Engine.Counts(ctx)
	}
	p, err := r.peerClient(from)
	if err != nil {
		return nil, err
	}
	reply, err := p.Count(ctx, &rankpb.CountRequest{Group: r.Group})
	if err != nil {
		return nil, eris.Wrapf(err, "fetch counts of member %d", from)
	}
	if reply.GetCode() != 0 {
		return nil, result.New(result.Code(reply.GetCode()), reply.GetDetail())
	}
	layers, experts := reply.GetLayers(), reply.GetExperts()
	if len(layers) != len(reply.GetCounts()) || len(experts) != len(reply.GetCounts()) {
		return nil, result.New(result.MalformedMsg, "counts of different lengths")
	}
	counts := make([]ExpertLoad, len(layers))
	for i := range counts {
		counts[i] = ExpertLoad{Layer: int(layers[i]), Expert: int(experts[i]), Tokens: float64(reply.GetCounts()[i])}
	}
	return counts, nil
}
