package entry

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/caller"
	"github.com/hyssoprelay/hyssoprelay/internal/operator/preset"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// taskHandler answers each request with the code with which its task is refused.
type taskHandler struct {
	entry  *Entry
	preset *preset.Preset
}

func (taskHandler) Ready() error { return nil }

func (h taskHandler) Serve(_ context.Context, r *caller.Request, w *caller.Reply) {
	_, err := h.entry.newTask(r, &view{preset: h.preset}, h.preset.Accounts()[0], w, time.Unix(1, 0))
	code := result.OK
	if err != nil {
		code = err.Code()
	}
	_ = w.Send(http.StatusOK, "text/plain", "", fmt.Append(nil, int(code)))
}

// A caller over HTTP/1.0, which has no chunks, asks for a stream. Guards against running it and then telling
// the caller that it was not run, because its answer can't be sent.
func TestStreamOverHTTP10IsRefusedUnrun(t *testing.T) {
	p, faults := preset.Parse([]byte(viewPreset))
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	e := &Entry{}
	e.fatal.init()
	s := &caller.Server{Addr: "127.0.0.1:0", BodyLimit: 4096, MaxConns: 8, Handler: taskHandler{e, p}}
	if err := s.Listen(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx, time.Second) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	for _, c := range []struct {
		proto, stream string
		want          result.Code
	}{
		{"HTTP/1.0", "true", result.MalformedRequest}, {"HTTP/1.0", "false", result.OK}, {"HTTP/1.1", "true", result.OK},
	} {
		t.Run(c.proto+" "+c.stream, func(t *testing.T) {
			body := `{"model":"small","stream":` + c.stream + `,"messages":[{"role":"user","content":"hi"}]}`
			if got := askOver(t, s.Address(), c.proto, body); got != fmt.Sprint(int(c.want)) {
				t.Errorf("code %s, want %d", got, c.want)
			}
		})
	}
}

// askOver sends a chat and returns the body of its answer.
func askOver(t *testing.T, addr, proto, body string) string {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second)) // ends a test that hangs
	if _, err := fmt.Fprintf(c, "POST %s %s\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", caller.PathChat, proto, len(body), body); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var code string
	if _, err := fmt.Fscan(resp.Body, &code); err != nil {
		t.Fatal(err)
	}
	return code
}
