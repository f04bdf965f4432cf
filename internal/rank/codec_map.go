package rank

import (
	"google.golang.org/protobuf/proto"

	"github.com/hyssoprelay/hyssoprelay/internal/rank/expertmap"
	"github.com/hyssoprelay/hyssoprelay/internal/rank/naming"
	"github.com/hyssoprelay/hyssoprelay/internal/rank/rankpb"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// mapToProto returns the wire form of a map. Layers that have the same experts
// in the same slots as those of base are sent without them. base may be nil.
func mapToProto(m, base *expertmap.Map) *rankpb.Map {
	p := &rankpb.Map{Version: m.Version()}
	if base != nil {
		p.Base = refToProto(naming.RefOf(base))
	}
	for i := range m.Layers() {
		l := m.Layer(i)
		samePlacement := base != nil && i < base.Layers() && l.SamePlacement(base.Layer(i))
		p.Layers = append(p.Layers, layerToProto(l, samePlacement))
	}
	return p
}

func layerToProto(l *expertmap.Layer, samePlacement bool) *rankpb.Layer {
	shape := l.Shape()
	p := &rankpb.Layer{
		Ranks: uint32(shape.Ranks), Slots: uint32(shape.Slots), Experts: uint32(shape.Experts),
	}
	for _, s := range l.Slots() {
		if !samePlacement {
			p.Expert = append(p.Expert, uint32(s.Expert+1))
		}
		p.Share = append(p.Share, uint32(s.Share))
	}
	return p
}

// maxLayerDimension limits each dimension of a layer received from a peer, so
// that a malformed message cannot cause an unbounded allocation.
const maxLayerDimension = 1 << 14

// mapFromProto decodes a map. base is the map that p refers to as its base, or
// nil.
func mapFromProto(p *rankpb.Map, base *expertmap.Map) (*expertmap.Map, error) {
	layers := make([]*expertmap.Layer, 0, len(p.GetLayers()))
	for i, l := range p.GetLayers() {
		var baseLayer *expertmap.Layer
		if base != nil && i < base.Layers() {
			baseLayer = base.Layer(i)
		}
		layer, err := layerFromProto(l, baseLayer)
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

func layerFromProto(p *rankpb.Layer, base *expertmap.Layer) (*expertmap.Layer, error) {
	shape := expertmap.Shape{Ranks: int(p.GetRanks()), Slots: int(p.GetSlots()), Experts: int(p.GetExperts())}
	if max(shape.Ranks, shape.Slots, shape.Experts) > maxLayerDimension {
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
	case len(p.GetExpert()) == 0 && base != nil && base.Shape() == shape && len(base.Slots()) == len(slots):
		for i, s := range base.Slots() {
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

// MapBytes returns the size in bytes of the wire form of m for a member that
// has the map base, or for one that has none if base is nil.
func MapBytes(m, base *expertmap.Map) int { return proto.Size(mapToProto(m, base)) }
