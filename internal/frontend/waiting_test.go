package frontend

import (
	"bufio"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"github.com/hyssoprelay/hyssoprelay/platform/standin"
)

// An engine is full and a request waits for it in vain. Its log line must state how
// long it took and how old the process's knowledge was when it ended. Guards against
// a negative age, which was logged when the age was taken at the arrival of the
// request and the store had answered since.
func TestLogOfARequestThatWaited(t *testing.T) {
	t.Parallel()
	s := newSystem(t, 1)
	e := s.start("entry1", s.store.Addr())
	s.endpoints[0].Behave(standin.Refuses)
	for range 3 {
		s.wantStatus(e.request(context.Background(), "/order/1", "waits", "k1"), http.StatusServiceUnavailable)
	}
	type endRecord struct {
		Msg, Request           string
		Took, Waited, KnownAge int
	}
	lines := 0
	s.eventually("log lines of the requests", func() bool {
		lines = 0
		in := bufio.NewScanner(strings.NewReader(e.log.Text()))
		for in.Scan() {
			l := endRecord{}
			if json.Unmarshal(in.Bytes(), &l) != nil || l.Msg != "request ended" || l.Request != "waits" {
				continue
			}
			lines++
			if l.Took < l.Waited || l.KnownAge < 0 {
				t.Fatalf("%+v", l)
			}
		}
		return lines > 0
	})
}
