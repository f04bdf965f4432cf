package relay

import (
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// Metrics counts requests.
type Metrics struct {
	registry metrics.Registry
	running  metrics.Counter
}

// NewMetrics registers the metrics in r.
func NewMetrics(r metrics.Registry) *Metrics {
	return &Metrics{registry: r, running: metrics.GetOrRegisterCounter("relay.running", r)}
}

func (m *Metrics) begin() { m.running.Inc(1) }
func (m *Metrics) end()   { m.running.Dec(1) }

// ended counts a request by its result and its times by service.
func (m *Metrics) ended(code result.Code, service string, first, whole time.Duration) {
	metrics.GetOrRegisterCounter("relay.result."+code.String(), m.registry).Inc(1)
	if service == "" || code != result.OK {
		return
	}
	m.timer("relay."+service+".firstPart", first)
	m.timer("relay."+service+".whole", whole)
}

func (m *Metrics) timer(name string, d time.Duration) {
	if d > 0 {
		metrics.GetOrRegisterTimer(name, m.registry).Update(d)
	}
}

func formatID(id int64) string { return strconv.FormatInt(id, 10) }

// log writes the line of a request that has ended.
func (j *job) log(code result.Code, status int, now time.Time, cause error) {
	service := ""
	if j.service != nil {
		service = j.service.Name
	}
	j.relay.Metrics.ended(code, service, sinceOrZero(j.firstPart, j.raw.At), now.Sub(j.raw.At))
	f := logrus.Fields{
		"request": j.facts.ID, "code": int(code), "result": code.String(), "status": status,
		"effect": code.Effect().String(), "took": now.Sub(j.raw.At).Milliseconds(),
		"knownAge": j.relay.Belief.Fresh.Age(now).Milliseconds(),
	}
	if j.table != nil {
		f["configuration"] = j.table.Version()
	}
	if j.route != nil {
		f["route"], f["service"] = j.route.Name, service
	}
	if len(j.tried) > 0 {
		f["endpoints"], f["sent"] = j.tried, j.tries.Sent
	}
	if !j.firstPart.IsZero() {
		f["firstPart"] = j.firstPart.Sub(j.raw.At).Milliseconds()
	}
	if j.longestPause > 0 {
		f["longestPause"] = j.longestPause.Milliseconds()
	}
	if j.waited > 0 {
		f["waited"] = j.waited.Milliseconds()
	}
	if j.last > 0 {
		f["lastEvent"] = j.last
	}
	if cause != nil {
		f["cause"] = cause.Error()
	}
	j.relay.Log.WithFields(f).Info("request ended")
}

// logAttempt writes the line of an attempt that another one follows.
func (j *job) logAttempt(p Place, o Outcome, now time.Time) {
	f := logrus.Fields{
		"request": j.facts.ID, "endpoint": p.Endpoint.ID, "loadAge": p.LoadAge.Milliseconds(),
		"sent": j.tries.Sent, "unsent": j.tries.Unsent, "left": j.end.Sub(now).Milliseconds(),
	}
	switch o := o.(type) {
	case NotRun:
		f["outcome"], f["result"] = "notRun", o.Code.String()
		addCause(f, o.Cause)
	case Failed:
		f["outcome"], f["status"] = "failed", o.Answer.Status
	case Unknown:
		f["outcome"] = "unknown"
		addCause(f, o.Cause)
	case Broken:
		f["outcome"], f["lastEvent"] = "broken", j.last
		addCause(f, o.Cause)
	}
	j.relay.Log.WithFields(f).Info("another attempt follows")
}

func addCause(f logrus.Fields, err error) {
	if err != nil {
		f["cause"] = err.Error()
	}
}

func sinceOrZero(t, from time.Time) time.Duration {
	if t.IsZero() {
		return 0
	}
	return t.Sub(from)
}
