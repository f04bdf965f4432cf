package standin

import (
	"net"
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
