package rank

import (
	"github.com/hyssoprelay/hyssoprelay/internal/rank/expertmap"
	"github.com/hyssoprelay/hyssoprelay/internal/rank/naming"
	"github.com/hyssoprelay/hyssoprelay/internal/rank/rankpb"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// orderToProto returns the wire form of an order. It contains only the
// reference of a map to stage; the member fetches the map from the members
// listed in from.
func orderToProto(group string, o naming.Order, from []uint32) *rankpb.GiveRequest {
	p := &rankpb.GiveRequest{Group: group}
	switch o := o.(type) {
	case naming.Query:
		p.Token, p.Incarnation = o.Token, o.Incarnation
		p.Order = &rankpb.GiveRequest_Query{Query: &rankpb.Query{}}
	case naming.Stage:
		p.Token, p.Incarnation = o.Token, o.Incarnation
		p.Order = &rankpb.GiveRequest_Stage{Stage: &rankpb.Stage{Map: refToProto(naming.RefOf(o.Map)), From: from}}
	case naming.Hold:
		p.Token, p.Incarnation = o.Token, o.Incarnation
		p.Order = &rankpb.GiveRequest_Hold{Hold: &rankpb.Hold{Name: activationToProto(o.Activation), View: o.View}}
	case naming.Release:
		p.Token, p.Incarnation = o.Token, o.Incarnation
		p.Order = &rankpb.GiveRequest_Release{Release: &rankpb.Release{Name: activationToProto(o.Activation), View: o.View}}
	case naming.Abandon:
		p.Token, p.Incarnation = o.Token, o.Incarnation
		p.Order = &rankpb.GiveRequest_Abandon{Abandon: &rankpb.Abandon{Name: activationToProto(o.Activation)}}
	}
	return p
}

// orderFromProto decodes an order. staged is the map of a Stage order.
func orderFromProto(p *rankpb.GiveRequest, staged *expertmap.Map) (naming.Order, error) {
	header := naming.OrderHeader{Token: p.GetToken(), Incarnation: p.GetIncarnation()}
	switch o := p.GetOrder().(type) {
	case *rankpb.GiveRequest_Query:
		return naming.Query{OrderHeader: header}, nil
	case *rankpb.GiveRequest_Stage:
		return naming.Stage{OrderHeader: header, Map: staged}, nil
	case *rankpb.GiveRequest_Hold:
		return naming.Hold{OrderHeader: header, Activation: activationFromProto(o.Hold.GetName()), View: o.Hold.GetView()}, nil
	case *rankpb.GiveRequest_Release:
		return naming.Release{OrderHeader: header, Activation: activationFromProto(o.Release.GetName()), View: o.Release.GetView()}, nil
	case *rankpb.GiveRequest_Abandon:
		return naming.Abandon{OrderHeader: header, Activation: activationFromProto(o.Abandon.GetName())}, nil
	default:
		return nil, result.Newf(result.MalformedMsg, "order %T", o)
	}
}
