package operator

import (
	"encoding/json"
	"net/http"
	"net/url"
	"testing"

	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// FuzzRequest sends any method, path and body with the right token. Whatever
// comes, the answer is JSON, and a refusal has a number, its HTTP status and an
// effect.
func FuzzRequest(f *testing.F) {
	for _, s := range [][3]string{
		{"PUT", "/admin/presets/a", `{"changeId":"a","text":"[preset]\nname = a\n"}`},
		{"POST", "/admin/presets/a/switch", `{"changeId":"a","ifGeneration":18446744073709551615}`},
		{"POST", "/admin/dataCentres/a/out", `{"changeId":"a","by":"\u0000"}`},
		{"POST", "/admin/claims/release", `{"changeId":"a","route":"r","account":"b","key":"k","outcome":"ran"}`},
		{"GET", "/admin/timeline?sinceMicros=9223372036854775808", ""},
		{"GET", "/admin/../admin//presets/%2e%2e", "[[[[[["},
		{"CONNECT", "*", "{}"},
	} {
		f.Add(s[0], s[1], s[2])
	}
	f.Fuzz(func(t *testing.T, method, target, body string) {
		u, err := url.ParseRequestURI(target)
		if err != nil || method == "" {
			t.Skip()
		}
		if _, err := http.NewRequest(method, "http://a/", nil); err != nil {
			t.Skip()
		}
		a := newAPI(t, offline{})
		w := a.sendURL(method, u, body)
		if w.Code >= http.StatusMultipleChoices && w.Code < http.StatusBadRequest {
			return // the multiplexer's redirect to a clean path
		}
		var e ErrorReply
		if err := json.Unmarshal(w.Body.Bytes(), &e); err != nil {
			t.Fatalf("status %d, body %q: %v", w.Code, w.Body, err)
		}
		info, ok := result.Lookup(result.Code(e.Code))
		if w.Code >= http.StatusBadRequest && (!ok || info.Status() != w.Code || e.Effect == "") {
			t.Fatalf("status %d, %+v", w.Code, e)
		}
	})
}
