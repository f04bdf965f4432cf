package vmlist

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hyssoprelay/hyssoprelay/internal/platform/vmlist"
	"github.com/hyssoprelay/hyssoprelay/internal/standin"
)

// readTimeout bounds how long a caller may take for its request.
const readTimeout = 5 * time.Second

// maxControl bounds one change over HTTP.
const maxControl = 1 << 20

// entry is one change of the list.
type entry struct {
	revision int64
	at       time.Time
	id       string
	vm       vmlist.VM
	removed  bool
}

// Server is the stand-in. Set the fields, then Run it.
type Server struct {
	// Listen is the address to listen on; empty means 127.0.0.1:0.
	Listen string
	// Now is the clock of the lag; nil means the system's.
	Now func() time.Time
	// Events, if not nil, receives a line when a request arrives and when it has been served.
	Events *logrus.Logger

	once  sync.Once
	ready chan struct{}

	mu      sync.Mutex // guards all below
	addr    string
	lag     time.Duration
	down    bool
	entries []entry
}

func (s *Server) init() {
	s.once.Do(func() {
		s.ready = make(chan struct{})
		if s.Now == nil {
			s.Now = time.Now
		}
	})
}

// Addr waits until the server listens and returns its address.
func (s *Server) Addr() string {
	s.init()
	<-s.ready
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addr
}

// Run serves until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	s.init()
	addr := s.Listen
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.addr = l.Addr().String()
	s.mu.Unlock()
	close(s.ready)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /vms", s.list)
	mux.HandleFunc("POST /control/vms", s.control)
	h := &http.Server{Handler: standin.WithEvents(s.Events, "vmlist", mux), ReadTimeout: readTimeout}
	done := make(chan error, 1)
	go func() { done <- h.Serve(l) }()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
	}
	err = h.Close()
	if serr := <-done; !errors.Is(serr, http.ErrServerClosed) {
		return serr
	}
	return err
}

// Put adds a VM or changes it.
func (s *Server) Put(v vmlist.VM) { s.record(entry{id: v.ID(), vm: v}) }

// Remove takes a VM off the list.
func (s *Server) Remove(id string) { s.record(entry{id: id, removed: true}) }

func (s *Server) record(e entry) {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	e.revision = int64(len(s.entries)) + 1
	e.at = s.Now()
	s.entries = append(s.entries, e)
}

// control takes changes over HTTP, as an answer of the list would hold them.
func (s *Server) control(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(io.LimitReader(r.Body, maxControl))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	d, err := vmlist.DecodeDelta(b)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	for _, v := range d.VMs() {
		s.Put(v)
	}
	for _, id := range d.Removed() {
		s.Remove(id)
	}
}

// SetLag sets how old a change must be to appear.
func (s *Server) SetLag(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lag = d
}

// SetDown switches the answers off.
func (s *Server) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// Reset forgets the list, which begins anew at revision 0.
func (s *Server) Reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries = nil
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
	if err != nil {
		http.Error(w, "since must be a revision", http.StatusBadRequest)
		return
	}
	d, ok := s.delta(since)
	if !ok {
		http.Error(w, "the stand-in is down", http.StatusServiceUnavailable)
		return
	}
	b, err := d.Encode()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(b)
}

// delta returns the changes after a revision that are older than the lag.
func (s *Server) delta(since int64) (vmlist.Delta, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return vmlist.Delta{}, false
	}
	last := make(map[string]entry)
	revision := int64(0)
	now := s.Now()
	for _, e := range s.entries {
		if now.Sub(e.at) < s.lag {
			break
		}
		revision = e.revision
		if e.revision > since {
			last[e.id] = e
		}
	}
	var vms []vmlist.VM
	var removed []string
	for id, e := range last {
		if e.removed {
			removed = append(removed, id)
			continue
		}
		vms = append(vms, e.vm)
	}
	return vmlist.NewDelta(revision, vms, removed), true
}
