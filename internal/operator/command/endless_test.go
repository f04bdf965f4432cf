package command

import (
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/standin"
)

// An address answers with a head without end. Guards against a command that reads it until its
// time-out, and against memory that grows with it.
func TestHeadWithoutEndIsCutOff(t *testing.T) {
	for _, element := range []standin.Endless{standin.HeaderLine, standin.HeaderLines, standin.StatusLine, standin.Informational, standin.NoProtocol} {
		t.Run(string(element), func(t *testing.T) {
			sender := &standin.EndlessSender{Element: element, Rate: 20e6}
			server := standin.Serve(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { sender.Answer(w, "") }))
			t.Cleanup(server.Close)
			c := &client{timeout: 8 * time.Second}
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			start := time.Now()
			got := c.ask(t.Context(), server.Listener.Addr().String(), call{method: http.MethodGet, path: "/"})
			took := time.Since(start)
			runtime.ReadMemStats(&after)
			if _, isLost := got.(lost); !isLost || took > 4*time.Second || after.TotalAlloc-before.TotalAlloc > 8<<20 {
				t.Errorf("%T after %v, %d bytes were allocated", got, took, after.TotalAlloc-before.TotalAlloc)
			}
		})
	}
}
