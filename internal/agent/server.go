package agent

import (
	"context"
	"time"

	"google.golang.org/grpc"

	"github.com/hyssoprelay/hyssoprelay/internal/peer"
	"github.com/hyssoprelay/hyssoprelay/internal/peer/peerpb"
	"github.com/hyssoprelay/hyssoprelay/internal/timeline"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

const (
	// leaveRetry is when a caller refused by a leaving endpoint should come
	// back: the entries have learnt of it by then.
	leaveRetry = 200 * time.Millisecond
	// leastInterval bounds how often an entry may ask for reports.
	leastInterval = 20 * time.Millisecond
	// heartbeat is how often a report is sent when nothing has changed, so
	// that an entry can tell a frozen agent from an idle one.
	heartbeat = 500 * time.Millisecond
)

// server answers what entries ask of an Agent.
type server struct {
	peerpb.UnimplementedAgentServer
	*Agent
}

// Run implements peerpb.AgentServer.
func (a *server) Run(req *peerpb.RunRequest, stream grpc.ServerStreamingServer[peerpb.RunReply]) error {
	now := a.now()
	a.clock.Observe(timeline.Stamp(req.GetHlc()), now)
	send := a.sender(req, stream)
	at, joined, err := a.begin(req, now)
	if err != nil {
		a.event(timeline.Refused, req, err.Detail(), uint64(err.Code()), now)
		return send(endReply(err))
	}
	return at.follow(stream.Context(), req.GetResumeFrom(), joined, send)
}

// begin joins the request's earlier attempt or starts one.
func (a *Agent) begin(req *peerpb.RunRequest, now time.Time) (*attempt, bool, *result.Error) {
	budget := time.Duration(req.GetBudgetMicros()) * time.Microsecond
	if req.GetRunOnce() {
		budget += settleTime
	}
	var refused *result.Error
	at, joined, err := a.attempts.join(req, func() *attempt {
		t, rerr := a.admit(req, now)
		if rerr != nil {
			refused = rerr
			return nil
		}
		ctx, cancel := context.WithTimeout(a.workCtx, budget)
		at := newAttempt(req, cancel, now)
		at.serial = a.incarnation + a.serials.Add(1)
		a.start(ctx, at, t)
		return at
	})
	if refused != nil {
		return nil, false, refused
	}
	return at, joined, err
}

// Fetch implements peerpb.AgentServer.
func (a *server) Fetch(req *peerpb.FetchRequest, stream grpc.ServerStreamingServer[peerpb.RunReply]) error {
	now := a.now()
	a.clock.Observe(timeline.Stamp(req.GetHlc()), now)
	k := requestKey{account: req.GetAccount(), id: req.GetRequestId()}
	at := a.attempts.get(k)
	if at == nil || !at.is(req.GetSerial()) {
		return stream.Send(endReply(result.New(result.AnswerNotFound, "")))
	}
	a.event(timeline.Fetched, at.req, "", req.GetFrom(), now)
	return at.follow(stream.Context(), req.GetFrom(), true, a.sender(at.req, stream))
}

// sender stamps each reply with what it answers.
func (a *Agent) sender(req *peerpb.RunRequest, stream grpc.ServerStreamingServer[peerpb.RunReply]) func(*peerpb.RunReply) error {
	return func(r *peerpb.RunReply) error {
		out := &peerpb.RunReply{
			Hlc:       uint64(a.clock.Next(a.now())),
			RequestId: req.GetRequestId(),
			Attempt:   req.GetAttempt(),
			Kind:      r.GetKind(),
		}
		if e := r.GetEnd(); e != nil {
			out.Kind = &peerpb.RunReply_End{End: a.withLoad(e)}
		}
		return stream.Send(out)
	}
}

// withLoad returns a copy of the end that carries the endpoint's load, so that
// each answer brings the entry's view up to date.
func (a *Agent) withLoad(e *peerpb.End) *peerpb.End {
	return &peerpb.End{
		Code:             e.GetCode(),
		Detail:           e.GetDetail(),
		RetryAfterMicros: e.GetRetryAfterMicros(),
		Pieces:           e.GetPieces(),
		Bytes:            e.GetBytes(),
		Holder:           e.GetHolder(),
		HolderRequestId:  e.GetHolderRequestId(),
		EndpointFalls:    e.GetEndpointFalls(),
		Load:             a.report(),
	}
}

// Cancel implements peerpb.AgentServer. A request that may run only once goes
// on: cutting it off would leave its outcome unknown for nothing.
func (a *server) Cancel(_ context.Context, req *peerpb.CancelRequest) (*peerpb.CancelReply, error) {
	now := a.now()
	a.clock.Observe(timeline.Stamp(req.GetHlc()), now)
	at := a.attempts.get(requestKey{account: req.GetAccount(), id: req.GetRequestId()})
	if at != nil && at.req.GetAttempt() == req.GetAttempt() && !at.req.GetRunOnce() {
		a.event(timeline.CancelledByCaller, at.req, "", uint64(req.GetAttempt()), now)
		a.abandon(at)
	}
	return &peerpb.CancelReply{Hlc: uint64(a.clock.Next(now))}, nil
}

// Watch implements peerpb.AgentServer. It ends without an error when the agent stops and
// only delivers answers.
func (a *server) Watch(req *peerpb.WatchRequest, stream grpc.ServerStreamingServer[peerpb.LoadReport]) error {
	a.clock.Observe(timeline.Stamp(req.GetHlc()), a.now())
	interval := max(leastInterval, time.Duration(req.GetIntervalMicros())*time.Microsecond)
	tick := time.NewTicker(interval)
	defer tick.Stop()
	var sent time.Time
	var version uint64
	for {
		now := a.now()
		v := a.version.Load()
		if v != version || now.Sub(sent) >= heartbeat || sent.IsZero() {
			if err := stream.Send(a.report()); err != nil {
				return err
			}
			version, sent = v, now
		}
		select {
		case <-tick.C:
		case <-a.delivering:
			return nil
		case <-stream.Context().Done():
			return stream.Context().Err()
		}
	}
}

// report returns the endpoint's state.
func (a *Agent) report() *peerpb.LoadReport {
	s := a.allowance.State()
	r := &peerpb.LoadReport{
		Hlc:              uint64(a.clock.Next(a.now())),
		Endpoint:         a.Settings.EndpointName,
		Incarnation:      a.incarnation,
		DataCentre:       a.Settings.DataCentre,
		Allowance:        uint32(s.Limit()),
		Capacity:         uint32(s.Full()),
		Running:          uint32(s.Running()),
		CommittedTokens:  uint64(max(0, a.tokens.Load())),
		Cold:             s.Cold(),
		Leaving:          a.announced.Load(),
		ConfigDigest:     peer.ConfigDigest(&a.store),
		FirstTokenMicros: s.MedianTTFT().Microseconds(),
	}
	if v := a.view.Load(); v != nil {
		r.Routes = v.names
		r.OutOfService = v.out
		r.Generation = v.generation
	}
	return r
}
