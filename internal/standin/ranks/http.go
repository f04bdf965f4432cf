package ranks

import (
	"net/http"

	"github.com/hyssoprelay/hyssoprelay/internal/endpoint"
	"github.com/hyssoprelay/hyssoprelay/internal/rank/expertmap"
	"github.com/hyssoprelay/hyssoprelay/internal/rank/naming"
	"github.com/hyssoprelay/hyssoprelay/internal/standin"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// Handle makes the endpoint's ranks take their orders over HTTP on mux.
func (e *Engine) Handle(mux *http.ServeMux) {
	handle := func(pattern string, serve http.HandlerFunc) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
			standin.EchoRequestID(w, r)
			serve(w, r)
		})
	}
	handle("POST "+endpoint.PathRanksStage, e.serveStage)
	handle("POST "+endpoint.PathRanksActivate, e.serveActivate)
	handle("POST "+endpoint.PathRanksAllow, e.serveAllow)
	handle("GET "+endpoint.PathRanksState, e.serveState)
	handle("GET "+endpoint.PathRanksCounts, e.serveCounts)
}

func (e *Engine) serveStage(w http.ResponseWriter, r *http.Request) {
	var o endpoint.RanksStage
	if !standin.ReadJSON(w, r, &o) {
		return
	}
	m, err := mapFrom(o)
	if err == nil {
		err = e.Stage(r.Context(), m, 0)
	}
	answer(w, err)
}

// mapFrom reads a map and checks that it is the one that the order names.
func mapFrom(o endpoint.RanksStage) (*expertmap.Map, error) {
	var layers []*expertmap.Layer
	for _, p := range o.Layers {
		if len(p.Expert) != len(p.Share) {
			return nil, result.New(result.MalformedOrder, "experts and shares")
		}
		slots := make([]expertmap.Slot, len(p.Expert))
		for i, expert := range p.Expert {
			slots[i] = expertmap.Slot{Expert: expert, Share: p.Share[i]}
		}
		shape := expertmap.Shape{Ranks: p.Ranks, Slots: p.Slots, Experts: p.Experts}
		l, err := expertmap.NewLayer(shape, slots)
		if err != nil {
			return nil, err
		}
		layers = append(layers, l)
	}
	m, err := expertmap.NewMap(o.Map.Version, layers)
	if err != nil {
		return nil, err
	}
	if naming.RefOf(m) != naming.Ref(o.Map) {
		return nil, result.New(result.MalformedOrder, "the digest is another map's")
	}
	return m, nil
}

func (e *Engine) serveActivate(w http.ResponseWriter, r *http.Request) {
	var o endpoint.RanksActivate
	if !standin.ReadJSON(w, r, &o) {
		return
	}
	entry := naming.ScheduleEntry{FirstStep: o.Entry.From, Map: naming.Ref(o.Entry.Map)}
	answer(w, e.Activate(r.Context(), entry, o.Restart, 0))
}

func (e *Engine) serveAllow(w http.ResponseWriter, r *http.Request) {
	var o endpoint.RanksAllow
	if !standin.ReadJSON(w, r, &o) {
		return
	}
	answer(w, e.SetStepLimit(r.Context(), o.Step, 0))
}

func (e *Engine) serveState(w http.ResponseWriter, r *http.Request) {
	s, err := e.State(r.Context())
	if err != nil {
		answer(w, err)
		return
	}
	out := endpoint.RanksState{Incarnation: s.Incarnation, Begun: s.LastStep, Allowed: s.StepLimit}
	for _, m := range s.Staged {
		out.Staged = append(out.Staged, endpoint.RanksRef(m))
	}
	for _, entry := range s.Schedule {
		out.Schedule = append(out.Schedule, endpoint.RanksEntry{From: entry.FirstStep, Map: endpoint.RanksRef(entry.Map)})
	}
	standin.WriteJSON(w, http.StatusOK, out)
}

func (e *Engine) serveCounts(w http.ResponseWriter, r *http.Request) {
	counts, err := e.Counts(r.Context())
	if err != nil {
		answer(w, err)
		return
	}
	out := make([]endpoint.RanksCount, len(counts))
	for i, c := range counts {
		out[i] = endpoint.RanksCount(c)
	}
	standin.WriteJSON(w, http.StatusOK, out)
}

func answer(w http.ResponseWriter, err error) {
	status := http.StatusNoContent
	switch e := result.Of(err); {
	case err == nil:
		w.WriteHeader(status)
		return
	case e != nil && e.Code() == result.MapMissing:
		status = http.StatusConflict
	case e != nil && e.Code() == result.EndpointDown:
		status = http.StatusServiceUnavailable
	default:
		status = http.StatusBadRequest
	}
	standin.WriteJSON(w, status, map[string]string{"error": err.Error()})
}
