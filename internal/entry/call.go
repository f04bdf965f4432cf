package entry

import (
	"cmp"
	"context"
	"errors"
	"io"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"
	"google.golang.org/grpc/connectivity"

	"github.com/hyssoprelay/hyssoprelay/internal/caller"
	"github.com/hyssoprelay/hyssoprelay/internal/peer/peerpb"
	"github.com/hyssoprelay/hyssoprelay/internal/timeline"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

const (
	// maxClaimAsks bounds how often a request that may run only once is asked
	// for again after its agent was lost.
	maxClaimAsks = 3
	// maxRefetches bounds how often a broken answer is asked for again at its
	// agent before it counts as lost.
	maxRefetches = 3
	// refetchPause lets a broken connection come back.
	refetchPause = 100 * time.Millisecond
	// connectWait bounds the wait for a connection before another endpoint is
	// chosen.
	connectWait = 300 * time.Millisecond
	// cancelTimeout bounds the message that ends an attempt whose caller left.
	cancelTimeout = 2 * time.Second
)

// errLostAgent says that the connection to an agent broke before the answer
// was whole, so that the agent may have run the request.
var errLostAgent = eris.New("lost the agent")

// replies is what both Run and Fetch answer with.
type replies = grpc.ServerStreamingClient[peerpb.RunReply]

// call runs the task's attempt at the agent and, when the connection breaks,
// fetches the rest of its answer.
func (e *Entry) call(ctx context.Context, t *task, addr string) *result.Error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer e.members.wait(addr, t.job, cancel)()
	cc, err := e.conns.Get(addr)
	if err != nil {
		return result.New(result.EndpointDown, err.Error())
	}
	if !connected(ctx, cc) {
		return result.New(result.EndpointDown, "no connection to the agent")
	}
	agent := peerpb.NewAgentClient(cc)
	stream, err := agent.Run(ctx, e.runRequest(t, e.now()))
	end, err := e.receive(t, stream, err)
	for range maxRefetches {
		if err == nil || ctx.Err() != nil || result.Of(err) != nil {
			break
		}
		e.ring.Add(timeline.PieceLost, t.request.ID(), t.choice.Endpoint, "", t.relay.next, e.now())
		time.Sleep(refetchPause)
		stream, ferr := agent.Fetch(ctx, e.fetchRequest(t))
		end, err = e.receive(t, stream, ferr)
	}
	if err != nil {
		return e.broken(ctx, t, agent, err)
	}
	return e.ended(ctx, t, end)
}

func (e *Entry) fetchRequest(t *task) *peerpb.FetchRequest {
	return &peerpb.FetchRequest{
		Hlc:       uint64(e.clock.Next(e.now())),
		RequestId: t.request.ID(),
		Account:   t.account,
		From:      t.relay.next,
		Serial:    t.serial,
	}
}

// receive passes replies on until their end. Replies to another request or to
// another attempt are dropped: an answer that comes late must not reach a
// caller whom it isn't for.
func (e *Entry) receive(t *task, stream replies, err error) (*peerpb.End, error) {
	if err != nil {
		return nil, err
	}
	for {
		r, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return nil, io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
		now := e.now()
		e.clock.Observe(timeline.Stamp(r.GetHlc()), now)
		if r.GetRequestId() != t.request.ID() {
			e.counters.strays.Inc(1)
			continue
		}
		if end := r.GetEnd(); end != nil {
			e.heardLoad(end, now)
			return end, nil
		}
		if err := e.take(t, r, now); err != nil {
			return nil, err
		}
	}
}

func (e *Entry) heardLoad(end *peerpb.End, now time.Time) {
	if l := end.GetLoad(); l != nil {
		e.scheduler.report(reportOf(l, now), now)
	}
}

func (e *Entry) take(t *task, r *peerpb.RunReply, now time.Time) error {
	switch k := r.GetKind().(type) {
	case *peerpb.RunReply_Accepted:
		return e.takeAccepted(t, k.Accepted, now)
	case *peerpb.RunReply_Head:
		return t.relay.takeHead(k.Head)
	case *peerpb.RunReply_Piece:
		e.scheduler.piece(t.job, now)
		return t.relay.takePiece(k.Piece)
	}
	return nil
}

// takeAccepted notes which attempt the replies belong to.
//
// Guard: what is fetched after the connection broke may belong to another attempt of the same request,
// at an agent that doesn't compare serials. Its pieces would follow those of the first one, and the two
// texts would read as one answer.
func (e *Entry) takeAccepted(t *task, a *peerpb.Accepted, now time.Time) error {
	if t.serial != 0 && a.GetSerial() != t.serial {
		e.counters.strays.Inc(1)
		return result.Newf(result.AnswerIncomplete, "the agent sent attempt %d in place of %d", a.GetSerial(), t.serial)
	}
	e.scheduler.accepted(t.job)
	t.serial = a.GetSerial()
	t.relay.fetchID = caller.FetchID(t.request.ID(), cmp.Or(a.GetEndpoint(), t.choice.Endpoint), t.serial)
	e.ring.Add(timeline.Accepted, t.request.ID(), a.GetEndpoint(), "", a.GetIncarnation(), now)
	return nil
}

// ended turns an agent's end into the attempt's outcome.
func (e *Entry) ended(ctx context.Context, t *task, end *peerpb.End) *result.Error {
	t.falls = end.GetEndpointFalls()
	code := result.Code(end.GetCode())
	if code == result.OK {
		return t.relay.finish(end)
	}
	if code == result.ClaimHeld {
		return e.followHolder(ctx, t, end)
	}
	if code == result.AnswerNotFound {
		// The agent no longer knows the attempt whose answer broke off.
		return lost(result.New(result.OutcomeUnknown, "the agent keeps no answer"))
	}
	retry := time.Duration(end.GetRetryAfterMicros()) * time.Microsecond
	return result.New(code, end.GetDetail()).WithRetryAfter(retry)
}

// followHolder gives the caller the answer of the attempt that holds the claim
// on its idempotency key.
func (e *Entry) followHolder(ctx context.Context, t *task, end *peerpb.End) *result.Error {
	unknown := result.New(result.OutcomeUnknown, "an earlier attempt holds the claim and its agent does not answer")
	if end.GetHolder() == "" {
		return unknown
	}
	cc, err := e.conns.Get(end.GetHolder())
	if err != nil || !connected(ctx, cc) {
		return unknown
	}
	id := end.GetHolderRequestId()
	stream, err := peerpb.NewAgentClient(cc).Fetch(ctx, &peerpb.FetchRequest{
		Hlc:       uint64(e.clock.Next(e.now())),
		RequestId: id,
		Account:   t.account,
	})
	joined := *t
	joined.request, joined.serial = t.request.WithID(id), 0
	held, err := e.receive(&joined, stream, err)
	if err != nil {
		return unknown
	}
	code := result.Code(held.GetCode())
	switch {
	case code == result.OK:
		return t.relay.finish(held)
	case code == result.AnswerNotFound:
		return unknown
	}
	return result.New(code, held.GetDetail())
}

// broken turns a connection's error into the attempt's outcome.
func (e *Entry) broken(ctx context.Context, t *task, agent peerpb.AgentClient, err error) *result.Error {
	if r := result.Of(err); r != nil {
		e.cancel(t, agent)
		return r
	}
	if errors.Is(context.Cause(ctx), errAgentSilent) {
		return lost(result.New(result.OutcomeUnknown, "the agent is silent"))
	}
	switch {
	case caller.IsStopping(ctx):
		// The attempt goes on, so that its caller can fetch the answer through another entry.
		return result.New(result.StoppedUnknown, "")
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		e.cancel(t, agent)
		return result.New(result.DeadlineExceeded, "")
	case ctx.Err() != nil:
		e.cancel(t, agent)
		return result.New(result.Cancelled, "")
	}
	if t.relay.begun() {
		return result.New(result.AnswerIncomplete, "the agent was lost")
	}
	return lost(result.New(result.OutcomeUnknown, "the agent was lost"))
}

// lost marks an outcome whose agent was lost.
func lost(e *result.Error) *result.Error { return e.WithCause(errLostAgent) }

// connected waits a little for the connection to an agent. Nothing has been
// sent when it fails, so that the request truly was not run; once it has
// succeeded, a call that breaks may have been.
func connected(ctx context.Context, cc *grpc.ClientConn) bool {
	ctx, cancel := context.WithTimeout(ctx, connectWait)
	defer cancel()
	for {
		s := cc.GetState()
		if s == connectivity.Ready {
			return true
		}
		cc.Connect()
		if s == connectivity.TransientFailure || !cc.WaitForStateChange(ctx, s) {
			return false
		}
	}
}

// cancel tells the agent that nobody waits for the attempt any more.
func (e *Entry) cancel(t *task, agent peerpb.AgentClient) {
	if t.runOnce {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	_, _ = agent.Cancel(ctx, &peerpb.CancelRequest{
		Hlc:       uint64(e.clock.Next(e.now())),
		RequestId: t.request.ID(),
		Attempt:   t.attempts,
		Account:   t.account,
	})
}
