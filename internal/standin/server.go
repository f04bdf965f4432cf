package standin

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/lesismal/nbio/logging"
	"github.com/lesismal/nbio/nbhttp"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/hyssoprelay/hyssoprelay/internal/eventloop"
)

// handlers bounds how many requests one stand-in answers at once.
const handlers = 4096

// Server serves a handler over nbhttp. Set the fields, then start Run.
type Server struct {
	// Listen is the address to listen on; port 0 takes a free one.
	Listen  string
	Handler http.Handler
	// Events, if not nil, receives a line when a request arrives and when it has been served. Name
	// is the server's name in these lines.
	Events *logrus.Logger
	Name   string

	once  sync.Once
	ready chan struct{}
	addr  string
	conns sync.Map // net.Conn to nil
}

// Drop closes all connections, as a process that restarts would.
func (s *Server) Drop() {
	s.conns.Range(func(c, _ any) bool {
		_ = c.(net.Conn).Close()
		return true
	})
}

func (s *Server) prepare() {
	s.once.Do(func() { s.ready = make(chan struct{}) })
}

// Addr waits until the server listens and returns its address, or an empty
// one when ctx ends before.
func (s *Server) Addr(ctx context.Context) string {
	s.prepare()
	select {
	case <-s.ready:
		return s.addr
	case <-ctx.Done():
		return ""
	}
}

// Run serves until ctx ends; then open connections are cut.
func (s *Server) Run(ctx context.Context) error {
	s.prepare()
	logging.SetLevel(logging.LevelNone)
	gate := &eventloop.Gate{}
	engine := nbhttp.NewEngine(nbhttp.Config{
		Name:                   "standin",
		Network:                "tcp",
		Addrs:                  []string{s.Listen},
		NPoller:                1,
		Handler:                WithEvents(s.Events, s.Name, s.Handler),
		SupportServerOnly:      true,
		MessageHandlerPoolSize: handlers,
		Listen: func(network, addr string) (net.Listener, error) {
			ln, err := gate.Listen(network, addr)
			if err == nil {
				s.addr = ln.Addr().String()
			}
			return ln, err
		},
	})
	engine.OnClose(func(c net.Conn, _ error) { s.conns.Delete(c) })
	eventloop.InstallHooks(engine, func(c net.Conn) { s.conns.Store(c, nil) }, nil)
	if err := gate.StartHTTP(engine); err != nil {
		return eris.Wrapf(err, "listen on %s", s.Listen)
	}
	close(s.ready)
	<-ctx.Done()
	gate.Stop()
	return nil
}
