package operator

import (
	"context"
	"net/http"
	"reflect"
	"testing"

	"github.com/rcrowley/go-metrics"

	"github.com/hyssoprelay/hyssoprelay/internal/peer/peerpb"
	"github.com/hyssoprelay/hyssoprelay/internal/settings"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// parts are fakes of what an entry gathers from other processes.
type parts struct {
	released []Release
	err      error
}

func (p *parts) List(_ context.Context, account, key string) ([]Claim, error) {
	return []Claim{{Route: "print-orders", Account: account, Key: key, State: "unsettled", RestMillis: 500}}, p.err
}

func (p *parts) Release(_ context.Context, r Release) error {
	p.released = append(p.released, r)
	return p.err
}

func (p *parts) Status(context.Context) ([]*peerpb.StatusReply, []string) {
	return []*peerpb.StatusReply{
		{Process: "e2", DataCentre: "b", Role: "entry"},
		{Process: "e1", DataCentre: "b", Role: "entry", Accounts: []*peerpb.AccountStatus{{Name: "desk", Open: 1, Limit: 4}}},
		{Process: "a1", DataCentre: "a", Role: "agent", Endpoints: []*peerpb.LoadReport{{Endpoint: "x", Running: 3, Allowance: 4, Cold: true}}},
	}, []string{"a2"}
}

func newPartsAPI(t *testing.T, p *parts) *api {
	t.Helper()
	s := &Server{
		Token: &settings.Token{Fixed: token}, Configuration: offline{}, Claims: p, Status: p,
		Metrics: metrics.NewRegistry(), Now: newServer(nil).Now, Log: quiet(),
	}
	return &api{t: t, h: s.Handler()}
}

func TestStatusIsSorted(t *testing.T) {
	var got StatusReply
	newPartsAPI(t, &parts{}).get("/admin/status", &got)
	want := []ProcessView{
		{Process: "a1", DataCentre: "a", Role: "agent", Endpoints: []EndpointView{{Name: "x", Running: 3, Allowance: 4, Cold: true}}},
		{Process: "e1", DataCentre: "b", Role: "entry", Accounts: []AccountView{{Name: "desk", Open: 1, Limit: 4}}},
		{Process: "e2", DataCentre: "b", Role: "entry"},
	}
	if !reflect.DeepEqual(got.Processes, want) || !reflect.DeepEqual(got.Silent, []string{"a2"}) {
		t.Errorf("%+v", got)
	}
}

// TestReleaseSaysTheOutcome: a print desk has printed a catalogue and died
// before it said so. The operator who looked says that it ran. The word must
// reach the claim as it was given, and no word is no release.
func TestReleaseSaysTheOutcome(t *testing.T) {
	const path, claim = "/admin/claims/release", `"route":"print-orders","account":"desk","key":"k1"`
	p := &parts{}
	a := newPartsAPI(t, p)
	a.do(http.MethodPost, path, `{"changeId":"c1","by":"ingrid","outcome":"ran",`+claim+`}`)
	a.do(http.MethodPost, path, `{"changeId":"c2","outcome":"notRun",`+claim+`}`)
	want := []Release{
		{Route: "print-orders", Account: "desk", Key: "k1", Ran: true, By: "ingrid"},
		{Route: "print-orders", Account: "desk", Key: "k1", By: "operator"},
	}
	for _, body := range []string{
		`{"changeId":"c3",` + claim + `}`, `{"changeId":"c3","outcome":"maybe",` + claim + `}`,
		`{"outcome":"ran",` + claim + `}`, `{"changeId":"c3","outcome":"ran","account":"desk","key":"k1"}`,
	} {
		a.refuse(http.MethodPost, path, body, result.MalformedOrder)
	}
	if !reflect.DeepEqual(p.released, want) {
		t.Errorf("%+v", p.released)
	}
	p.err = result.New(result.ClaimRunning, "").WithRetryAfter(gatherTimeout)
	e := a.refuse(http.MethodPost, path, `{"changeId":"c4","outcome":"ran",`+claim+`}`, result.ClaimRunning)
	if e.RetryAfterMillis != gatherTimeout.Milliseconds() {
		t.Errorf("%+v", e)
	}
}

func TestClaimsAndMetrics(t *testing.T) {
	a := newPartsAPI(t, &parts{})
	var list ClaimList
	a.get("/admin/claims?account=desk&key=k1", &list)
	if len(list.Claims) != 1 || list.Claims[0].Account != "desk" || list.Claims[0].Key != "k1" {
		t.Errorf("%+v", list)
	}
	a.refuse(http.MethodGet, "/admin/nothing", "", result.MalformedOrder)
	var m map[string]map[string]any
	a.get("/admin/metrics", &m)
	if m["operator.refused"]["count"] != 1.0 {
		t.Errorf("%v", m)
	}
}
