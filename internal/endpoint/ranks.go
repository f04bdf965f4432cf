package endpoint

import (
	"context"
	"net/http"

	"github.com/hyssoprelay/hyssoprelay/internal/rank"
	"github.com/hyssoprelay/hyssoprelay/internal/rank/expertmap"
	"github.com/hyssoprelay/hyssoprelay/internal/rank/naming"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// The paths of the orders to an endpoint's ranks.
const (
	PathRanksStage    = "/v1/ranks/stage"
	PathRanksActivate = "/v1/ranks/activate"
	PathRanksAllow    = "/v1/ranks/allow"
	PathRanksState    = "/v1/ranks/state"
	PathRanksCounts   = "/v1/ranks/counts"
)

// Ranks gives the orders of package rank to the ranks of an engine. It is a
// rank.Engine over the same client as the endpoint's requests.
type Ranks struct {
	Client *Client
}

var _ rank.Engine = (*Ranks)(nil)

// RanksRef names a map. Both numbers are written as strings, because readers of
// JSON in other languages round large numbers.
type RanksRef struct {
	Version uint64 `json:"version,string"`
	Digest  uint64 `json:"digest,string"`
}

// RanksEntry says from which step a map holds.
type RanksEntry struct {
	From uint64   `json:"from"`
	Map  RanksRef `json:"map"`
}

// RanksLayer is the placement of one layer: for each slot, rank after rank, the
// expert or -1, and its share in units of 1/16384.
type RanksLayer struct {
	Ranks   int   `json:"ranks"`
	Slots   int   `json:"slots"`
	Experts int   `json:"experts"`
	Expert  []int `json:"expert"`
	Share   []int `json:"share"`
}

// RanksStage is the body of PathRanksStage.
type RanksStage struct {
	Map    RanksRef     `json:"map"`
	Layers []RanksLayer `json:"layers"`
}

// RanksActivate is the body of PathRanksActivate.
type RanksActivate struct {
	Entry   RanksEntry `json:"entry"`
	Restart bool       `json:"restart"`
}

// RanksAllow is the body of PathRanksAllow.
type RanksAllow struct {
	Step uint64 `json:"step"`
}

// RanksState is the answer to PathRanksState.
type RanksState struct {
	Incarnation uint64       `json:"incarnation,string"`
	Begun       uint64       `json:"begun"`
	Allowed     uint64       `json:"allowed"`
	Staged      []RanksRef   `json:"staged"`
	Schedule    []RanksEntry `json:"schedule"`
}

// RanksCount is the load of one expert on the endpoint's ranks.
type RanksCount struct {
	Layer  int     `json:"layer"`
	Expert int     `json:"expert"`
	Tokens float64 `json:"tokens"`
}

func ranksRef(r naming.Ref) RanksRef { return RanksRef(r) }

// Stage implements rank.Engine.
func (r *Ranks) Stage(ctx context.Context, m *expertmap.Map, fencing uint64) error {
	o := RanksStage{Map: ranksRef(naming.RefOf(m))}
	for i := range m.Layers() {
		o.Layers = append(o.Layers, ranksLayer(m.Layer(i)))
	}
	return r.Client.callControl(ctx, http.MethodPost, PathRanksStage, fencing, o, nil)
}

func ranksLayer(l *expertmap.Layer) RanksLayer {
	shape := l.Shape()
	out := RanksLayer{Ranks: shape.Ranks, Slots: shape.Slots, Experts: shape.Experts}
	for _, s := range l.Slots() {
		out.Expert = append(out.Expert, s.Expert)
		out.Share = append(out.Share, s.Share)
	}
	return out
}

// Activate implements rank.Engine.
func (r *Ranks) Activate(ctx context.Context, e naming.ScheduleEntry, restart bool, fencing uint64) error {
	o := RanksActivate{Entry: RanksEntry{From: e.FirstStep, Map: ranksRef(e.Map)}, Restart: restart}
	return r.Client.callControl(ctx, http.MethodPost, PathRanksActivate, fencing, o, nil)
}

// SetStepLimit implements rank.Engine.
func (r *Ranks) SetStepLimit(ctx context.Context, step, fencing uint64) error {
	return r.Client.callControl(ctx, http.MethodPost, PathRanksAllow, fencing, RanksAllow{Step: step}, nil)
}

// State implements rank.Engine.
func (r *Ranks) State(ctx context.Context) (naming.EngineState, error) {
	var s RanksState
	if err := r.Client.callControl(ctx, http.MethodGet, PathRanksState, 0, nil, &s); err != nil {
		return naming.EngineState{}, err
	}
	if s.Incarnation == 0 {
		return naming.EngineState{}, result.New(result.EndpointFailed, "the ranks' incarnation is missing")
	}
	out := naming.EngineState{Incarnation: s.Incarnation, LastStep: s.Begun, StepLimit: s.Allowed}
	for _, m := range s.Staged {
		out.Staged = append(out.Staged, naming.Ref(m))
	}
	for _, e := range s.Schedule {
		out.Schedule = append(out.Schedule, naming.ScheduleEntry{FirstStep: e.From, Map: naming.Ref(e.Map)})
	}
	return out, nil
}

// Counts implements rank.Engine.
func (r *Ranks) Counts(ctx context.Context) ([]rank.ExpertLoad, error) {
	var counts []RanksCount
	if err := r.Client.callControl(ctx, http.MethodGet, PathRanksCounts, 0, nil, &counts); err != nil {
		return nil, err
	}
	out := make([]rank.ExpertLoad, len(counts))
	for i, c := range counts {
		out[i] = rank.ExpertLoad(c)
	}
	return out, nil
}
