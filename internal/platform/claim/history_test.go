package claim

import (
	"math"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// history records the calls of agents and operators with their results, to be
// checked against claimModel, a sequential model of claims.
type history struct {
	mu    sync.Mutex
	clock int64
	ops   []porcupine.Operation
}

// opInput is the input of a recorded operation: a claim, or the closing of one.
type opInput struct {
	key        Key
	attempt    string
	closeState State // zero for a claim
}

// opOutput is the output of a recorded operation.
type opOutput struct {
	claimResult   Result // of a claim
	applied       bool   // of a release: it certainly took effect
	effectUnknown bool   // it may have taken effect or still may
}

// callTime returns the logical time at which an operation is called.
func (h *history) callTime() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.clock++
	return h.clock
}

func (h *history) record(call int64, in opInput, out opOutput) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.clock++
	end := h.clock
	if out.effectUnknown {
		end = math.MaxInt64
	}
	h.ops = append(h.ops, porcupine.Operation{
		ClientId: len(h.ops), Input: in, Call: call, Output: out, Return: end,
	})
}

// recordClaim records a result. A claim whose result is unknown may take
// effect at any later time, and is closed as not run in the background.
func (h *history) recordClaim(call int64, k Key, attempt string, v Result) {
	_, unknown := v.(Unknown)
	h.record(call, opInput{key: k, attempt: attempt}, opOutput{claimResult: v, effectUnknown: unknown})
	if unknown {
		h.recordBackgroundClose(k, attempt, NotRun)
	}
}

// recordBackgroundClose records an outcome that is stored in the background, if
// at all.
func (h *history) recordBackgroundClose(k Key, attempt string, s State) {
	h.record(h.callTime(), opInput{key: k, attempt: attempt, closeState: s}, opOutput{effectUnknown: true})
}

func (h *history) recordRelease(call int64, r Record, s State, err error) {
	code := result.CodeOf(err)
	out := opOutput{applied: err == nil, effectUnknown: code == result.WriteUnknown}
	if err != nil && !out.effectUnknown {
		return
	}
	h.record(call, opInput{key: r.key, attempt: r.attemptID, closeState: s}, out)
}

// keyState is the state of one key in the sequential model: the attempt whose
// claim is open, and the state and attempt of the last closed one.
type keyState struct {
	open     string
	closed   State
	closedBy string
}

func (s keyState) claimable() bool { return s.open == "" && (s.closed == 0 || s.closed == NotRun) }

// stepClaim returns the possible states after a claim with this output.
func stepClaim(s keyState, in opInput, out opOutput) []any {
	granted := s
	granted.open = in.attempt
	switch v := out.claimResult.(type) {
	case Granted:
		if s.claimable() {
			return []any{granted}
		}
	case Held:
		if s.open != "" && s.open == v.Record.attemptID {
			return []any{s}
		}
	case AlreadyRun:
		if s.open == "" && s.closed == v.Record.state && s.closedBy == v.Record.attemptID {
			return []any{s}
		}
	case NotClaimed:
		return []any{s}
	case Unknown:
		if s.claimable() {
			return []any{s, granted}
		}
		return []any{s}
	}
	return nil
}

// stepClose returns the possible states after the closing of an attempt.
func stepClose(s keyState, in opInput, out opOutput) []any {
	closed := keyState{closed: in.closeState, closedBy: in.attempt}
	switch {
	case s.open == in.attempt && out.effectUnknown:
		return []any{closed, s}
	case s.open == in.attempt:
		return []any{closed}
	case out.applied:
		return nil
	default:
		return []any{s}
	}
}

var claimModel = porcupine.NondeterministicModel{
	Partition: func(ops []porcupine.Operation) [][]porcupine.Operation {
		byKey := make(map[Key][]porcupine.Operation)
		for _, o := range ops {
			k := o.Input.(opInput).key
			byKey[k] = append(byKey[k], o)
		}
		var parts [][]porcupine.Operation
		for _, p := range byKey {
			parts = append(parts, p)
		}
		return parts
	},
	Init: func() []any { return []any{keyState{}} },
	Step: func(state, input, output any) []any {
		s, in, out := state.(keyState), input.(opInput), output.(opOutput)
		if in.closeState == 0 {
			return stepClaim(s, in, out)
		}
		return stepClose(s, in, out)
	},
	Equal: func(a, b any) bool { return a.(keyState) == b.(keyState) },
}

// relevantOps omits operations that can't change the result of the check but
// enlarge its search space: claims that were not made, and claims with an unknown
// result that no other operation observed, which may as well have had no
// effect.
func (h *history) relevantOps() []porcupine.Operation {
	observed := make(map[string]bool)
	for _, o := range h.ops {
		switch v := o.Output.(opOutput).claimResult.(type) {
		case Held:
			observed[v.Record.attemptID] = true
		case AlreadyRun:
			observed[v.Record.attemptID] = true
		case Granted:
			observed[o.Input.(opInput).attempt] = true
		}
		if o.Output.(opOutput).applied {
			observed[o.Input.(opInput).attempt] = true
		}
	}
	var ops []porcupine.Operation
	for _, o := range h.ops {
		v := o.Output.(opOutput).claimResult
		_, held := v.(Held)
		_, alreadyRun := v.(AlreadyRun)
		if held || alreadyRun || observed[o.Input.(opInput).attempt] {
			ops = append(ops, o)
		}
	}
	return ops
}

// check fails the test if the recorded history is not linearizable.
func (h *history) check(t *testing.T) {
	t.Helper()
	model := claimModel.ToModel()
	switch porcupine.CheckOperationsTimeout(model, h.relevantOps(), time.Minute) {
	case porcupine.Illegal:
		t.Error("the history of claims is not linearizable")
	case porcupine.Unknown:
		t.Error("the check of the history of claims timed out")
	}
}

func TestHistoryCheckFindsDoubleGrant(t *testing.T) {
	h := &history{}
	for _, a := range []string{"a", "b"} {
		h.recordClaim(h.callTime(), testKey(0), a, Granted{})
	}
	res := porcupine.CheckOperations(claimModel.ToModel(), h.ops)
	if res {
		t.Error("a history with two grants of one key is accepted as linearizable")
	}
}
