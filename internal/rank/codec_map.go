package rank

import (
	"google.golang.org/protobuf/proto"

	"github.com/hyssoprelay/hyssoprelay/internal/rank/expertmap"
	"github.com/hyssoprelay/hyssoprelay/internal/rank/naming"
	"github.com/hyssoprelay/hyssoprelay/internal/rank/rankpb"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// mapProto returns a map as it goes over the wire. Layers that have the same
// experts in the same slots as those of base are sent without them; base may be
// nil.
func mapProto(m, base *expertmap.Map) *rankpb.Map {
	p := &rankpb.Map{Version: m.Version()}
	if base != nil {
		p.Base = refProto(naming.RefOf(base))
	}
	for i := range m.Layers() {
		l := m.Layer(i)
		same := base != nil && i < base.Layers() && l.SamePlacement(base.Layer(i))
		p.Layers = append(p.Layers, layerProto(l, same))
	}
	return p
}

func layerProto(l *expertmap.Layer, same bool) *rankpb.Layer {
	shape := l.Shape()
	p := &rankpb.Layer{
		Ranks: uint32(shape.Ranks), Slots: uint32(shape.Slots), Experts: uint32(shape.Experts),
	}
	for _, s := range l.Slots() {
		if !same {
			p.Expert = append(p.Expert, uint32(s.Expert+1))
		}
		p.Share = append(p.Share, uint32(s.Share))
	}
	return p
}

// maxSide bounds the sizes of a layer that a peer may send, so that a broken
// message can't ask for unbounded memory.
const maxSide = 1 << 14

// mapFrom reads a map; base is the map that it names as its base, or nil.
func mapFrom(p *rankpb.Map, base *expertmap.Map) (*expertmap.Map, error) {
	layers := make([]*expertmap.Layer, 0, len(p.GetLayers()))
	for i, l := range p.GetLayers() {
		var like *expertmap.Layer
		if base != nil && i < base.Layers() {
			like = base.Layer(i)
		}
		layer, err := layerFrom(l, like)
		if err != nil {
			return nil, err
		}
		layers = append(layers, layer)
	}
	m, err := expertmap.NewMap(p.GetVersion(), layers)
	if err != nil {
		return nil, result.Newf(result.MalformedMsg, "map: %v", err)
	}
	return m, nil
}

func layerFrom(p *rankpb.Layer, like *expertmap.Layer) (*expertmap.Layer, error) {
	shape := expertmap.Shape{Ranks: int(p.GetRanks()), Slots: int(p.GetSlots()), Experts: int(p.GetExperts())}
	if max(shape.Ranks, shape.Slots, shape.Experts) > maxSide {
		return nil, result.New(result.MalformedMsg, "layer sizes")
	}
	slots := make([]expertmap.Slot, len(p.GetShare()))
	for i, share := range p.GetShare() {
		slots[i].Share = int(share)
	}
	switch {
	case len(p.GetExpert()) == len(slots):
		for i, e := range p.GetExpert() {
			slots[i].Expert = int(e) - 1
		}
	case len(p.GetExpert()) == 0 && like != nil && like.Shape() == shape && len(like.Slots()) == len(slots):
		for i, s := range like.Slots() {
			slots[i].Expert = s.Expert
		}
	default:
		return nil, result.New(result.MalformedMsg, "a layer without its experts")
	}
	l, err := expertmap.NewLayer(shape, slots)
	if err != nil {
		return nil, result.Newf(result.MalformedMsg, "layer: %v", err)
	}
	return l, nil
}

// MapBytes returns the size of a map as it goes over the wire to a member that
// has the map base, or nil for one that has none.
func MapBytes(m, base *expertmap.Map) int { return proto.Size(mapProto(m, base)) }
