package direct

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// closeIdle closes all idle connections.
func (c *Client) closeIdle() { c.CloseExpired(time.Now().Add(time.Hour)) }

// A request is sent again with the same ID after a refusal, whose copy arrives late. Guards against
// taking the copy for the answer to the second attempt, which ran.
func TestRepeatedRequestAvoidsTheConnectionOfTheFirst(t *testing.T) {
	const refusal = "HTTP/1.1 503 Full\r\nX-Id: 1\r\nContent-Length: 0\r\n\r\n"
	addr := serve(t,
		func(t *testing.T, c net.Conn, br *bufio.Reader) {
			readRequest(t, br)
			_, _ = io.WriteString(c, refusal)
			go func() {
				_, _ = http.ReadRequest(br)
				_, _ = io.WriteString(c, refusal)
			}()
		},
		func(t *testing.T, c net.Conn, br *bufio.Reader) {
			readRequest(t, br)
			_, _ = io.WriteString(c, responseFor("1", "one"))
		})
	c := &Client{}
	wantBody(t, c, addr, "1", "")
	wantBody(t, c, addr, "1", "one")
	c.closeIdle()
}
