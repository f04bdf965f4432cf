package relay

import (
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/hyssoprelay/hyssoprelay/internal/routing"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// Metrics counts requests and attempts, and exports gauges of the entry's state.
type Metrics struct {
	registry metrics.Registry
	running  metrics.Counter
	// leaving counts the answers that say that their endpoint is leaving, and rests those that ask
	// for a rest.
	leaving, rests metrics.Counter
	// lostBegun and lostUnbegun count the exchanges that were lost after and before their answer had
	// begun, and lostEnded those of both whose endpoint ended.
	lostBegun, lostUnbegun, lostEnded metrics.Counter
	// exceeded counts the answers that exceeded a limit.
	exceeded metrics.Counter
	// malformed counts the answers whose head no answer can have.
	malformed metrics.Counter
	// strayAnswers counts the responses that name another request, and strayBytes how often bytes
	// arrived while no response was due, or another response within the body of one.
	strayAnswers, strayBytes metrics.Counter
	// notMoved counts the streams that were to be moved and went on or ended where they were.
	notMoved metrics.Counter
	classes  classMetrics
}

// NewMetrics registers the metrics in r.
func NewMetrics(r metrics.Registry) *Metrics {
	return &Metrics{
		registry: r,
		running:  metrics.GetOrRegisterCounter("relay.running", r),
		leaving:  metrics.GetOrRegisterCounter("relay.answers.leaving", r),
		rests:    metrics.GetOrRegisterCounter("relay.answers.rest", r),

		lostBegun:   metrics.GetOrRegisterCounter("relay.lost.begun", r),
		lostUnbegun: metrics.GetOrRegisterCounter("relay.lost.unbegun", r),
		lostEnded:   metrics.GetOrRegisterCounter("relay.lost.ended", r),

		exceeded:  metrics.GetOrRegisterCounter("relay.answers.exceeded", r),
		malformed: metrics.GetOrRegisterCounter("relay.answers.malformed", r),

		notMoved: metrics.GetOrRegisterCounter("relay.moves.turnedDown", r),

		strayAnswers: metrics.GetOrRegisterCounter("relay.stray.answers", r),
		strayBytes:   metrics.GetOrRegisterCounter("relay.stray.bytes", r),
	}
}

// RegisterGauges registers gauges for the state of st.
func (m *Metrics) RegisterGauges(st *State, now func() time.Time) {
	gauge := func(name string, f func() int64) { metrics.NewRegisteredFunctionalGauge(name, m.registry, f) }
	gauge("relay.knownAge", func() int64 { return st.Freshness.Age(now()).Milliseconds() })
	gauge("relay.configuration", func() int64 {
		t := st.Table()
		if t == nil {
			return 0
		}
		return int64(t.Version())
	})
	gauge("relay.endpoints", func() int64 { return int64(st.Endpoints(now())) })
	gauge("relay.endpointsLimited", func() int64 { return int64(st.LimitedEndpoints(now())) })
	gauge("relay.endpointsResting", func() int64 { return int64(st.RestingEndpoints(now())) })
	gauge("relay.endpointsSilent", func() int64 { return int64(st.SilentEndpoints()) })
	gauge("relay.groupsStanding", func() int64 { return int64(st.StandingGroups()) })
	gauge("relay.endpointsRefusing", func() int64 { return int64(st.RefusingEndpoints(now())) })
	gauge("relay.entries", func() int64 { return int64(st.Entries(now())) })
	gauge("relay.entriesHeard", func() int64 { return int64(st.ReportingEntries()) })
	gauge("relay.loadAge", func() int64 { return st.LoadAge(now()).Milliseconds() })
	gauge("relay.partsRefused", func() int64 { return int64(st.RefusedParts(now())) })
	gauge("relay.requestsRefused", func() int64 { return int64(st.RefusedRequests(now())) })
	gauge("relay.holds", func() int64 { return int64(len(st.Holds())) })
	m.registerClassGauges(st, now)
	gauge("relay.waiting", func() int64 { return int64(len(st.WaitingServices())) })
}

func (m *Metrics) incRunning() { m.running.Inc(1) }
func (m *Metrics) decRunning() { m.running.Dec(1) }

// countAttempt counts an attempt by its outcome.
func (m *Metrics) countAttempt(o Outcome) {
	metrics.GetOrRegisterCounter("relay.attempts."+outcomeName(o), m.registry).Inc(1)
}

// countLost counts an exchange that was lost, also apart if its endpoint ended.
func (m *Metrics) countLost(answerBegan, ended bool) {
	if ended {
		m.lostEnded.Inc(1)
	}
	if answerBegan {
		m.lostBegun.Inc(1)
		return
	}
	m.lostUnbegun.Inc(1)
}

func outcomeName(o Outcome) string {
	switch o.(type) {
	case Delivered:
		return "delivered"
	case NotRun:
		return "notRun"
	case Failed:
		return "failed"
	case Unusable:
		return "unusable"
	case Unknown:
		return "unknown"
	case Interrupted:
		return "broken"
	case Moved:
		return "moved"
	default:
		return "gone"
	}
}

// countResult counts a request by its result, and its latencies by service and by the route's
// RetrySemantics.
func (m *Metrics) countResult(code result.Code, kind, service string, first, whole time.Duration) {
	metrics.GetOrRegisterCounter("relay.results."+code.String(), m.registry).Inc(1)
	if service == "" || code != result.OK {
		return
	}
	for _, name := range []string{"relay.service." + service, "relay.kind." + kind} {
		m.updateTimer(name+".firstPart", first)
		m.updateTimer(name+".whole", whole)
	}
}

func (m *Metrics) updateTimer(name string, d time.Duration) {
	if d > 0 {
		metrics.GetOrRegisterTimer(name, m.registry).Update(d)
	}
}

// log writes the log line of a completed request.
func (j *job) log(code result.Code, status int, now time.Time, cause error) {
	service, kind := "", ""
	if j.service != nil {
		service, kind = j.service.Name, j.route.RetrySemantics.String()
	}
	j.relay.Metrics.countResult(code, kind, service, sinceOrZero(j.firstPartAt, j.raw.ReceivedAt), now.Sub(j.raw.ReceivedAt))
	f := logrus.Fields{
		"request": j.requestInfo.ID, "code": int(code), "result": code.String(), "status": status,
		"effect": code.Effect().String(), "took": now.Sub(j.raw.ReceivedAt).Milliseconds(),
		"knownAge": j.relay.State.Freshness.Age(now).Milliseconds(),
	}
	if j.table != nil {
		f["configuration"] = j.table.Version()
	}
	if j.route != nil {
		f["route"], f["service"] = j.route.Name, service
	}
	if j.service != nil {
		f["class"] = int(j.class())
		j.countEnd(code)
	}
	if len(j.tried) > 0 {
		f["endpoints"], f["sent"] = j.tried, j.attempts.Sent
	}
	j.exchangeFields(f)
	if !j.firstPartAt.IsZero() {
		f["firstPart"] = j.firstPartAt.Sub(j.raw.ReceivedAt).Milliseconds()
	}
	if j.longestPause > 0 {
		f["longestPause"] = j.longestPause.Milliseconds()
		f["pauseEnded"] = j.pauseEndedAt.Sub(j.raw.ReceivedAt).Milliseconds()
	}
	j.waitFields(f)
	if j.lastEventID > 0 {
		f["lastEvent"] = j.lastEventID
	}
	if code == result.Cancelled && len(j.tried) > 0 {
		last := j.tried[len(j.tried)-1]
		f["silence"] = j.relay.State.SilentFor(last).Milliseconds()
		f["stood"] = j.relay.State.StoodFor(last, j.service.Name, j.relay.Now()).Milliseconds()
	}
	if j.endedEndpoint {
		f["fingerprint"] = j.requestFingerprint
	}
	if code == result.CallerStalled {
		f["resumable"] = j.progress == PartSent && j.route.RetrySemantics == routing.Stream && j.route.Resumable
	}
	if cause != nil {
		f["cause"] = cause.Error()
	}
	j.relay.Log.WithFields(f).Info("request ended")
}

// logAttempt writes the log line of an attempt that is followed by another one.
func (j *job) logAttempt(assigned Assignment, o Outcome, now time.Time) {
	f := logrus.Fields{
		"request": j.requestInfo.ID, "endpoint": assigned.Endpoint.ID, "loadAge": assigned.LoadAge.Milliseconds(),
		"sent": j.attempts.Sent, "unsent": j.attempts.Unsent, "left": j.deadline.Sub(now).Milliseconds(),
	}
	f["outcome"] = outcomeName(o)
	j.exchangeFields(f)
	switch o := o.(type) {
	case NotRun:
		f["result"] = o.Code.String()
	case Failed:
		f["status"] = o.Answer.Status
	case Unusable, Interrupted:
		f["lastEvent"] = j.lastEventID
	case Moved:
		f["lastEvent"], f["reason"] = j.lastEventID, o.Reason.String()
	}
	addCause(f, causeOf(o))
	j.relay.Log.WithFields(f).Info("another attempt follows")
}

// logNotMoved writes the log line of an attempt that was to go on with a stream and did not, so that the
// stream goes on or ends where it was.
func (j *job) logNotMoved(next Assignment, o Outcome) {
	f := j.endpointFields(next)
	f["outcome"], f["lastEvent"], f["sent"] = outcomeName(o), j.lastEventID, j.attempts.Sent
	j.exchangeFields(f)
	addCause(f, causeOf(o))
	j.relay.Log.WithFields(f).Info("stream is not moved")
}

// causeOf returns the cause of an outcome, or nil if it has none.
func causeOf(o Outcome) error {
	switch o := o.(type) {
	case NotRun:
		return o.Cause
	case Unusable:
		return o.Cause
	case Unknown:
		return o.Cause
	case Interrupted:
		return o.Cause
	case Disconnected:
		return o.Cause
	case Moved:
		return errMoved
	default:
		return nil
	}
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

// logLimit logs a limit that an endpoint reports, or, if it is negative, that it reports none any
// more.
func (j *job) logLimit(assigned Assignment, perSecond float64) {
	fields := j.endpointFields(assigned)
	if perSecond < 0 {
		j.relay.Log.WithFields(fields).Info("endpoint no longer reports a limit")
		return
	}
	fields["perSecond"] = perSecond
	j.relay.Log.WithFields(fields).Info("endpoint reports a limit")
}

// logAvailability logs and counts what an answer says about whether its endpoint accepts further
// requests.
func (j *job) logAvailability(assigned Assignment, info AnswerInfo) {
	if info.Leaving {
		j.relay.Metrics.leaving.Inc(1)
		j.relay.Log.WithFields(j.endpointFields(assigned)).Info("endpoint says that it is leaving")
	}
	if info.Rest > 0 {
		j.relay.Metrics.rests.Inc(1)
		j.relay.Log.WithFields(j.endpointFields(assigned)).WithField("rest", info.Rest.Milliseconds()).Info("endpoint asks for a rest")
	}
}

// logRefusing logs that an endpoint is left alone because it has refused requests in a row.
func (j *job) logRefusing(assigned Assignment, now time.Time) {
	refusals, pause := j.relay.State.Refusing(assigned.Endpoint.ID, now)
	if pause <= 0 {
		return
	}
	fields := j.endpointFields(assigned)
	fields["refusals"], fields["pause"] = refusals, pause.Milliseconds()
	j.relay.Log.WithFields(fields).Info("endpoint refuses requests in a row")
}

// endpointFields returns the log fields of an answer's endpoint and request.
func (j *job) endpointFields(assigned Assignment) logrus.Fields {
	ep := assigned.Endpoint
	return logrus.Fields{"endpoint": ep.ID, "born": ep.StartMillis, "service": ep.Service, "request": j.requestInfo.ID}
}
