package command

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/hyssoprelay/hyssoprelay/internal/operator"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// reply is what became of one request: answered, refused, unreached or lost.
type reply interface{ isReply() }

// answered is a whole answer of success.
type answered struct{ body []byte }

// refused is a whole answer of refusal.
type refused struct{ refusal *refusal }

// unreached means that nothing was sent.
type unreached struct{ err error }

// lost means that the request may have arrived.
type lost struct{ err error }

func (answered) isReply()  {}
func (refused) isReply()   {}
func (unreached) isReply() {}
func (lost) isReply()      {}

// round is one order, or one question, that goes from address to address until
// an answer holds for all.
//
// It guards against telling an operator that a change was not made while an
// entry whose answer was lost has made it or still may: the operator would
// give a second order that the first one then meets. Once a sent change has no
// answer, only a confirmation under the same change id ends the doubt; any
// refusal by another entry leaves the outcome unknown.
//
// An order that an entry holds locally, because the platform's service does
// not answer, goes on to the other addresses: data centres may be cut off from
// each other, and each then has to be told.
type round struct {
	call    call
	asked   int
	last    *refusal
	unknown bool
	held    *operator.ChangeReply
	holders int
}

// do carries out r and puts the answer into v.
func (c *client) do(ctx context.Context, r call, v any) error {
	rd := &round{call: r}
	for _, addr := range c.addrs {
		body, done := rd.take(addr, c.ask(ctx, addr, r))
		if done && body == nil {
			break
		}
		if done {
			return json.Unmarshal(body, v)
		}
	}
	return rd.settle(v)
}

// take notes a reply. It returns true when no further address is asked, and
// with it the answer if there is one.
func (rd *round) take(addr string, reply reply) (body []byte, done bool) {
	rd.asked++
	switch a := reply.(type) {
	case answered:
		return a.body, !rd.holds(a.body)
	case refused:
		rd.last = a.refusal
		code := result.Code(rd.last.reply.Code)
		rd.unknown = rd.unknown || code == result.WriteUnknown
		return nil, rd.held == nil && !tryNext(code)
	case unreached:
		if rd.last == nil {
			rd.last = refuse(result.EntryUnreachable, addr+": "+a.err.Error())
		}
	case lost:
		rd.unknown = true
		rd.last = refuse(result.EntryUnreachable, addr+": "+a.err.Error())
	}
	return nil, false
}

// holds reports whether an answer says that the order holds locally.
func (rd *round) holds(body []byte) bool {
	var c operator.ChangeReply
	if !rd.call.change || json.Unmarshal(body, &c) != nil || !c.Held {
		return false
	}
	rd.held = &c
	rd.holders++
	return true
}

// tryNext reports whether another entry may do better: one that is not cut
// off from the platform's service.
func tryNext(c result.Code) bool {
	return c == result.WriteUnknown || c == result.PlatformRefused || c == result.ShuttingDown
}

// settle says what all replies together mean when none holds for all.
func (rd *round) settle(v any) error {
	if c, ok := v.(*operator.ChangeReply); ok && rd.held != nil {
		*c = *rd.held
		c.Detail = fmt.Sprintf("%s (%d of %d addresses hold it)", c.Detail, rd.holders, rd.asked)
		return nil
	}
	if rd.call.change && rd.unknown {
		return refuse(result.WriteUnknown, "the last answer was: "+rd.last.Error())
	}
	return rd.last
}
