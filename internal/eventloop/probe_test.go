package eventloop

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
	"github.com/lesismal/nbio/nbhttp"
)

// startServer starts an HTTP engine behind a gate and returns its address.
func startServer(t *testing.T, gate *Gate, pollers int) string {
	t.Helper()
	nbio.MaxOpenFiles = 4096
	logging.SetLevel(logging.LevelNone)
	var addr string
	e := nbhttp.NewEngine(nbhttp.Config{
		Network: "tcp", Addrs: []string{"127.0.0.1:0"}, NPoller: pollers, SupportServerOnly: true,
		Listen: func(network, address string) (net.Listener, error) {
			ln, err := gate.Listen(network, address)
			if err == nil {
				addr = ln.Addr().String()
			}
			return ln, err
		},
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") }),
	})
	InstallHooks(e, nil, nil)
	if err := gate.StartHTTP(e); err != nil {
		t.Fatal(err)
	}
	return addr
}

// ask sends a request over a new connection.
func ask(addr string) error {
	c, err := net.DialTimeout("tcp", addr, 5*time.Second)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	if err := c.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		return err
	}
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		return err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// cutProbes ends the connections of all probes of a gate, by a reset if that is set.
func cutProbes(gate *Gate, reset bool) {
	for _, p := range gate.probes {
		p.mu.Lock()
		c := p.client.(*net.TCPConn)
		p.mu.Unlock()
		if reset {
			_ = c.SetLinger(0)
		}
		_ = c.Close() // it may have ended already
	}
}

// Guards against a process that says it is ready and closes each new connection unread, for the rest
// of its life, because the connection through which it asks a poller has ended.
func TestEngineServesAfterItsProbesHaveEnded(t *testing.T) {
	for _, pollers := range []int{1, 3, 8} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprint(pollers, reset), func(t *testing.T) {
				var lost atomic.Int64
				gate := &Gate{OnProbeLost: func(error) { lost.Add(1) }}
				addr := startServer(t, gate, pollers)
				for range 3 {
					cutProbes(gate, reset)
					for i := range 20 {
						if err := ask(addr); err != nil {
							t.Errorf("connection %d: %v", i, err)
						}
					}
				}
				if n := lost.Load(); n < int64(pollers) {
					t.Errorf("%d lost probes were reported", n)
				}
				gate.Stop()
			})
		}
	}
}

// Guards against a process that never stops, because a probe is replaced while its engine stops.
func TestStopWhileProbesAreReplaced(t *testing.T) {
	for range 100 {
		gate := &Gate{}
		startServer(t, gate, 2)
		cut := make(chan struct{})
		go func() {
			defer close(cut)
			cutProbes(gate, true)
		}()
		gate.Stop()
		<-cut
		for _, p := range gate.probes {
			<-p.ended
		}
	}
}

// Guards against a process that says it is ready while its event loop is stuck and serves no new
// connection.
func TestStuckEventLoopDoesNotRespond(t *testing.T) {
	h := newHeldPoller(t)
	if !h.gate.Responds(t.Context()) {
		t.Error("an idle event loop does not respond")
	}
	first, _ := h.open()
	h.send(first)
	<-h.stopped
	if h.gate.Responds(t.Context()) {
		t.Error("a stuck event loop responds")
	}
	h.resume <- struct{}{}
	if !h.gate.Responds(t.Context()) {
		t.Error("the event loop does not respond after it was stuck")
	}
}
