package eventloop

import (
	"os"
	"testing"

	"github.com/lesismal/nbio/nbhttp"
)

// leaveNumbersFree opens files and closes those whose number has the remainder 0, so that the next
// connections get n such numbers before any other.
func leaveNumbersFree(t *testing.T, n, divisor int) {
	t.Helper()
	for freed := 0; freed < n; {
		f, err := os.Open(os.DevNull)
		if err != nil {
			t.Fatal(err)
		}
		if int(f.Fd())%divisor != 0 {
			t.Cleanup(func() { _ = f.Close() }) // was only read
			continue
		}
		freed++
		defer func() { _ = f.Close() }() // was only read
	}
}

// The numbers that are free in a process belong to one poller, as after many connections of that poller
// have ended. Guards against a start that gives up before it has reached the other pollers.
func TestAllPollersAreReachedWhicheverNumbersAreFree(t *testing.T) {
	const pollers = 4
	leaveNumbersFree(t, 100, pollers)
	gate := &Gate{}
	if err := gate.StartHTTP(nbhttp.NewEngine(nbhttp.Config{NPoller: pollers, SupportServerOnly: true})); err != nil {
		t.Fatal(err)
	}
	gate.Stop()
}
