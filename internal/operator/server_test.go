package operator

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/platform/config"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

func TestPresets(t *testing.T) {
	a := newAPI(t, newDocument(t, newService(t)))
	withPresets(t, a)
	t.Run("the first is in force", func(t *testing.T) { assertInForce(t, a, ordinary) })
	a.do(http.MethodPost, "/admin/presets/"+peak+"/switch", `{"changeId":"s1"}`)
	t.Run("switched", func(t *testing.T) { assertInForce(t, a, peak) })
	t.Run("shown", func(t *testing.T) {
		var v PresetView
		a.get("/admin/presets/"+ordinary, &v)
		if v.Text != example(t, ordinary) || v.InForce {
			t.Errorf("%+v", v)
		}
	})
}

func assertInForce(t *testing.T, a *api, want string) {
	t.Helper()
	var list PresetList
	a.get("/admin/presets", &list)
	if list.InForce != want || len(list.Presets) != 2 {
		t.Errorf("in force %q, want %q, of %+v", list.InForce, want, list.Presets)
	}
}

func TestTargets(t *testing.T) {
	a := newAPI(t, newDocument(t, newService(t)))
	withPresets(t, a)
	a.do(http.MethodPost, "/admin/dataCentres/astana/out", `{"changeId":"o1","by":"aigerim"}`)
	a.do(http.MethodPost, "/admin/endpoints/almaty1-engine-1/out", `{"changeId":"o2"}`)
	assertOut(t, a, "dataCentre astana by aigerim", "endpoint almaty1-engine-1 by operator")
	a.do(http.MethodPost, "/admin/dataCentres/astana/in", `{"changeId":"i1"}`)
	assertOut(t, a, "endpoint almaty1-engine-1 by operator")
}

func assertOut(t *testing.T, a *api, want ...string) {
	t.Helper()
	var s StatusReply
	a.get("/admin/status", &s)
	var got []string
	for _, o := range s.Out {
		got = append(got, o.Kind+" "+o.Name+" by "+o.By)
	}
	if strings.Join(got, ", ") != strings.Join(want, ", ") {
		t.Errorf("out of service: %v, want %v", got, want)
	}
}

func TestRefusals(t *testing.T) {
	a := newAPI(t, newDocument(t, newService(t)))
	withPresets(t, a)
	const post, put, get = http.MethodPost, http.MethodPut, http.MethodGet
	for _, c := range []struct {
		name, method, path, body string
		want                     result.Code
	}{
		{"no such path", get, "/admin/zones", "", result.MalformedOrder},
		{"no such method", http.MethodDelete, "/admin/presets", "", result.MalformedOrder},
		{"no body", post, "/admin/presets/tazalyk-peak/switch", "", result.MalformedOrder},
		{"no JSON", post, "/admin/presets/tazalyk-peak/switch", "{", result.MalformedOrder},
		{"no change id", post, "/admin/presets/tazalyk-peak/switch", "{}", result.MalformedOrder},
		{"bad change id", post, "/admin/presets/tazalyk-peak/switch", `{"changeId":"a b"}`, result.MalformedOrder},
		{"unknown key", post, "/admin/presets/tazalyk-peak/switch", `{"changeId":"a","ifgen":1}`, result.MalformedOrder},
		{"two bodies", post, "/admin/presets/tazalyk-peak/switch", `{"changeId":"a"}{}`, result.MalformedOrder},
		{"negative generation", post, "/admin/presets/tazalyk-peak/switch", `{"changeId":"a","ifGeneration":-1}`, result.MalformedOrder},
		{"other generation", post, "/admin/presets/tazalyk-peak/switch", `{"changeId":"a","ifGeneration":9}`, result.Conflict},
		{"unknown preset", post, "/admin/presets/night/switch", `{"changeId":"a"}`, result.UnknownPreset},
		{"unknown preset shown", get, "/admin/presets/night", "", result.UnknownPreset},
		{"bad name", post, "/admin/presets/a%20b/switch", `{"changeId":"a"}`, result.MalformedOrder},
		{"unknown data centre", post, "/admin/dataCentres/oslo/out", `{"changeId":"a"}`, result.UnknownDataCentre},
		{"unknown data centre in", post, "/admin/dataCentres/oslo/in", `{"changeId":"a"}`, result.UnknownDataCentre},
		{"unknown endpoint", post, "/admin/endpoints/almaty1-printer-1/out", `{"changeId":"a"}`, result.UnknownEndpoint},
		{"neither out nor in", post, "/admin/endpoints/almaty1-engine-1/away", `{"changeId":"a"}`, result.MalformedOrder},
		{"other name in the text", put, "/admin/presets/night", putBody(t, "a", example(t, peak)), result.PresetInvalid},
		{"too large", put, "/admin/presets/night", strings.Repeat(" ", maxBody+1), result.BodyTooLarge},
		{"bad time", get, "/admin/timeline?sinceMicros=yesterday", "", result.MalformedOrder},
		{"no claims", get, "/admin/claims", "", result.PlatformRefused},
	} {
		t.Run(c.name, func(*testing.T) {
			a.refuse(c.method, c.path, c.body, c.want)
		})
	}
	var list PresetList
	a.get("/admin/presets", &list)
	if list.Generation != 2 {
		t.Errorf("generation %d after refusals alone", list.Generation)
	}
}

// TestToken: the admin address is reached by somebody without the token. They
// must learn nothing and change nothing, and the token that they tried must
// stand in no answer and no log, because it may be the right one of another
// system, or the right one with a slip.
func TestToken(t *testing.T) {
	a := newAPI(t, newDocument(t, newService(t)))
	for _, auth := range []string{"", "Bearer ", "Bearer " + token + "x", "Bearer " + token[1:], "Basic " + token, "bearer " + token, token} {
		w := a.raw(http.MethodPut, "/admin/presets/"+peak, auth, putBody(t, "a", example(t, peak)))
		assertRefusal(t, w, result.BadToken)
		if strings.Contains(w.Body.String(), token[1:]) {
			t.Errorf("the answer repeats the token: %s", w.Body)
		}
	}
	var list PresetList
	a.get("/admin/presets", &list)
	if list.Generation != 0 || a.log.Len() != 0 {
		t.Errorf("generation %d, log %q", list.Generation, a.log)
	}
	withPresets(t, a)
	if strings.Contains(a.log.String(), token) || !strings.Contains(a.log.String(), "put-"+peak) {
		t.Errorf("log %q", a.log)
	}
}

// TestInvalidPresetChangesNothing: an operator puts a preset with three slips
// before the peak. All three are named at once, and callers are still served
// by the preset that was in force.
func TestInvalidPresetChangesNothing(t *testing.T) {
	a := newAPI(t, newDocument(t, newService(t)))
	withPresets(t, a)
	text := example(t, ordinary)
	text = strings.Replace(text, "ratePerSecond = 40", "ratePerSecond = -40", 1)
	text = strings.Replace(text, "weight = 6", "weight = 0", 1)
	text = strings.Replace(text, "repeatable = false", "repeatable = no", 1)
	e := a.refuse(http.MethodPut, "/admin/presets/"+ordinary, putBody(t, "bad", text), result.PresetInvalid)
	if len(e.Faults) != 3 {
		t.Errorf("%d faults: %+v", len(e.Faults), e.Faults)
	}
	for _, f := range e.Faults {
		if f.Line == 0 || f.Key == "" || f.Allowed == "" {
			t.Errorf("fault says too little: %+v", f)
		}
	}
	var v PresetView
	a.get("/admin/presets/"+ordinary, &v)
	if v.Text != example(t, ordinary) || !v.InForce {
		t.Error("the preset in force has changed")
	}
}

// TestLostAnswerIsAskedAgain: the platform's service takes a switch and its
// answer is lost; then another operator switches on. The first operator asks
// again under the same change id, at another entry. The switch must count as
// done and must not undo the second operator's.
func TestLostAnswerIsAskedAgain(t *testing.T) {
	service := newService(t)
	one := newAPI(t, newDocument(t, service))
	two := newAPI(t, newDocument(t, service))
	withPresets(t, one)
	service.LoseAnswers(1)
	w := one.send(http.MethodPost, "/admin/presets/"+peak+"/switch", `{"changeId":"first"}`)
	if w.Code != http.StatusOK {
		assertRefusal(t, w, result.WriteUnknown)
	}
	two.do(http.MethodPost, "/admin/presets/"+ordinary+"/switch", `{"changeId":"second"}`)
	c := two.do(http.MethodPost, "/admin/presets/"+peak+"/switch", `{"changeId":"first"}`)
	if c.InForce != ordinary || c.Generation != 4 {
		t.Errorf("%+v: the repeat took effect again", c)
	}
}

// raced runs a change of another operator between the check and the write.
type raced struct {
	Document
	between func()
}

func (r *raced) Submit(ctx context.Context, o config.Order, now time.Time) (config.Head, error) {
	if f := r.between; f != nil {
		r.between = nil
		f()
	}
	return r.Document.Submit(ctx, o, now)
}

// TestSwitchRacesTakeOut: one operator switches to a preset that does not name
// the data centre almaty2; at the same moment another takes almaty2 out. Each
// was allowed when it was checked. Were both done, a data centre would be out
// that the preset in force does not know, and no order by its name would be
// taken any more.
func TestSwitchRacesTakeOut(t *testing.T) {
	service := newService(t)
	doc := &raced{Document: newDocument(t, service)}
	a := newAPI(t, doc)
	other := newAPI(t, newDocument(t, service))
	withPresets(t, a)
	short := strings.Replace(example(t, peak), "[dataCentre almaty2]\nnote = Almaty, second building\n", "", 1)
	a.do(http.MethodPut, "/admin/presets/"+peak, putBody(t, "short", short))
	doc.between = func() {
		other.do(http.MethodPost, "/admin/dataCentres/almaty2/out", `{"changeId":"out"}`)
	}
	e := a.refuse(http.MethodPost, "/admin/presets/"+peak+"/switch", `{"changeId":"switch"}`, result.UnknownDataCentre)
	if !strings.Contains(e.Detail, "almaty2") {
		t.Errorf("detail %q", e.Detail)
	}
	assertInForce(t, other, ordinary)
}

// TestSwitchAfterAnotherPut: an operator puts a preset at one entry and
// switches to it at the next, which has not heard of it yet. The switch must
// not be refused for a preset that exists.
func TestSwitchAfterAnotherPut(t *testing.T) {
	service := newService(t)
	withPresets(t, newAPI(t, newDocument(t, service)))
	behind := newAPI(t, newDocument(t, service))
	c := behind.do(http.MethodPost, "/admin/presets/"+peak+"/switch", `{"changeId":"s"}`)
	if c.InForce != peak {
		t.Errorf("%+v", c)
	}
}

// TestTakeOutWithoutPlatform: a data centre must go out of service at once
// while the platform's service is down. The order holds where it was given and
// the operator is told that it holds there alone; a switch of presets, which
// can't be held, is truly refused.
func TestTakeOutWithoutPlatform(t *testing.T) {
	service := newService(t)
	a := newAPI(t, newDocument(t, service))
	withPresets(t, a)
	service.SetDown(true)
	c := a.do(http.MethodPost, "/admin/dataCentres/astana/out", `{"changeId":"o"}`)
	if !c.Held || c.Code != int(result.HeldLocally) {
		t.Errorf("%+v", c)
	}
	assertOut(t, a, "dataCentre astana by operator")
	a.refuse(http.MethodPost, "/admin/presets/"+peak+"/switch", `{"changeId":"s"}`, result.PlatformRefused)
}
