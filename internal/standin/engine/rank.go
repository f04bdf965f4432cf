package engine

import (
	"net/http"
	"slices"

	"github.com/hyssoprelay/hyssoprelay/internal/standin"
)

// rank is the engine's part in a group that runs in lock-step.
type rank struct {
	step       uint64
	active     uint64
	staged     map[uint64][][]int
	next       uint64
	fromStep   uint64
	stepMicros int64
}

// waiting says that the rank has to have a map that it lacks before its next
// step.
func (k *rank) waiting() bool {
	if k.next == 0 || k.step+1 < k.fromStep {
		return false
	}
	_, ok := k.staged[k.next]
	return !ok
}

// advance makes one step and returns whether it could.
func (k *rank) advance() bool {
	if k.waiting() {
		return false
	}
	k.step++
	if k.next != 0 && k.step >= k.fromStep {
		k.active, k.next, k.fromStep = k.next, 0, 0
	}
	return true
}

// Step makes one step of the rank. It returns the map's version that the step
// used, and false when the rank waits for a map.
func (e *Engine) Step() (version uint64, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	ok = e.rank.advance()
	return e.rank.active, ok
}

func (e *Engine) stageMap(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Version uint64  `json:"version"`
		Map     [][]int `json:"map"`
	}
	if !e.fenced(w, r) || !standin.ReadJSON(w, r, &o) {
		return
	}
	e.mu.Lock()
	if e.rank.staged == nil {
		e.rank.staged = map[uint64][][]int{}
	}
	e.rank.staged[o.Version] = o.Map
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) activateMap(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Version  uint64 `json:"version"`
		FromStep uint64 `json:"fromStep"`
	}
	if !e.fenced(w, r) || !standin.ReadJSON(w, r, &o) {
		return
	}
	e.mu.Lock()
	late := o.FromStep <= e.rank.step
	if !late {
		e.rank.next, e.rank.fromStep = o.Version, o.FromStep
	}
	step := e.rank.step
	e.mu.Unlock()
	if late {
		standin.WriteJSON(w, http.StatusUnprocessableEntity, map[string]uint64{"step": step})
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// rankReport is the answer to /v1/rank/state.
type rankReport struct {
	Step           uint64   `json:"step"`
	ActiveVersion  uint64   `json:"activeVersion"`
	StagedVersions []uint64 `json:"stagedVersions"`
	NextVersion    uint64   `json:"nextVersion"`
	NextFromStep   uint64   `json:"nextFromStep"`
	Waiting        bool     `json:"waiting"`
	StepMicros     int64    `json:"stepMicros"`
	FencingToken   uint64   `json:"fencingToken"`
}

func (e *Engine) rankState(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	k := &e.rank
	s := rankReport{
		Step: k.step, ActiveVersion: k.active, NextVersion: k.next, NextFromStep: k.fromStep,
		Waiting: k.waiting(), StepMicros: k.stepMicros, FencingToken: e.fencing,
	}
	for v := range k.staged {
		s.StagedVersions = append(s.StagedVersions, v)
	}
	e.mu.Unlock()
	slices.Sort(s.StagedVersions)
	standin.WriteJSON(w, http.StatusOK, s)
}

func (e *Engine) controlStep(w http.ResponseWriter, _ *http.Request) {
	version, ok := e.Step()
	standin.WriteJSON(w, http.StatusOK, map[string]any{"version": version, "ok": ok})
}
