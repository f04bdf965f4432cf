package endpoint_test

import (
	"bufio"
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/endpoint"
	"github.com/hyssoprelay/hyssoprelay/internal/standin"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// serveEndless starts an endpoint that answers as s says.
func serveEndless(t *testing.T, s *standin.EndlessSender) string {
	t.Helper()
	ln, err := standin.Listen()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					s.Send(conn, "X-Request-Id: a\r\n")
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// An endpoint sends without end. Guards against an attempt that goes on until its deadline, and
// against memory that grows meanwhile.
func TestEndlessAnswersAreCutOff(t *testing.T) {
	for _, element := range standin.AllEndless() {
		if element == standin.RepeatedEvents {
			continue // its events have data and are a stream like another
		}
		t.Run(string(element), func(t *testing.T) {
			s := &standin.EndlessSender{Element: element, Rate: 20e6, Chunked: true}
			c := client(t, serveEndless(t, s), func(c *endpoint.Client) { c.MaxAnswerBytes = 1 << 20 })
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			start := time.Now()
			err := c.Do(testContext(t), chatCall("a", false), func(endpoint.Event) error { return nil })
			took := time.Since(start)
			runtime.ReadMemStats(&after)
			t.Logf("%v after %v, heap grew by %.1f MB", err, took.Round(time.Millisecond), (float64(after.HeapAlloc)-float64(before.HeapAlloc))/1e6)
			if err == nil || result.CodeOf(err).Effect() == result.NotRun || took > 5*time.Second {
				t.Errorf("%v after %v", err, took)
			}
			for end := time.Now().Add(longest); s.Open() > 0; time.Sleep(time.Millisecond) {
				if time.Now().After(end) {
					t.Fatal("the connection is still open")
				}
			}
		})
	}
}
