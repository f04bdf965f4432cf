package engine

import (
	"net/http"
	"strconv"

	"github.com/hyssoprelay/hyssoprelay/internal/standin"
)

// fenced checks the order's fencing token unless the engine ignores it.
func (e *Engine) fenced(w http.ResponseWriter, r *http.Request) bool {
	token, _ := strconv.ParseUint(r.Header.Get("Fencing-Token"), 10, 64)
	e.mu.Lock()
	old := e.fencing
	refused := token < old && !e.faults.IgnoreFencing
	if !refused {
		e.fencing = max(old, token)
	}
	e.mu.Unlock()
	if refused {
		standin.WriteJSON(w, http.StatusPreconditionFailed, map[string]uint64{"fencingToken": old})
	}
	return !refused
}

func (e *Engine) loadModel(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Model   string `json:"model"`
		Adapter string `json:"adapter"`
		Version string `json:"version"`
	}
	if !e.fenced(w, r) || !standin.ReadJSON(w, r, &o) {
		return
	}
	e.mu.Lock()
	e.counters.Models = append(e.counters.Models, o.Model)
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) changeRole(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Role string `json:"role"`
	}
	if !e.fenced(w, r) || !standin.ReadJSON(w, r, &o) {
		return
	}
	e.mu.Lock()
	e.counters.Roles = append(e.counters.Roles, o.Role)
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}
