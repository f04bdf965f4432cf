package entry

import (
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/platform/config"
)

const viewPreset = `[preset]
name = ordinary
queueLength = 10
retryBudgetPercent = 10
[dataCentre a]
[account one]
keyHash = 00000000000000000000000000000000000000000000000000000000000000aa
ratePerSecond = 1
burst = 1
concurrency = 1
weight = 1
worth = 1
[model small]
endpoints = *
coldStartConcurrency = 1
concurrency = 1
rampStep = 1
rampCompletions = 1
defaultDeadline = 1s
maxOutputTokens = 10
`

func viewAfter(t *testing.T, s *config.Store, last *view, id string, c config.Change, parts ...[]byte) *view {
	t.Helper()
	o := config.Order{ChangeID: id, By: "operator", Change: c}
	h, err := config.Apply(s.Current().Head(), o, time.UnixMicro(1))
	if err != nil {
		t.Fatal(err)
	}
	s.Merge(h, parts...)
	v, faults := newView(s.Current(), last)
	if len(faults) > 0 || v == nil {
		t.Fatalf("no view: %v", faults)
	}
	return v
}

// An operator takes an endpoint out while the preset stays. The order must be
// in the next view, though the preset is not read again; a new text for the
// preset must be read, or callers keep the old limits.
func TestPresetIsReadOnce(t *testing.T) {
	s := &config.Store{}
	first := viewAfter(t, s, nil, "1", config.PutPreset{Name: "ordinary", Body: []byte(viewPreset)}, []byte(viewPreset))
	out := viewAfter(t, s, first, "2", config.TakeOutOfService{Target: config.Endpoint("e")})
	if out.preset != first.preset {
		t.Error("the preset was read again")
	}
	if len(out.endpoints) != 1 || out.generation != 2 {
		t.Errorf("endpoints %v, generation %d", out.endpoints, out.generation)
	}
	other := []byte(viewPreset + "\n[dataCentre b]\n")
	changed := viewAfter(t, s, out, "3", config.PutPreset{Name: "ordinary", Body: other}, other)
	if len(changed.preset.DataCentres()) != 2 {
		t.Error("the new text was not read")
	}
}
