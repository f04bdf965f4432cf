package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/url"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/hyssoprelay/hyssoprelay/internal/platform"
	"github.com/hyssoprelay/hyssoprelay/internal/platform/config"
	"github.com/hyssoprelay/hyssoprelay/internal/settings"
	"github.com/hyssoprelay/hyssoprelay/internal/standin/kv"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

const token = "operators-token-1"

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// run starts f and ends it with the test.
func run(t *testing.T, f func(context.Context) error) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}

// newDocument returns a configuration in a stand-in of the platform's service.
func newDocument(t *testing.T, service *kv.Server) Document {
	t.Helper()
	client := &platform.Client{Addrs: []string{service.Addr()}, Timeout: time.Second, Metrics: metrics.NewRegistry()}
	run(t, client.Run)
	return Document{Writer: &config.Writer{KV: client, Store: &config.Store{}}}
}

func newService(t *testing.T) *kv.Server {
	t.Helper()
	s := &kv.Server{}
	run(t, s.Run)
	return s
}

// api is an entry's API without sockets.
type api struct {
	t   *testing.T
	h   http.Handler
	log *bytes.Buffer
}

func newAPI(t *testing.T, c Configuration) *api {
	t.Helper()
	var b bytes.Buffer
	log := logrus.New()
	log.SetOutput(&b)
	s := &Server{
		Token:         &settings.Token{Fixed: token},
		Configuration: c,
		Metrics:       metrics.NewRegistry(),
		Now:           func() time.Time { return start },
		Log:           log,
	}
	return &api{t: t, h: s.Handler(), log: &b}
}

func (a *api) raw(method, path, auth, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Authorization", auth)
	w := httptest.NewRecorder()
	a.h.ServeHTTP(w, r)
	return w
}

func (a *api) send(method, path, body string) *httptest.ResponseRecorder {
	return a.raw(method, path, "Bearer "+token, body)
}

// do wants an accepted change and returns its answer.
func (a *api) do(method, path, body string) ChangeReply {
	a.t.Helper()
	w := a.send(method, path, body)
	var c ChangeReply
	if err := json.Unmarshal(w.Body.Bytes(), &c); err != nil || w.Code >= http.StatusMultipleChoices {
		a.t.Fatalf("%s %s: status %d, %s", method, path, w.Code, w.Body)
	}
	return c
}

// refuse wants a refusal with the code and returns it.
func (a *api) refuse(method, path, body string, want result.Code) ErrorReply {
	a.t.Helper()
	return assertRefusal(a.t, a.send(method, path, body), want)
}

func assertRefusal(t *testing.T, w *httptest.ResponseRecorder, want result.Code) ErrorReply {
	t.Helper()
	var e ErrorReply
	if err := json.Unmarshal(w.Body.Bytes(), &e); err != nil {
		t.Fatalf("status %d, body %q: %v", w.Code, w.Body, err)
	}
	info, _ := result.Lookup(want)
	if e.Code != int(want) || w.Code != info.Status() || e.Name != info.Name() || e.Effect != info.Effect().String() {
		t.Fatalf("status %d, %+v, want %d %s", w.Code, e, want, want)
	}
	return e
}

func (a *api) get(path string, v any) {
	a.t.Helper()
	w := a.send(http.MethodGet, path, "")
	if err := json.Unmarshal(w.Body.Bytes(), v); err != nil || w.Code != http.StatusOK {
		a.t.Fatalf("GET %s: status %d, %s", path, w.Code, w.Body)
	}
}

// example returns the text of an example preset.
func example(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile("../../examples/" + name + ".ini")
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// putBody returns the body that writes a preset.
func putBody(t *testing.T, changeID, text string) string {
	t.Helper()
	b, err := json.Marshal(PutRequest{ChangeRequest: ChangeRequest{ChangeID: changeID}, Text: text})
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

const (
	ordinary = "tazalyk-ordinary"
	peak     = "tazalyk-peak"
)

// withPresets puts two examples; the first is in force.
func withPresets(t *testing.T, a *api) {
	t.Helper()
	for _, name := range []string{ordinary, peak} {
		a.do(http.MethodPut, "/admin/presets/"+name, putBody(t, "put-"+name, example(t, name)))
	}
}

// sendURL is send for an address that httptest would not parse.
func (a *api) sendURL(method string, u *url.URL, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodGet, "/", strings.NewReader(body))
	r.Method, r.URL, r.RequestURI = method, u, u.String()
	r.Header.Set("Authorization", "Bearer "+token)
	w := httptest.NewRecorder()
	a.h.ServeHTTP(w, r)
	return w
}

// offline is an empty configuration that takes nothing.
type offline struct{}

func (offline) Current() *config.Snapshot { return (&config.Store{}).Current() }

func (offline) Refresh(context.Context, time.Time) error {
	return result.New(result.PlatformRefused, "")
}

func (offline) Submit(context.Context, config.Order, time.Time) (config.Head, error) {
	return config.Head{}, result.New(result.PlatformRefused, "")
}
