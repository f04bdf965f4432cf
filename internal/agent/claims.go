package agent

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/allowance"
	"github.com/hyssoprelay/hyssoprelay/internal/peer/peerpb"
	"github.com/hyssoprelay/hyssoprelay/internal/platform/claim"
	"github.com/hyssoprelay/hyssoprelay/internal/timeline"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

const (
	// claimRetention is how long a repeat of an idempotency key gets the stored
	// outcome: a day, in which a clerk may send an order again.
	claimRetention = 24 * time.Hour
	// claimInterval is the least time between two transactions: three agents
	// of services then need at most 75 writes a second.
	claimInterval = 40 * time.Millisecond
	// claimLinger is how long an outcome waits for a claim to go with.
	claimLinger = 80 * time.Millisecond
	// claimQueue and claimBacklog bound what is held: some 300 bytes each, and
	// up to claim.MaxAnswerBytes for an outcome.
	claimQueue   = 1024
	claimBacklog = 512
	// settleTime is how long after its deadline the outcome of a request that
	// may run only once is still waited for. Cutting it off at the deadline
	// would leave an order unsettled that the endpoint completes a moment
	// later.
	settleTime = 30 * time.Second
	// flushTime bounds the wait for outcomes to be stored when the agent stops.
	flushTime = 5 * time.Second
)

func (a *Agent) newBatcher() *claim.Batcher {
	return &claim.Batcher{
		KV:             a.platform,
		Agent:          a.peers.ListenAddr(),
		Endpoint:       a.Settings.EndpointName,
		Incarnation:    a.incarnation,
		DispatchWindow: claim.DispatchWindow,
		Retention:      claimRetention,
		Interval:       claimInterval,
		Linger:         claimLinger,
		MaxQueue:       claimQueue,
		MaxBacklog:     claimBacklog,
		Now:            a.now,
		Metrics:        a.Registry,
	}
}

// runOnce claims the request before its first byte goes to the endpoint.
func (a *Agent) runOnce(ctx context.Context, at *attempt, t allowance.Ticket) *result.Error {
	req := at.req
	key, err := claim.NewKey(req.GetRoute(), req.GetAccount(), req.GetIdempotencyKey())
	if err != nil {
		return result.New(result.BadHeader, err.Error())
	}
	claimCtx, cancel := context.WithDeadline(ctx, deadlineOf(at))
	defer cancel()
	v := a.claims.Claim(claimCtx, claim.Request{
		Key:        key,
		BodyDigest: claimDigest(req),
		RequestID:  req.GetRequestId(),
		AttemptID:  a.attemptID(),
	})
	switch v := v.(type) {
	case claim.Granted:
		return a.runClaimed(ctx, at, t, v.Grant)
	case claim.AlreadyRun:
		return a.repeatAlreadyRun(at, v.Record)
	case claim.Held:
		return a.held(at, v.Record)
	}
	return result.Of(claim.Err(v))
}

func deadlineOf(at *attempt) time.Time {
	return at.begun.Add(time.Duration(at.req.GetBudgetMicros()) * time.Microsecond)
}

// attemptID names one attempt of this incarnation.
func (a *Agent) attemptID() string {
	n := a.attemptCount.Add(1)
	return a.Settings.EndpointName + "-" + strconv.FormatUint(a.incarnation, 36) + "-" + strconv.FormatUint(n, 36)
}

func claimDigest(req *peerpb.RunRequest) string {
	h := sha256.New()
	for _, s := range []string{req.GetMethod(), req.GetPath()} {
		h.Write([]byte(s))
		h.Write([]byte{0})
	}
	h.Write(req.GetBody())
	return hex.EncodeToString(h.Sum(nil))
}

// runClaimed dispatches a request whose claim was made, and stores what became
// of it.
func (a *Agent) runClaimed(ctx context.Context, at *attempt, t allowance.Ticket, g claim.Grant) *result.Error {
	now := a.now()
	a.event(timeline.Claimed, at.req, "", 0, now)
	if !now.Before(deadlineOf(at)) {
		a.storeOutcome(g, claim.NotRun, claim.Answer{})
		return result.New(result.DeadlinePassed, "")
	}
	if !g.MayDispatch(now) {
		// The agent was frozen between claim and dispatch. An operator may have
		// released the claim since, and the order may have been sent again.
		a.storeOutcome(g, claim.NotRun, claim.Answer{})
		return result.New(result.EndpointBusy, "the claim came too late").WithRetryAfter(leaveRetry)
	}
	err := a.dispatch(ctx, at, t)
	a.storeOutcome(g, stateOf(err), answerOf(at, err))
	return err
}

// stateOf returns what is known of a claimed request after its dispatch.
func stateOf(err *result.Error) claim.State {
	if err == nil {
		return claim.Completed
	}
	if err.Code() == result.EndpointFailed {
		return claim.Failed
	}
	if err.Code().Effect() == result.NotRun {
		return claim.NotRun
	}
	return claim.Unsettled
}

func answerOf(at *attempt, err *result.Error) claim.Answer {
	if err != nil {
		return claim.Answer{}
	}
	at.mu.Lock()
	defer at.mu.Unlock()
	ans := claim.Answer{Status: int(at.head.GetStatus()), ContentType: at.head.GetContentType()}
	for _, p := range at.pieces {
		ans.Body = append(ans.Body, p...)
	}
	return ans
}

func (a *Agent) storeOutcome(g claim.Grant, s claim.State, ans claim.Answer) {
	if err := a.claims.StoreOutcome(g, s, ans); err != nil {
		// The claim stays open and operators see it.
		a.Log.WithError(err).WithField("key", g.Record().Key().String()).Error("the outcome of a claimed request could not be stored")
	}
}

// repeatAlreadyRun answers a repeat of a key whose request was run before.
func (a *Agent) repeatAlreadyRun(at *attempt, r claim.Record) *result.Error {
	switch r.State() {
	case claim.Failed:
		return result.New(result.EndpointFailed, "an earlier request with this key failed")
	case claim.Ran:
		return result.New(result.AnswerLost, "")
	}
	ans, whole := r.Answer()
	if !whole {
		// The answer was too large to be stored; the agent that ran the request
		// may still keep it.
		return a.held(at, r)
	}
	at.setAccepted(&peerpb.Accepted{Endpoint: r.Endpoint(), Incarnation: r.Incarnation(), Joined: true})
	at.setHead(&peerpb.Head{Status: int32(ans.Status), ContentType: ans.ContentType})
	if len(ans.Body) > 0 {
		at.set(ans.Body)
	}
	return nil
}

// held sends the entry to the agent whose attempt holds the claim.
func (a *Agent) held(at *attempt, r claim.Record) *result.Error {
	at.holder = r.Agent()
	at.holderRequestID = r.RequestID()
	if r.State() == claim.Unsettled {
		return result.New(result.OutcomeUnknown, "an earlier attempt with this key is unsettled; operators can settle it")
	}
	return result.New(result.ClaimHeld, "")
}
