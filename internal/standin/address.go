package standin

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// Ports that FreeAddress hands out. They lie below those that the kernel gives
// to connections which ask for none (32768 to 60999), so that no connection
// takes one between its being found free and its being listened on.
const (
	firstPort = 20000
	ports     = 10000
	// pidStride keeps processes that run side by side apart.
	pidStride = 97
)

var portsTried atomic.Int64

// FreeAddress returns an address at LoopbackIP that nobody listens on, for processes
// whose address must be known before they start, or which others may go on calling
// after their end. It returns no address twice before all have been tried.
func FreeAddress() (string, error) {
	for range ports {
		n := os.Getpid()*pidStride + int(portsTried.Add(1))
		addr := net.JoinHostPort(LoopbackIP(), strconv.Itoa(firstPort+n%ports))
		l, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		return addr, l.Close()
	}
	return "", eris.New("no free port")
}

// loopbackIP returns a loopback address that no other process with a PID below 2^22 uses.
func loopbackIP(pid int) string {
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>16&63, pid>>8&255, pid&255)
}

// LoopbackIP returns the loopback address of this process alone, or 127.0.0.1 on
// systems that have no other.
var LoopbackIP = sync.OnceValue(func() string {
	ip := loopbackIP(os.Getpid())
	ln, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "127.0.0.1"
	}
	_ = ln.Close()
	return ip
})

// Listen opens a free port at a loopback address of this process alone.
//
// A process under test may go on sending to a listener that has been closed. At a
// shared address, the kernel may have given the port to the listener of another test,
// which would answer in its place.
func Listen() (net.Listener, error) {
	return net.Listen("tcp", net.JoinHostPort(LoopbackIP(), "0"))
}

// Serve starts an HTTP server at an address that Listen opens; Close ends it. It panics if
// there is none, as httptest.NewServer does.
func Serve(h http.Handler) *httptest.Server {
	return ServeWith(h, func(*http.Server) {})
}

// ServeWith is Serve for a server that configure changes before it starts.
func ServeWith(h http.Handler, configure func(s *http.Server)) *httptest.Server {
	ln, err := Listen()
	if err != nil {
		panic(err)
	}
	s := httptest.NewUnstartedServer(h)
	_ = s.Listener.Close()
	s.Listener = ln
	configure(s.Config)
	s.Start()
	return s
}
