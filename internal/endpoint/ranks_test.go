package endpoint_test

import (
	"net/http"
	"reflect"
	"testing"

	"github.com/hyssoprelay/hyssoprelay/internal/endpoint"
	"github.com/hyssoprelay/hyssoprelay/internal/rank/expertmap"
	"github.com/hyssoprelay/hyssoprelay/internal/rank/naming"
	"github.com/hyssoprelay/hyssoprelay/internal/standin/ranks"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// TestRanksOverHTTP gives the ranks their orders over HTTP and directly; what
// they say of themselves must be the same.
func TestRanksOverHTTP(t *testing.T) {
	over, direct := &ranks.Group{Endpoints: 1}, &ranks.Group{Endpoints: 1}
	load := [][]float64{{1, 2, 3, 4}}
	over.SetLoad(load)
	direct.SetLoad(load)
	mux := http.NewServeMux()
	over.Engine(0).Handle(mux)
	r := &endpoint.Ranks{Client: client(t, serve(t, mux), nil)}
	d := direct.Engine(0)
	ctx := testContext(t)
	m := smallMap(t)
	entry := naming.ScheduleEntry{FirstStep: 3, Map: naming.RefOf(m)}

	requireCode(t, r.Activate(ctx, entry, true, 1), result.MapMissing)
	for range 2 {
		requireCode(t, r.Stage(ctx, m, 1), result.OK)
		requireCode(t, r.Activate(ctx, entry, true, 1), result.OK)
		requireCode(t, r.SetStepLimit(ctx, 5, 1), result.OK)
		requireCode(t, d.Stage(ctx, m, 1), result.OK)
		requireCode(t, d.Activate(ctx, entry, true, 1), result.OK)
		requireCode(t, d.SetStepLimit(ctx, 5, 1), result.OK)
		over.Step()
		direct.Step()
	}
	got, err := r.State(ctx)
	requireCode(t, err, result.OK)
	want, err := d.State(ctx)
	requireCode(t, err, result.OK)
	if !reflect.DeepEqual(got, want) {
		t.Errorf("state %+v, want %+v", got, want)
	}
	gotCounts, err := r.Counts(ctx)
	requireCode(t, err, result.OK)
	wantCounts, err := d.Counts(ctx)
	requireCode(t, err, result.OK)
	if !reflect.DeepEqual(gotCounts, wantCounts) {
		t.Errorf("counts %v, want %v", gotCounts, wantCounts)
	}
}

func smallMap(t *testing.T) *expertmap.Map {
	t.Helper()
	l, err := expertmap.NewContiguousLayer(expertmap.Shape{Ranks: 2, Slots: 3, Experts: 4})
	if err != nil {
		t.Fatal(err)
	}
	m, err := expertmap.NewMap(1<<60+1, []*expertmap.Layer{l})
	if err != nil {
		t.Fatal(err)
	}
	return m
}
