package kv

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// order is a message to the control. A field that is left out changes nothing.
type order struct {
	Down        *bool  `json:"down"`
	SlowMicros  *int64 `json:"slowMicros"`
	LoseAnswers *int   `json:"loseAnswers"`
	LapseMicros *int64 `json:"lapseMicros"`
	HoldWatches *bool  `json:"holdWatches"`
	Compact     bool   `json:"compact"`
	TakeCopy    bool   `json:"takeCopy"`
	RestoreCopy bool   `json:"restoreCopy"`
}

// status is the control's answer.
type controlStatus struct {
	Writes int `json:"writes"`
	Reads  int `json:"reads"`
	Lost   int `json:"lost"`
}

// control serves the fault switches over HTTP.
type control struct {
	s *Server

	mu   sync.Mutex // guards copy
	copy *Copy
}

// Control returns a handler that reads a JSON order from a POST and answers
// with the counts of calls; a GET only answers.
func (s *Server) Control() http.Handler { return &control{s: s} }

// ServeHTTP implements http.Handler.
func (c *control) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		var o order
		d := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<10))
		d.DisallowUnknownFields()
		if err := d.Decode(&o); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		c.apply(o)
	}
	n := c.s.Counts()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(controlStatus{Writes: n.writes, Reads: n.reads, Lost: n.lost})
}

func (c *control) apply(o order) {
	if o.TakeCopy {
		cp := c.s.Copy()
		c.mu.Lock()
		c.copy = &cp
		c.mu.Unlock()
	}
	if o.RestoreCopy {
		c.restore()
	}
	if o.SlowMicros != nil {
		c.s.SetSlow(time.Duration(*o.SlowMicros) * time.Microsecond)
	}
	if o.LoseAnswers != nil {
		c.s.LoseAnswers(*o.LoseAnswers)
	}
	if o.LapseMicros != nil {
		c.s.LapseLeases(time.Duration(*o.LapseMicros) * time.Microsecond)
	}
	if o.HoldWatches != nil {
		c.s.HoldWatches(*o.HoldWatches)
	}
	if o.Compact {
		c.s.Compact()
	}
	if o.Down != nil {
		c.s.SetDown(*o.Down)
	}
}

func (c *control) restore() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.copy != nil {
		c.s.Restore(*c.copy)
	}
}
