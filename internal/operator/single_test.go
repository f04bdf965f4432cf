package operator

import (
	"bufio"
	"io"
	"net/http"
	"testing"
)

// requestText returns the bytes of a request with the operator's token.
func requestText(method, path string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer " + token + "\r\n\r\n"
}

// TestResponseToHeadHasNoBody guards against a body behind the response to HEAD, which the other side reads
// as the next response.
func TestResponseToHeadHasNoBody(t *testing.T) {
	addr := listen(t, newServer(newDocument(t, newService(t))), requestTimeout)
	for _, path := range []string{"/admin/presets", "/nowhere"} {
		t.Run(path, func(t *testing.T) {
			c := dial(t, addr)
			if _, err := io.WriteString(c, requestText(http.MethodHead, path)+requestText(http.MethodGet, path)); err != nil {
				t.Fatal(err)
			}
			br := bufio.NewReader(c)
			if _, err := http.ReadResponse(br, &http.Request{Method: http.MethodHead}); err != nil {
				t.Fatal(err)
			}
			if _, err := http.ReadResponse(br, nil); err != nil {
				t.Errorf("no response follows the head: %v", err)
			}
		})
	}
}
