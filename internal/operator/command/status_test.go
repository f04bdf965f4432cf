package command

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// An address answers an order with a status that no answer can have. Guards against telling the operator that it was
// carried out.
func TestInvalidStatusIsALostAnswer(t *testing.T) {
	for _, status := range []string{"000", "099", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = l.Close() }()
			go func() {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 "+status+" X\r\nContent-Length: 2\r\n\r\n{}")
				_ = conn.Close()
			}()
			c := &client{timeout: 8 * time.Second}
			got := c.ask(t.Context(), l.Addr().String(), call{method: http.MethodPost, path: "/"})
			if _, isLost := got.(lost); !isLost {
				t.Errorf("%T", got)
			}
		})
	}
}
