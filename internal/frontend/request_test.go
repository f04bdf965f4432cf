package frontend

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// response is what a caller received.
type response struct {
	status int
	header http.Header
	body   string
	// close reports that the caller is asked to connect elsewhere.
	close bool
	err   error
}

// request sends one request as a caller.
func (e *entry) request(ctx context.Context, path, id, key string) response {
	return e.requestWithPrompt(ctx, path, id, key, "")
}

// requestWithPrompt sends one request whose prompt has the given parts.
func (e *entry) requestWithPrompt(ctx context.Context, path, id, key, prompt string) response {
	h := http.Header{}
	if prompt != "" {
		h.Set("X-Hyssoprelay-Prompt-Prefix", prompt)
	}
	return e.requestWithHeader(ctx, path, id, key, h)
}

// requestWithHeader sends one request with further headers.
func (e *entry) requestWithHeader(ctx context.Context, path, id, key string, h http.Header) response {
	method := http.MethodGet
	if strings.HasPrefix(path, "/order/") || strings.HasPrefix(path, "/stream/") {
		method = http.MethodPost
	}
	return e.send(ctx, method, path, id, key, h, nil)
}

// upload sends one request with a body of the given size in bytes.
func (e *entry) upload(ctx context.Context, path, id string, size int) response {
	return e.send(ctx, http.MethodPost, path, id, "k1", http.Header{}, make([]byte, size))
}

// send sends one request.
func (e *entry) send(ctx context.Context, method, path, id, key string, h http.Header, body []byte) response {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+e.CallerAddress()+path, bytes.NewReader(body))
	if err != nil {
		return response{err: err}
	}
	r.Host = "h"
	r.Header = h
	r.Header.Set("X-Hyssoprelay-Attempt-Id", id)
	if r.Header.Get("X-Hyssoprelay-Deadline-Ms") == "" {
		r.Header.Set("X-Hyssoprelay-Deadline-Ms", "6000")
	}
	r.Header.Set("X-Api-Key", key)
	transport := &http.Transport{}
	defer transport.CloseIdleConnections() // an entry refuses callers beyond its limit of connections
	resp, err := (&http.Client{Transport: transport}).Do(r)
	if err != nil {
		return response{err: err}
	}
	b, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	return response{status: resp.StatusCode, header: resp.Header, body: string(b), close: resp.Close, err: err}
}

// sendAtRate sends requests at random times, perSecond a second on average, for d, and waits until all
// have been answered. prepare is called for one request after the other, and what it returns sends it.
func sendAtRate(rng *rand.Rand, d time.Duration, perSecond float64, prepare func(i int) (send func())) {
	var wg sync.WaitGroup
	end := time.Now().Add(d)
	for i := 0; time.Now().Before(end); i++ {
		wg.Go(prepare(i))
		time.Sleep(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second)))
	}
	wg.Wait()
}
