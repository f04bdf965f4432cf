package operator

import (
	"bufio"
	"io"
	"net/http"
	"strings"
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

// TestSecondRequestOfAConnectionIsRefused guards against an order that is carried out behind an answer that
// says that the connection carries no further request.
func TestSecondRequestOfAConnectionIsRefused(t *testing.T) {
	addr := listen(t, newServer(newDocument(t, newService(t))), requestTimeout)
	c := dial(t, addr)
	if _, err := io.WriteString(c, strings.Repeat(requestText(http.MethodGet, "/admin/presets"), 2)); err != nil {
		t.Fatal(err)
	}
	br := bufio.NewReader(c)
	for i, want := range []int{http.StatusOK, http.StatusBadRequest} {
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != want {
			t.Errorf("response %d: status %d, want %d, %v", i+1, resp.StatusCode, want, err)
		}
	}
}
