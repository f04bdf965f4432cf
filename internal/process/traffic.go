package process

import (
	"context"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
)

// trafficInterval is the time between two log lines about a process's traffic.
const trafficInterval = 10 * time.Second

// LogTraffic logs the counters of calls to the platform and of messages to other
// processes at regular intervals until ctx ends, and once more then. It always returns
// nil.
func LogTraffic(ctx context.Context, log *BoundedLog, r metrics.Registry) error {
	t := time.NewTicker(trafficInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			logTraffic(log, r)
			return nil
		case <-t.C:
			logTraffic(log, r)
		}
	}
}

func logTraffic(log *BoundedLog, r metrics.Registry) {
	f := logrus.Fields{}
	r.Each(func(name string, m any) {
		c, ok := m.(metrics.Counter)
		if ok && c.Count() > 0 && (strings.HasPrefix(name, "peer.") || strings.HasPrefix(name, "platform.")) {
			f[name] = c.Count()
		}
	})
	log.WithFields(f).Info("traffic since the start")
}
