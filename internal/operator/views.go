package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/peer/peerpb"
	"github.com/hyssoprelay/hyssoprelay/internal/platform/config"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// gatherTimeout bounds how long status and time line wait for other
// processes. One that is cut off must not keep operators from the rest.
const gatherTimeout = 2 * time.Second

// maxEvents bounds the events of one answer: 20,000 are about 4 MB of JSON,
// some seconds of a busy system. All events of all processes would take more
// memory than an entry VM has for operators; who looks for older ones selects
// by request, endpoint, data centre, kind or time.
const maxEvents = 20_000

func (s *Server) listPresets(*http.Request) (any, error) {
	h := s.Configuration.Current().Head()
	list := PresetList{Generation: h.Generation(), Presets: []PresetView{}}
	inForce, _ := h.InForce()
	list.InForce = inForce.Name()
	for _, p := range h.Presets() {
		list.Presets = append(list.Presets, presetView(p, inForce))
	}
	return list, nil
}

func presetView(p, inForce config.Preset) PresetView {
	return PresetView{Name: p.Name(), Digest: p.Digest(), Since: p.Since(), InForce: p.Name() == inForce.Name()}
}

func (s *Server) showPreset(r *http.Request) (any, error) {
	name, err := pathName(r)
	if err != nil {
		return nil, err
	}
	if v, ok := s.presetText(name); ok {
		return v, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), submitTimeout)
	defer cancel()
	err = s.Configuration.Refresh(ctx, s.Now())
	if v, ok := s.presetText(name); ok {
		return v, nil
	}
	if _, ok := s.Configuration.Current().Head().Preset(name); ok || err != nil {
		return nil, result.Newf(result.PlatformRefused, "the text of preset %s is not known here", name)
	}
	return nil, result.New(result.UnknownPreset, name)
}

func (s *Server) presetText(name string) (PresetView, bool) {
	c := s.Configuration.Current()
	p, ok := c.Head().Preset(name)
	if !ok {
		return PresetView{}, false
	}
	body, ok := c.Part(p.Digest())
	inForce, _ := c.Head().InForce()
	v := presetView(p, inForce)
	v.Text = string(body)
	return v, ok
}

func (s *Server) status(*http.Request) (any, error) {
	c := s.Configuration.Current()
	inForce, _ := c.Head().InForce()
	reply := StatusReply{
		Generation: c.Head().Generation(),
		InForce:    inForce.Name(),
		Out:        outViews(c),
		Processes:  []ProcessView{},
		Silent:     []string{},
	}
	if s.Status == nil {
		return reply, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), gatherTimeout)
	defer cancel()
	replies, silent := s.Status.Status(ctx)
	for _, p := range replies {
		reply.Processes = append(reply.Processes, processView(p))
	}
	sort.Slice(reply.Processes, func(i, j int) bool {
		a, b := reply.Processes[i], reply.Processes[j]
		return a.DataCentre < b.DataCentre || (a.DataCentre == b.DataCentre && a.Process < b.Process)
	})
	reply.Silent = append(reply.Silent, silent...)
	return reply, nil
}

func outViews(c *config.Snapshot) []OutView {
	list := []OutView{}
	for _, o := range c.Head().OutOfService() {
		list = append(list, OutView{
			Kind: o.Target().Kind().String(), Name: o.Target().Name(), By: o.By(),
			AtMicros: o.At().UnixMicro(), Generation: o.Dot().Generation(),
		})
	}
	for _, h := range c.Holds() {
		if h.Released() {
			continue
		}
		list = append(list, OutView{
			Kind: h.Target().Kind().String(), Name: h.Target().Name(), By: h.By(),
			AtMicros: h.At().UnixMicro(), Held: true,
		})
	}
	return list
}

func processView(p *peerpb.StatusReply) ProcessView {
	v := ProcessView{
		Process:           p.GetProcess(),
		Role:              p.GetRole(),
		DataCentre:        p.GetDataCentre(),
		Preset:            p.GetPreset(),
		Generation:        p.GetGeneration(),
		Leaving:           p.GetLeaving(),
		PlatformReachable: p.GetPlatformReachable(),
	}
	if k := p.GetRanks(); k != nil {
		v.Ranks = &RankView{Group: k.GetGroup(), MapVersion: k.GetMapVersion(), Leads: k.GetLeads()}
	}
	for _, e := range p.GetEndpoints() {
		v.Endpoints = append(v.Endpoints, endpointView(e))
	}
	for _, a := range p.GetAccounts() {
		v.Accounts = append(v.Accounts, AccountView{Name: a.GetName(), Open: a.GetOpen(), Limit: a.GetLimit()})
	}
	return v
}

func endpointView(e *peerpb.LoadReport) EndpointView {
	return EndpointView{
		Name:            e.GetEndpoint(),
		DataCentre:      e.GetDataCentre(),
		Routes:          e.GetRoutes(),
		Capacity:        e.GetCapacity(),
		Allowance:       e.GetAllowance(),
		Running:         e.GetRunning(),
		CommittedTokens: e.GetCommittedTokens(),
		Cold:            e.GetCold(),
		Leaving:         e.GetLeaving(),
		OutOfService:    e.GetOutOfService(),
		Generation:      e.GetGeneration(),
	}
}

func (s *Server) timeline(r *http.Request) (any, error) {
	q := r.URL.Query()
	req := &peerpb.TimelineRequest{
		RequestId:  q.Get("requestId"),
		Endpoint:   q.Get("endpoint"),
		DataCentre: q.Get("dataCentre"),
		Kind:       q.Get("kind"),
	}
	if t := q.Get("sinceMicros"); t != "" {
		n, err := strconv.ParseInt(t, 10, 64)
		if err != nil || n < 0 {
			return nil, result.New(result.MalformedOrder, "sinceMicros: microseconds since 1970 are allowed")
		}
		req.SinceUnixMicros = n
	}
	reply := TimelineReply{Events: []EventView{}, Silent: []string{}}
	if s.Timeline == nil {
		return reply, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), gatherTimeout)
	defer cancel()
	events, silent := s.Timeline.Timeline(ctx, req)
	reply.Events = eventViews(events)
	if n := len(reply.Events) - maxEvents; n > 0 {
		reply.Omitted = n
		reply.Events = reply.Events[n:]
	}
	reply.Silent = append(reply.Silent, silent...)
	return reply, nil
}

// eventViews returns the events in causal order.
func eventViews(events []*peerpb.TimelineEvent) []EventView {
	list := make([]EventView, len(events))
	for i, e := range events {
		list[i] = EventView{
			Stamp: e.GetHlc(), Process: e.GetProcess(), DataCentre: e.GetDataCentre(), Kind: e.GetKind(),
			RequestID: e.GetRequestId(), Endpoint: e.GetEndpoint(), Detail: e.GetDetail(), Number: e.GetNumber(),
		}
	}
	SortEvents(list)
	return list
}

// SortEvents puts events into causal order: by stamp, and events that don't
// depend on each other by process.
func SortEvents(list []EventView) {
	sort.SliceStable(list, func(i, j int) bool {
		if list[i].Stamp != list[j].Stamp {
			return list[i].Stamp < list[j].Stamp
		}
		return list[i].Process < list[j].Process
	})
}

func (s *Server) metrics(*http.Request) (any, error) {
	all, err := json.Marshal(s.Metrics.GetAll())
	if err != nil {
		return nil, err
	}
	return json.RawMessage(all), nil
}
