package claim

import (
	"math"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// history records what agents and operators asked and heard, for a check
// against the sequential claim table of claimModel.
type history struct {
	mu    sync.Mutex
	clock int64
	ops   []porcupine.Operation
}

// event is the input of a recorded operation: a claim, or the closing of one.
type event struct {
	key     Key
	attempt string
	closes  State // zero for a claim
}

// heard is the output of a recorded operation.
type heard struct {
	verdict Verdict // of a claim
	stored  bool    // of a release: it surely took effect
	open    bool    // the effect is not known
}

func (h *history) begin() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.clock++
	return h.clock
}

func (h *history) add(call int64, e event, out heard) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.clock++
	end := h.clock
	if out.open {
		end = math.MaxInt64
	}
	h.ops = append(h.ops, porcupine.Operation{
		ClientId: len(h.ops), Input: e, Call: call, Output: out, Return: end,
	})
}

// claimed records a verdict. A claim whose verdict is unknown may take effect
// at any time later, and is closed as not run in the background.
func (h *history) claimed(call int64, k Key, attempt string, v Verdict) {
	_, unknown := v.(Unknown)
	h.add(call, event{key: k, attempt: attempt}, heard{verdict: v, open: unknown})
	if unknown {
		h.closing(k, attempt, NotRun)
	}
}

// closing records an outcome that is stored in the background, if ever.
func (h *history) closing(k Key, attempt string, s State) {
	h.add(h.begin(), event{key: k, attempt: attempt, closes: s}, heard{open: true})
}

func (h *history) released(call int64, r Record, s State, err error) {
	code := result.CodeOf(err)
	out := heard{stored: err == nil, open: code == result.WriteUnknown}
	if err != nil && !out.open {
		return
	}
	h.add(call, event{key: r.key, attempt: r.attemptID, closes: s}, out)
}

// table is the sequential state of one key: the attempt whose claim is open,
// and what the last one closed as.
type table struct {
	open     string
	closed   State
	closedBy string
}

func (s table) free() bool { return s.open == "" && (s.closed == 0 || s.closed == NotRun) }

// stepClaim returns the states after a claim that was answered so.
func stepClaim(s table, e event, out heard) []any {
	granted := s
	granted.open = e.attempt
	switch v := out.verdict.(type) {
	case Granted:
		if s.free() {
			return []any{granted}
		}
	case HeldBy:
		if s.open != "" && s.open == v.Record.attemptID {
			return []any{s}
		}
	case Done:
		if s.open == "" && s.closed == v.Record.state && s.closedBy == v.Record.attemptID {
			return []any{s}
		}
	case NotMade:
		return []any{s}
	case Unknown:
		if s.free() {
			return []any{s, granted}
		}
		return []any{s}
	}
	return nil
}

// stepClose returns the states after an attempt was closed.
func stepClose(s table, e event, out heard) []any {
	closed := table{closed: e.closes, closedBy: e.attempt}
	switch {
	case s.open == e.attempt && out.open:
		return []any{closed, s}
	case s.open == e.attempt:
		return []any{closed}
	case out.stored:
		return nil
	default:
		return []any{s}
	}
}

var claimModel = porcupine.NondeterministicModel{
	Partition: func(ops []porcupine.Operation) [][]porcupine.Operation {
		byKey := make(map[Key][]porcupine.Operation)
		for _, o := range ops {
			k := o.Input.(event).key
			byKey[k] = append(byKey[k], o)
		}
		var parts [][]porcupine.Operation
		for _, p := range byKey {
			parts = append(parts, p)
		}
		return parts
	},
	Init: func() []any { return []any{table{}} },
	Step: func(state, input, output any) []any {
		s, e, out := state.(table), input.(event), output.(heard)
		if e.closes == 0 {
			return stepClaim(s, e, out)
		}
		return stepClose(s, e, out)
	},
	Equal: func(a, b any) bool { return a.(table) == b.(table) },
}

// relevant leaves out what can't change the check's verdict but multiplies its
// search: claims that were not made, and unknown ones that nobody has met, which
// are as if they had no effect.
func (h *history) relevant() []porcupine.Operation {
	met := make(map[string]bool)
	for _, o := range h.ops {
		switch v := o.Output.(heard).verdict.(type) {
		case HeldBy:
			met[v.Record.attemptID] = true
		case Done:
			met[v.Record.attemptID] = true
		case Granted:
			met[o.Input.(event).attempt] = true
		}
		if o.Output.(heard).stored {
			met[o.Input.(event).attempt] = true
		}
	}
	var ops []porcupine.Operation
	for _, o := range h.ops {
		v := o.Output.(heard).verdict
		_, settled := v.(HeldBy)
		_, done := v.(Done)
		if settled || done || met[o.Input.(event).attempt] {
			ops = append(ops, o)
		}
	}
	return ops
}

// check fails the test when no order of the operations explains what was heard.
func (h *history) check(t *testing.T) {
	t.Helper()
	model := claimModel.ToModel()
	switch porcupine.CheckOperationsTimeout(model, h.relevant(), time.Minute) {
	case porcupine.Illegal:
		t.Error("the history of claims is not linearizable")
	case porcupine.Unknown:
		t.Error("the history of claims could not be checked in time")
	}
}

func TestHistoryCheckFindsDoubleGrant(t *testing.T) {
	h := &history{}
	for _, a := range []string{"a", "b"} {
		h.claimed(h.begin(), testKey(0), a, Granted{})
	}
	res := porcupine.CheckOperations(claimModel.ToModel(), h.ops)
	if res {
		t.Error("two grants of one key were accepted")
	}
}
