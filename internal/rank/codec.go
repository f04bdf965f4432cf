package rank

import (
	"google.golang.org/protobuf/proto"

	"github.com/hyssoprelay/hyssoprelay/internal/rank/naming"
	"github.com/hyssoprelay/hyssoprelay/internal/rank/rankpb"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

func refProto(r naming.Ref) *rankpb.Ref {
	return &rankpb.Ref{Version: r.Version, Digest: r.Digest}
}

func refFrom(p *rankpb.Ref) naming.Ref {
	return naming.Ref{Version: p.GetVersion(), Digest: p.GetDigest()}
}

func nameProto(n naming.Name) *rankpb.Name {
	return &rankpb.Name{Token: n.Token, Step: n.Step, Map: refProto(n.Map)}
}

func nameFrom(p *rankpb.Name) naming.Name {
	return naming.Name{Token: p.GetToken(), Step: p.GetStep(), Map: refFrom(p.GetMap())}
}

func stateProto(s naming.State) *rankpb.State {
	p := &rankpb.State{
		Member: uint32(s.Member), Incarnation: s.Incarnation, Number: s.Number, Fence: s.Fence,
		Joined: s.Joined, Orphan: s.Orphan, Begun: s.Begun, Granted: s.Granted,
		Pending: nameProto(s.Pending),
	}
	for _, e := range s.Schedule {
		p.Schedule = append(p.Schedule, &rankpb.Entry{From: e.From, Map: refProto(e.Map)})
	}
	for _, r := range s.Staged {
		p.Staged = append(p.Staged, refProto(r))
	}
	return p
}

func stateFrom(p *rankpb.State) naming.State {
	s := naming.State{
		Member: int(p.GetMember()), Incarnation: p.GetIncarnation(), Number: p.GetNumber(), Fence: p.GetFence(),
		Joined: p.GetJoined(), Orphan: p.GetOrphan(), Begun: p.GetBegun(), Granted: p.GetGranted(),
		Pending: nameFrom(p.GetPending()),
	}
	for _, e := range p.GetSchedule() {
		s.Schedule = append(s.Schedule, naming.Entry{From: e.GetFrom(), Map: refFrom(e.GetMap())})
	}
	for _, r := range p.GetStaged() {
		s.Staged = append(s.Staged, refFrom(r))
	}
	return s
}

// EncodeRecord returns the record as it is kept in the key-value service.
func EncodeRecord(r naming.Record) ([]byte, error) {
	return proto.Marshal(&rankpb.Record{Token: r.Token, Name: nameProto(r.Name)})
}

// DecodeRecord reads what EncodeRecord wrote. It returns a MalformedMsg result
// for anything else.
func DecodeRecord(b []byte) (naming.Record, error) {
	var p rankpb.Record
	if err := proto.Unmarshal(b, &p); err != nil {
		return naming.Record{}, result.Newf(result.MalformedMsg, "group record: %v", err)
	}
	return naming.Record{Token: p.GetToken(), Name: nameFrom(p.GetName())}, nil
}
