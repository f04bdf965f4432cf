package direct

import (
	"bufio"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// lateAnswers is how many answers to earlier requests are skipped.
	lateAnswers = 2
	// lateWrite bounds how long the rest of a body is still sent to an endpoint
	// that has answered before it read all of it.
	lateWrite = 5 * time.Second
)

// Answer is an answer whose head has arrived. Close must be called.
type Answer struct {
	Status int
	Header http.Header
	// Length is the declared length of the body, or -1.
	Length int64

	client *Client
	conn   *conn
	resp   *http.Response
	writer *writer
	whole  bool
	stop   func() bool
}

func (a *Answer) exchange(r *Request) error {
	a.writer = startWriter(a.conn, r)
	if a.writer.sent == 0 && a.writer.err != nil {
		return &NotSentError{cause: a.writer.err}
	}
	for range lateAnswers + 1 {
		resp, err := readHead(a.conn.br, r.Method)
		if err != nil {
			return err
		}
		a.resp, a.Status, a.Header, a.Length = resp, resp.StatusCode, resp.Header, resp.ContentLength
		if r.Mine == nil || r.Mine(resp.Header) {
			return nil
		}
		// Guard: an endpoint may answer a request twice. The second answer comes
		// where the next request's is due; its id shows that, and the right one
		// follows on the same connection.
		if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			return ErrForeign
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return err
		}
	}
	return ErrForeign
}

// readHead reads the head of the next final answer.
func readHead(br *bufio.Reader, method string) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(br, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, ErrSpoiled
		}
	}
}

// Read reads the body. It returns io.EOF only when the body is whole.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.resp.Body.Read(p)
	if err == io.EOF {
		a.whole = true
	}
	return n, err
}

// Whole reports whether the body has been read to its end.
func (a *Answer) Whole() bool { return a.whole }

// Close gives the connection back, or closes it unless the answer was read to
// its end and the endpoint keeps it.
func (a *Answer) Close() {
	running := a.stop()
	if !running || !a.reusable() {
		a.finishWriting(running)
		return
	}
	a.conn.used = true
	a.client.release(a.conn, keepFor(a.resp.Header))
}

func (a *Answer) reusable() bool {
	return a.whole && a.resp != nil && !a.resp.Close && a.conn.br.Buffered() == 0 && a.writer.finished() == nil && framed(a.resp)
}

// framed reports whether the body's end was told other than by the close.
func framed(r *http.Response) bool {
	return r.ContentLength >= 0 || len(r.TransferEncoding) > 0
}

// finishWriting closes the connection.
//
// Guard: an endpoint may answer before it has read a long body and read on
// later. It must get the rest of that body and nothing else there, so the
// connection closes only when the writer is done.
func (a *Answer) finishWriting(running bool) {
	if !running || !a.whole {
		a.conn.abort()
		return
	}
	if a.writer.isDone() {
		_ = a.conn.Conn.Close()
		return
	}
	go func() {
		select {
		case <-a.writer.done:
		case <-time.After(lateWrite):
		}
		_ = a.conn.Conn.Close()
	}()
}

// keepFor returns how long a connection may be unused.
func keepFor(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		s, err := strconv.Atoi(value)
		if err == nil && s >= 0 {
			return time.Duration(s)*time.Second - keepMargin
		}
	}
	return keepLeast
}
