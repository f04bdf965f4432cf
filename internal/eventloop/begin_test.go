package eventloop

import (
	"fmt"
	"testing"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
	"github.com/lesismal/nbio/nbhttp"
)

// Guards against a Stop that waits forever because it was called before the pollers were running:
// a process told to stop during startup would never exit.
func TestStopRightAfterStart(t *testing.T) {
	nbio.MaxOpenFiles = 4096
	logging.SetLevel(logging.LevelNone)
	for _, pollers := range []int{1, 3, 8} {
		t.Run(fmt.Sprint(pollers), func(t *testing.T) {
			for range 200 {
				e := nbhttp.NewEngine(nbhttp.Config{NPoller: pollers, SupportServerOnly: true})
				if err := StartHTTP(e); err != nil {
					t.Fatal(err)
				}
				e.Stop()
			}
		})
	}
}
