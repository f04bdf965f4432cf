package operator

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/hyssoprelay/hyssoprelay/internal/inifile"
	"github.com/hyssoprelay/hyssoprelay/internal/settings"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// Server is the operators' API of one entry. Set the exported fields before
// Listen or Handler.
type Server struct {
	// Addr is where to listen, as IP:port.
	Addr string
	// Keys is the certificate; nil means plain TCP.
	Keys *settings.KeyPair
	// Token is the operator token.
	Token *settings.Token
	// Configuration takes changes.
	Configuration Configuration
	// Claims may be nil in a process that knows none.
	Claims Claims
	// Status may be nil; the status then tells the configuration alone.
	Status Status
	// Timeline may be nil; the time line is then empty.
	Timeline Timeline
	// Metrics is what /admin/metrics shows; nil means the default registry.
	Metrics metrics.Registry
	// Now is the clock.
	Now func() time.Time
	// Log receives accepted changes; nil means the standard logger.
	Log *logrus.Logger

	l        *listener
	accepted metrics.Counter
	refused  metrics.Counter
	badToken metrics.Counter
}

// Listen opens the server's address and begins to serve.
func (s *Server) Listen() error {
	s.l = &listener{handler: s.Handler(), keys: s.Keys, now: s.Now, timeout: requestTimeout}
	return s.l.listen(s.Addr)
}

// Address returns the address listened on, as IP:port. It must follow Listen.
func (s *Server) Address() string { return s.l.address }

// Run serves until ctx ends and then finishes the orders that are being
// carried out. It must follow Listen.
func (s *Server) Run(ctx context.Context) error {
	s.l.run(ctx)
	return nil
}

// Handler returns the API without its listener.
func (s *Server) Handler() http.Handler {
	if s.Metrics == nil {
		s.Metrics = metrics.DefaultRegistry
	}
	if s.Log == nil {
		s.Log = logrus.StandardLogger()
	}
	s.accepted = metrics.GetOrRegisterCounter("operator.accepted", s.Metrics)
	s.refused = metrics.GetOrRegisterCounter("operator.refused", s.Metrics)
	s.badToken = metrics.GetOrRegisterCounter("operator.badToken", s.Metrics)
	mux := http.NewServeMux()
	for pattern, h := range s.routes() {
		mux.Handle(pattern, s.answer(h))
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.admit(mux, w, r) })
}

// handler answers a request with the value to send as JSON, or an error.
type handler func(r *http.Request) (any, error)

func (s *Server) routes() map[string]handler {
	return map[string]handler{
		"GET /admin/presets":                   s.listPresets,
		"GET /admin/presets/{name}":            s.showPreset,
		"PUT /admin/presets/{name}":            s.putPreset,
		"POST /admin/presets/{name}/switch":    s.switchPreset,
		"POST /admin/dataCentres/{name}/{way}": s.moveDataCentre,
		"POST /admin/endpoints/{name}/{way}":   s.moveEndpoint,
		"GET /admin/claims":                    s.listClaims,
		"POST /admin/claims/release":           s.releaseClaim,
		"GET /admin/status":                    s.status,
		"GET /admin/timeline":                  s.timeline,
		"GET /admin/metrics":                   s.metrics,
	}
}

// admit lets requests with the token through to the routes. Nothing of a
// request without it is read, logged or repeated.
func (s *Server) admit(mux *http.ServeMux, w http.ResponseWriter, r *http.Request) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || !s.Token.Check(token, s.Now()) {
		s.badToken.Inc(1)
		writeError(w, result.New(result.BadToken, ""))
		return
	}
	if _, pattern := mux.Handler(r); pattern == "" {
		s.refused.Inc(1)
		writeError(w, result.Newf(result.MalformedOrder, "there is no %s %s", r.Method, r.URL.Path))
		return
	}
	mux.ServeHTTP(w, r)
}

func (s *Server) answer(h handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		v, err := h(r)
		if err != nil {
			s.refused.Inc(1)
			writeError(w, err)
			return
		}
		status := http.StatusOK
		if c, ok := v.(ChangeReply); ok && c.Held {
			status = http.StatusAccepted
		}
		writeJSON(w, status, v)
	})
}

// pathName returns the name in the request's path.
func pathName(r *http.Request) (string, error) {
	name := r.PathValue("name")
	if !inifile.ValidName(name) {
		return "", result.New(result.MalformedOrder, "the path needs a name of "+inifile.NameRule)
	}
	return name, nil
}
