package relay

import (
	"errors"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"net/http"
	"reflect"
	"testing"

	"github.com/hyssoprelay/hyssoprelay/internal/routing"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

var errLostForTest = errors.New("lost")

// allOutcomes has one value of each Outcome. nil stands for a request without an attempt.
var allOutcomes = []Outcome{
	nil,
	Delivered{},
	NotRun{Sent: true, Cause: errLostForTest},
	Failed{Answer: &BufferedAnswer{Status: http.StatusInternalServerError}},
	Unusable{Status: http.StatusNotFound},
	Unknown{Cause: errLostForTest},
	Interrupted{Cause: errLostForTest},
	Moved{},
	Disconnected{Cause: errLostForTest},
	Unused{},
}

// TestAllOutcomesAreListed guards against an outcome for which nobody decided what its caller gets.
func TestAllOutcomesAreListed(t *testing.T) {
	f, err := parser.ParseFile(token.NewFileSet(), "step.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	listed := map[string]bool{}
	for _, o := range allOutcomes[1:] {
		listed[reflect.TypeOf(o).Name()] = true
	}
	declared := 0
	for _, d := range f.Decls {
		fn, ok := d.(*ast.FuncDecl)
		if !ok || fn.Name.Name != "outcome" {
			continue
		}
		declared++
		if name := fn.Recv.List[0].Type.(*ast.Ident).Name; !listed[name] {
			t.Errorf("%s is not listed", name)
		}
	}
	if declared != len(listed) {
		t.Errorf("%d outcomes are declared, %d listed", declared, len(listed))
	}
}

// TestConclusionsFitWhatWasSent guards against a second head within a stream that has begun, and against
// a part of an answer that passes for the whole.
func TestConclusionsFitWhatWasSent(t *testing.T) {
	refusal := result.New(result.OutcomeUnknown, "")
	failure := &BufferedAnswer{Status: http.StatusBadGateway}
	for _, o := range allOutcomes {
		for _, last := range []*BufferedAnswer{nil, failure} {
			t.Run(fmt.Sprintf("%T, earlier failure %t", o, last != nil), func(t *testing.T) {
				wantConclusion(t, Conclude(WholeSent, o, refusal, last), Complete{})
				part, ok := Conclude(PartSent, o, refusal, last).(BreakOff)
				if !ok || part.Cause == nil {
					t.Errorf("a part was sent: %+v", part)
				}
				wantConclusion(t, Conclude(NothingSent, o, refusal, last), unsentConclusion(o, refusal, last))
			})
		}
	}
}

// unsentConclusion returns what a caller gets that has received nothing.
func unsentConclusion(o Outcome, refusal *result.Error, last *BufferedAnswer) Conclusion {
	switch o := o.(type) {
	case Disconnected:
		return BreakOff(o)
	case Failed:
		return PassOn(o)
	}
	if last != nil {
		return PassOn{Answer: last}
	}
	return Refuse{Err: refusal}
}

func wantConclusion(t *testing.T, got, want Conclusion) {
	t.Helper()
	if got != want {
		t.Errorf("got %#v, want %#v", got, want)
	}
}

// TestUseOfAnswersFitsWhatWasSent guards against forwarding an answer into a stream that it doesn't go
// on with.
func TestUseOfAnswersFitsWhatWasSent(t *testing.T) {
	for _, status := range []int{200, 201, 204, 206, 302, 400, 404, 429, 500, 503} {
		for _, streamed := range []bool{true, false} {
			for _, sameType := range []bool{true, false} {
				events := streamed && status == http.StatusOK
				unsent, part := ForwardWhole, ForwardNothing
				if events {
					unsent = ForwardEvents
				}
				if events && sameType {
					part = ForwardEvents
				}
				for p, want := range map[Progress]AnswerUse{NothingSent: unsent, PartSent: part, WholeSent: ForwardNothing} {
					if got := UseOf(p, streamed, status, sameType); got != want {
						t.Errorf("progress %d, streamed %t, status %d, same type %t: got %d, want %d", p, streamed, status, sameType, got, want)
					}
				}
			}
		}
	}
}

// TestUnusableAnswerIsTriedElsewhere guards against breaking off a stream while an attempt is left, and
// against an attempt too many.
func TestUnusableAnswerIsTriedElsewhere(t *testing.T) {
	budget := func() bool { return true }
	resumable := &routing.Route{RetrySemantics: routing.Stream, Resumable: true, MaxAttempts: 3}
	for sent, want := range map[int]Decision{2: Retry, 3: End} {
		if got := NextDecision(resumable, AttemptCounts{Sent: sent, MayHaveRun: true}, Unusable{}, minTimeToMove, budget); got != want {
			t.Errorf("after %d attempts: decision %d, want %d", sent, got, want)
		}
	}
	once := &routing.Route{RetrySemantics: routing.Stream, MaxAttempts: 3}
	if got := NextDecision(once, AttemptCounts{Sent: 1, MayHaveRun: true}, Unusable{}, minTimeToMove, budget); got != End {
		t.Errorf("a stream that may run only once: decision %d", got)
	}
}

// TestContentTypesThatDifferInParameters guards against a stream that is broken off because the next
// engine names the charset and the first one did not, and against going on with another type.
func TestContentTypesThatDifferInParameters(t *testing.T) {
	for _, c := range []struct {
		a, b string
		same bool
	}{
		{"text/event-stream", "text/event-stream", true},
		{"text/event-stream", "text/event-stream; charset=utf-8", true},
		{"text/event-stream;charset=UTF-8", "Text/Event-Stream", true},
		{"text/event-stream", "text/plain", false},
		{"text/event-stream", "", false},
		{"", "", true},
		{"text/event-stream; =", "text/event-stream", false},
	} {
		t.Run(fmt.Sprintf("%q, %q", c.a, c.b), func(t *testing.T) {
			if got := sameMediaType(c.a, c.b); got != c.same {
				t.Errorf("same type %t, want %t", got, c.same)
			}
		})
	}
}
