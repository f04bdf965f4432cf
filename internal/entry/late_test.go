package entry

import (
	"io"
	"testing"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/grpc"

	"github.com/hyssoprelay/hyssoprelay/internal/caller"
	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/placement"
	"github.com/hyssoprelay/hyssoprelay/internal/peer/peerpb"
	"github.com/hyssoprelay/hyssoprelay/internal/timeline"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// sentReplies is a stream of replies that then breaks.
type sentReplies struct {
	grpc.ClientStream
	left []*peerpb.RunReply
}

func (s *sentReplies) Recv() (*peerpb.RunReply, error) {
	if len(s.left) == 0 {
		return nil, io.ErrUnexpectedEOF
	}
	r := s.left[0]
	s.left = s.left[1:]
	return r, nil
}

// from returns the replies to request id, which break off behind them.
func from(id string, replies ...*peerpb.RunReply) *sentReplies {
	for _, r := range replies {
		r.RequestId = id
	}
	return &sentReplies{left: replies}
}

func accepted(endpoint string, serial uint64) *peerpb.RunReply {
	return &peerpb.RunReply{Kind: &peerpb.RunReply_Accepted{Accepted: &peerpb.Accepted{Endpoint: endpoint, Serial: serial}}}
}

func head(status int32, contentType string) *peerpb.RunReply {
	return &peerpb.RunReply{Kind: &peerpb.RunReply_Head{Head: &peerpb.Head{Status: status, ContentType: contentType}}}
}

func pieceOf(n uint64, data string) *peerpb.RunReply {
	return &peerpb.RunReply{Kind: &peerpb.RunReply_Piece{Piece: piece(n, data)}}
}

func end(pieces, bytes uint64) *peerpb.RunReply {
	return &peerpb.RunReply{Kind: &peerpb.RunReply_End{End: &peerpb.End{Pieces: pieces, Bytes: bytes}}}
}

// receiver returns an entry and its task for request r at the endpoint a-engine-0.
func receiver() (*Entry, *task) {
	e := &Entry{}
	e.ring = &timeline.Ring{Clock: &e.clock}
	e.counters = newCounters(metrics.NewRegistry())
	e.scheduler.init()
	request := (&caller.Request{}).WithID("r")
	j := &job{choice: placement.Choice{Endpoint: "a-engine-0"}}
	return e, &task{job: j, request: request, relay: &relay{w: &caller.Reply{}}}
}

// Guards against an answer of two halves: the connection to the agent breaks, and what is fetched of
// the answer belongs to another attempt of the same request.
func TestRestOfAnotherAnswerIsNotTaken(t *testing.T) {
	for name, rest := range map[string][]*peerpb.RunReply{
		"another attempt":      {accepted("a-engine-0", 2), head(200, "text/plain"), pieceOf(1, "cd"), end(2, 4)},
		"another status":       {head(404, "text/plain"), pieceOf(1, "cd"), end(2, 4)},
		"another content type": {head(200, "text/event-stream"), pieceOf(1, "cd"), end(2, 4)},
		"end of another":       {accepted("a-engine-0", 2), end(1, 2)},
	} {
		t.Run(name, func(t *testing.T) {
			e, task := receiver()
			first := from("r", accepted("a-engine-0", 1), head(200, "text/plain"), pieceOf(0, "ab"))
			if _, err := e.receive(task, first, nil); result.Of(err) != nil {
				t.Fatal(err)
			}
			got, err := e.receive(task, from("r", rest...), nil)
			if got != nil {
				t.Fatalf("taken for whole: %v", got)
			}
			assertIncomplete(t, err)
		})
	}
}

// Guards against a refetch that takes no rest at all.
func TestRestOfTheSameAnswerIsTaken(t *testing.T) {
	e, task := receiver()
	first := from("r", accepted("a-engine-0", 1), head(200, "text/plain"), pieceOf(0, "ab"))
	if _, err := e.receive(task, first, nil); result.Of(err) != nil {
		t.Fatal(err)
	}
	rest := from("r", accepted("a-engine-0", 1), head(200, "text/plain"), pieceOf(1, "cd"), end(2, 4))
	if got, err := e.receive(task, rest, nil); got == nil || err != nil || string(task.relay.body) != "abcd" {
		t.Errorf("%v, %v, body %q", got, err, task.relay.body)
	}
}

// Guards against replies to another request that reach a caller.
func TestRepliesToAnotherRequestAreDropped(t *testing.T) {
	e, task := receiver()
	both := from("other", accepted("a-engine-0", 9), head(404, ""), pieceOf(0, "other"), end(1, 5))
	both.left = append(both.left, from("r", accepted("a-engine-0", 1), head(200, ""), pieceOf(0, "ab"), end(1, 2)).left...)
	got, err := e.receive(task, both, nil)
	if err != nil || got.GetBytes() != 2 || string(task.relay.body) != "ab" || task.relay.head.GetStatus() != 200 {
		t.Errorf("%v, %v, body %q", got, err, task.relay.body)
	}
	if n := e.counters.strays.Count(); n != 4 {
		t.Errorf("%d stray replies counted, want 4", n)
	}
}

// Guards against a fetch id that names the agent that refused a request whose idempotency key another
// agent holds, where the answer can't be fetched.
func TestFetchIDNamesTheAgentThatHasTheAnswer(t *testing.T) {
	e, task := receiver()
	if _, err := e.receive(task, from("r", accepted("b-engine-3", 5), head(200, ""), end(0, 0)), nil); err != nil {
		t.Fatal(err)
	}
	if want := caller.FetchID("r", "b-engine-3", 5); task.relay.fetchID != want {
		t.Errorf("%q, want %q", task.relay.fetchID, want)
	}
}
