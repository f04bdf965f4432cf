package process

import (
	"context"
	"net/http"
	"time"

	"github.com/lesismal/nbio/nbhttp"
	"github.com/rcrowley/go-metrics"

	"github.com/hyssoprelay/hyssoprelay/internal/eventloop"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// Bounds of what readers of metrics can use up: a few collectors ask for one
// page each some seconds, with a request of a few hundred bytes.
const (
	maxReaders     = 16
	maxRequest     = 16 << 10
	requestTimeout = 30 * time.Second
	writeTimeout   = 10 * time.Second
)

// ServeMetrics answers each request at addr with all metrics as text, until
// ctx ends.
func ServeMetrics(ctx context.Context, addr string, r metrics.Registry) error {
	gate := &eventloop.Gate{}
	e := nbhttp.NewEngine(nbhttp.Config{
		Network: "tcp",
		Listen:  gate.Listen,
		Addrs:   []string{addr},
		MaxLoad: maxReaders,

		MaxHTTPBodySize: maxRequest,
		ReadLimit:       maxRequest,
		KeepaliveTime:   requestTimeout,
		WriteTimeout:    writeTimeout,
		NPoller:         1,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/plain; charset=utf-8")
			metrics.WriteOnce(r, w)
		}),
	})
	eventloop.InstallHooks(e, nil, nil)
	if err := gate.StartHTTP(e); err != nil {
		return result.Newf(result.AddressInUse, "%s: %v", addr, err)
	}
	<-ctx.Done()
	gate.Stop()
	return nil
}
