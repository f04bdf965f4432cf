package demo

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// A connection breaks after an order was read from it, as lines between callers and
// entries do in the tests of all faults together. Guards against a load that sends the
// order twice and takes the refusal of the second sending for that of the first.
func TestLoadSendsAnOrderOnce(t *testing.T) {
	var orders atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			t.Error(err)
		}
		if r.Header.Get("Idempotency-Key") == "" {
			return
		}
		orders.Add(1)
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		_ = c.Close()
	}))
	defer srv.Close()
	l := &Load{Deadline: time.Second}
	addr := strings.TrimPrefix(srv.URL, "http://")
	for _, s := range []Shape{Plain, RunOnce} { // the order goes over a connection that was used
		r, err := l.request(context.Background(), addr, "demo-1-1", s)
		if err != nil {
			t.Fatal(err)
		}
		res, err := srv.Client().Do(r)
		if err == nil {
			_, _ = io.Copy(io.Discard, res.Body)
			_ = res.Body.Close()
		}
	}
	if n := orders.Load(); n != 1 {
		t.Errorf("the order was sent %d times", n)
	}
}
