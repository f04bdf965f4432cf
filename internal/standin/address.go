package standin

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
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

// FreeAddress returns a loopback address that nobody listens on, for processes
// whose address must be known before they start. It returns no address twice
// before all have been tried.
func FreeAddress() (string, error) {
	for range ports {
		n := os.Getpid()*pidStride + int(portsTried.Add(1))
		addr := net.JoinHostPort("127.0.0.1", strconv.Itoa(firstPort+n%ports))
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

// Listen opens a free port at a loopback address of this process alone.
//
// A process under test may go on sending to a listener that has been closed. At a
// shared address, the kernel may have given the port to the listener of another test,
// which would answer in its place.
func Listen() (net.Listener, error) {
	ln, err := net.Listen("tcp", net.JoinHostPort(loopbackIP(os.Getpid()), "0"))
	if err == nil {
		return ln, nil
	}
	// Some systems have 127.0.0.1 alone.
	return net.Listen("tcp", "127.0.0.1:0")
}

// Serve starts an HTTP server at an address that Listen opens; Close ends it. It panics if
// there is none, as httptest.NewServer does.
func Serve(h http.Handler) *httptest.Server {
	ln, err := Listen()
	if err != nil {
		panic(err)
	}
	s := httptest.NewUnstartedServer(h)
	_ = s.Listener.Close()
	s.Listener = ln
	s.Start()
	return s
}
