package rank

import (
	"github.com/hyssoprelay/hyssoprelay/internal/rank/expertmap"
	"github.com/hyssoprelay/hyssoprelay/internal/rank/naming"
	"github.com/hyssoprelay/hyssoprelay/internal/rank/rankpb"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// orderProto returns an order as it goes over the wire. A map to stage is named
// only; the member fetches it from the members in from.
func orderProto(group string, o naming.Order, from []uint32) *rankpb.GiveRequest {
	p := &rankpb.GiveRequest{Group: group}
	switch o := o.(type) {
	case naming.Query:
		p.Token, p.Incarnation = o.Token, o.Incarnation
		p.Order = &rankpb.GiveRequest_Query{Query: &rankpb.Query{}}
	case naming.Stage:
		p.Token, p.Incarnation = o.Token, o.Incarnation
		p.Order = &rankpb.GiveRequest_Stage{Stage: &rankpb.Stage{Map: refProto(naming.RefOf(o.Map)), From: from}}
	case naming.Hold:
		p.Token, p.Incarnation = o.Token, o.Incarnation
		p.Order = &rankpb.GiveRequest_Hold{Hold: &rankpb.Hold{Name: nameProto(o.Name), View: o.View}}
	case naming.Release:
		p.Token, p.Incarnation = o.Token, o.Incarnation
		p.Order = &rankpb.GiveRequest_Release{Release: &rankpb.Release{Name: nameProto(o.Name), View: o.View}}
	case naming.Abandon:
		p.Token, p.Incarnation = o.Token, o.Incarnation
		p.Order = &rankpb.GiveRequest_Abandon{Abandon: &rankpb.Abandon{Name: nameProto(o.Name)}}
	}
	return p
}

// orderFrom reads an order; staged is the map of a Stage.
func orderFrom(p *rankpb.GiveRequest, staged *expertmap.Map) (naming.Order, error) {
	head := naming.Head{Token: p.GetToken(), Incarnation: p.GetIncarnation()}
	switch o := p.GetOrder().(type) {
	case *rankpb.GiveRequest_Query:
		return naming.Query{Head: head}, nil
	case *rankpb.GiveRequest_Stage:
		return naming.Stage{Head: head, Map: staged}, nil
	case *rankpb.GiveRequest_Hold:
		return naming.Hold{Head: head, Name: nameFrom(o.Hold.GetName()), View: o.Hold.GetView()}, nil
	case *rankpb.GiveRequest_Release:
		return naming.Release{Head: head, Name: nameFrom(o.Release.GetName()), View: o.Release.GetView()}, nil
	case *rankpb.GiveRequest_Abandon:
		return naming.Abandon{Head: head, Name: nameFrom(o.Abandon.GetName())}, nil
	default:
		return nil, result.Newf(result.MalformedMsg, "order %T", o)
	}
}
