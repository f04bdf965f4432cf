package entry

import (
	"context"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/caller"
	"github.com/hyssoprelay/hyssoprelay/internal/peer/peerpb"
	"github.com/hyssoprelay/hyssoprelay/internal/timeline"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// fetchTimeout bounds an answer that is fetched again.
const fetchTimeout = time.Minute

// fetch gives a caller an answer again, whose entry died or whose connection
// broke. With a fetch id one agent is asked; with a request id alone those of
// the subset are, one after the other.
func (e *Entry) fetch(ctx context.Context, r *caller.Request, f caller.Fetch, account string, w *caller.Reply) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	w.SetContext(ctx)
	e.counters.fetches.Inc(1)
	e.ring.Add(timeline.Fetched, r.ID(), f.Endpoint(), "", f.FirstPiece(), e.now())
	addrs := e.members.addrs()
	if f.Endpoint() != "" {
		a, ok := e.directory.agent(f.Endpoint())
		if !ok {
			w.Fail(result.New(result.AnswerNotFound, "the endpoint's agent can't be reached").WithRetryAfter(absentRetry))
			return
		}
		addrs = []string{a}
	}
	err := result.New(result.AnswerNotFound, "")
	for _, a := range addrs {
		err = e.fetchFrom(ctx, r, f, account, w, a)
		if err == nil || err.Code() != result.AnswerNotFound {
			break
		}
	}
	if err != nil && caller.IsStopping(ctx) && !w.Started() {
		err = shuttingDown() // the agents have not said that they keep no answer
	}
	if err != nil {
		e.counters.result(err.Code())
		w.Fail(err)
	}
}

func (e *Entry) fetchFrom(ctx context.Context, r *caller.Request, f caller.Fetch, account string, w *caller.Reply, addr string) *result.Error {
	notFound := result.New(result.AnswerNotFound, "an agent can't be reached").WithRetryAfter(absentRetry)
	cc, err := e.conns.Get(addr)
	if err != nil || !connected(ctx, cc) {
		return notFound
	}
	stream, err := peerpb.NewAgentClient(cc).Fetch(ctx, &peerpb.FetchRequest{
		Hlc:       uint64(e.clock.Next(e.now())),
		RequestId: r.ID(),
		Account:   account,
		From:      f.FirstPiece(),
		Serial:    f.AttemptSerial(),
	})
	t := &task{job: &job{}, request: r, account: account, serial: f.AttemptSerial(), relay: &relay{w: w, next: f.FirstPiece(), stream: true}}
	t.relay.skipped = f.FirstPiece() > 0
	end, err := e.receive(t, stream, err)
	if err != nil {
		if t.relay.begun() {
			return result.New(result.AnswerIncomplete, "")
		}
		return notFound
	}
	code := result.Code(end.GetCode())
	if code == result.OK {
		return t.relay.finish(end)
	}
	retry := time.Duration(end.GetRetryAfterMicros()) * time.Microsecond
	return result.New(code, end.GetDetail()).WithRetryAfter(retry)
}
