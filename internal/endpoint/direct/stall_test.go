package direct

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against an endpoint that stops reading a long request and keeps it in memory
// until its deadline. Other endpoints are not affected, and it does not count as one that
// received nothing.
func TestEndpointThatStopsReadingIsCutOff(t *testing.T) {
	closed := make(chan struct{})
	stalled := serve(t, func(t *testing.T, c net.Conn, br *bufio.Reader) {
		if _, err := http.ReadRequest(br); err != nil {
			t.Errorf("request: %v", err)
		}
		<-closed
		_ = c.Close()
	})
	sound := serve(t, func(t *testing.T, c net.Conn, br *bufio.Reader) {
		readRequest(t, br)
		_, _ = c.Write([]byte(responseFor("2", "two")))
	})
	client := &Client{StallTimeout: 100 * time.Millisecond}
	req := request("1")
	req.Method, req.Body = http.MethodPost, []byte(strings.Repeat("b", 16<<20))
	_, err := client.Do(context.Background(), stalled, req)
	if !errors.Is(err, ErrEndpointStalled) || IsNotSent(err) {
		t.Errorf("the request ended with %v", err)
	}
	wantBody(t, client, sound, "2", "two")
	close(closed)
}
