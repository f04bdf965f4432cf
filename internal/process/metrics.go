package process

import (
	"context"
	"net/http"

	"github.com/lesismal/nbio/nbhttp"
	"github.com/rcrowley/go-metrics"

	"github.com/hyssoprelay/hyssoprelay/internal/eventloop"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// maxReaders bounds the connections of readers of metrics.
const maxReaders = 64

// ServeMetrics answers each request at addr with all metrics as text, until
// ctx ends.
func ServeMetrics(ctx context.Context, addr string, r metrics.Registry) error {
	e := nbhttp.NewEngine(nbhttp.Config{
		Network: "tcp",
		Addrs:   []string{addr},
		MaxLoad: maxReaders,
		NPoller: 1,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/plain; charset=utf-8")
			metrics.WriteOnce(r, w)
		}),
	})
	eventloop.Order(e, nil, nil)
	if err := eventloop.Start(e); err != nil {
		return result.Newf(result.AddressInUse, "%s: %v", addr, err)
	}
	<-ctx.Done()
	e.Stop()
	return nil
}
