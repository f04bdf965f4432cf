package relay

import (
	"context"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/placement"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// query asks for a place of this request.
func (j *job) query() placement.Query {
	return placement.Query{
		Tokens:  j.facts.PromptTokens + j.facts.OutputTokens,
		Tried:   j.tried,
		RunOnce: !j.route.MayRepeat(),
	}
}

// usable gives a place back if what the process knows of keys has grown too old
// since the request came.
func (j *job) usable(p Place) *result.Error {
	if j.account == nil {
		return nil
	}
	now := j.relay.Now()
	e := j.checkAge(now)
	if e != nil {
		j.relay.Belief.Ended(p, Unused{}, now)
	}
	return e
}

// place chooses the endpoint of the next attempt. What the process knows may
// have aged since the request came.
func (j *job) place(ctx context.Context, now time.Time) (Place, *result.Error) {
	p, e := j.ask(ctx, j.query(), now)
	if e != nil {
		return p, e
	}
	if e := j.usable(p); e != nil {
		return Place{}, e
	}
	j.tried = append(j.tried, p.Endpoint.ID)
	return p, nil
}

// ask gets an attempt a place by way of the queue. One that follows an attempt which
// may have run is not held up: its request has waited already.
func (j *job) ask(ctx context.Context, q placement.Query, now time.Time) (Place, *result.Error) {
	b := j.relay.Belief
	if j.tries.MayHaveRun {
		return b.Choose(j.service, q, now)
	}
	a := Ask{
		Service: j.service, Query: q, ID: j.facts.ID, Account: anonymous,
		Target: j.target(), End: j.end, Priority: j.urgency(),
		TargetTime: j.route.Target, CameBack: j.cameBack(), Leaves: j.leaves(),
	}
	if j.account != nil {
		a.Account = j.account.Name
	}
	p, e := b.Admit(ctx, a, j.relay.Now)
	then := j.relay.Now()
	if waited := then.Sub(now); waited > 0 {
		j.waited += waited
	}
	if e == nil && j.tries.Sent > 0 && !b.Spend(j.service.Name, then) {
		b.Ended(p, Unused{}, then)
		return Place{}, b.Refusal(j.service.Name, result.EndpointBusy, then)
	}
	return p, e
}

// leaves is when the caller leaves if no part of the answer has come; zero means when
// its time is over.
func (j *job) leaves() time.Time {
	if j.route.Patience <= 0 {
		return time.Time{}
	}
	return j.raw.At.Add(j.route.Patience)
}

// freshPart is the part of the longest time of their route's callers that one has
// left at least who asks for the first time. Callers differ in how long they would
// wait, by a sixth; one that was asked to stay away has used up more.
const freshPart = 0.8

// cameBack reports whether the caller has asked before.
func (j *job) cameBack() bool { return j.used() > 0 }

// used is how much of its time the caller had used up before it asked, in an attempt
// that was refused or failed, or zero if that can't be told from a caller of less
// patience.
func (j *job) used() time.Duration {
	if j.facts.TimeLeft <= 0 {
		return 0
	}
	longest := j.relay.Belief.LongestLeft(j.route.Name, j.facts.TimeLeft)
	if j.facts.TimeLeft >= time.Duration(freshPart*float64(longest)) {
		return 0
	}
	return longest - j.facts.TimeLeft
}

// target is when the first part of the answer has to be there to be on time, counted
// from when the caller first asked.
func (j *job) target() time.Time {
	target := j.route.Target
	if target <= 0 {
		return j.end
	}
	return j.raw.At.Add(target - j.used())
}
