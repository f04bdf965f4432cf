package rank

import (
	"google.golang.org/protobuf/proto"

	"github.com/hyssoprelay/hyssoprelay/internal/rank/naming"
	"github.com/hyssoprelay/hyssoprelay/internal/rank/rankpb"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

func refToProto(r naming.Ref) *rankpb.Ref {
	return &rankpb.Ref{Version: r.Version, Digest: r.Digest}
}

func refFromProto(p *rankpb.Ref) naming.Ref {
	return naming.Ref{Version: p.GetVersion(), Digest: p.GetDigest()}
}

func activationToProto(a naming.Activation) *rankpb.Name {
	return &rankpb.Name{Token: a.Token, Step: a.Step, Map: refToProto(a.Map)}
}

func activationFromProto(p *rankpb.Name) naming.Activation {
	return naming.Activation{Token: p.GetToken(), Step: p.GetStep(), Map: refFromProto(p.GetMap())}
}

func stateToProto(s naming.State) *rankpb.State {
	p := &rankpb.State{
		Member: uint32(s.Member), Incarnation: s.Incarnation, Number: s.Sequence, Fence: s.MaxToken,
		Joined: s.Joined, Orphan: s.NoPeerJoined, Begun: s.LastStep, Granted: s.StepLimit,
		Pending: activationToProto(s.Pending),
	}
	for _, e := range s.Schedule {
		p.Schedule = append(p.Schedule, &rankpb.Entry{From: e.FirstStep, Map: refToProto(e.Map)})
	}
	for _, r := range s.Staged {
		p.Staged = append(p.Staged, refToProto(r))
	}
	return p
}

func stateFromProto(p *rankpb.State) naming.State {
	s := naming.State{
		Member: int(p.GetMember()), Incarnation: p.GetIncarnation(), Sequence: p.GetNumber(), MaxToken: p.GetFence(),
		Joined: p.GetJoined(), NoPeerJoined: p.GetOrphan(), LastStep: p.GetBegun(), StepLimit: p.GetGranted(),
		Pending: activationFromProto(p.GetPending()),
	}
	for _, e := range p.GetSchedule() {
		s.Schedule = append(s.Schedule, naming.ScheduleEntry{FirstStep: e.GetFrom(), Map: refFromProto(e.GetMap())})
	}
	for _, r := range p.GetStaged() {
		s.Staged = append(s.Staged, refFromProto(r))
	}
	return s
}

// EncodeRecord returns the encoding of a record in the key-value service.
func EncodeRecord(r naming.Record) ([]byte, error) {
	return proto.Marshal(&rankpb.Record{Token: r.Token, Name: activationToProto(r.Activation)})
}

// DecodeRecord decodes the output of EncodeRecord. It returns a MalformedMsg
// result for any other input.
func DecodeRecord(b []byte) (naming.Record, error) {
	var p rankpb.Record
	if err := proto.Unmarshal(b, &p); err != nil {
		return naming.Record{}, result.Newf(result.MalformedMsg, "group record: %v", err)
	}
	return naming.Record{Token: p.GetToken(), Activation: activationFromProto(p.GetName())}, nil
}
