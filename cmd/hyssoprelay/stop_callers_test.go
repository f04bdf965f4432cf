package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// stopCaller sends one request after the other and keeps its connection until it is closed, or its close is
// announced.
type stopCaller struct {
	s    *stopSystem
	rng  *rand.Rand
	name string
	n    int
	// slow means that the caller reads slowly.
	slow bool
	at   *stoppedRelay
	conn net.Conn
	in   *bufio.Reader
	// run is the process to which the connection leads.
	run *relayRun
	// timeLeft is that of the requests that were sent last, and sentAt is when the last part of them was.
	timeLeft time.Duration
	sentAt   time.Time
}

var errOtherProcess = errors.New("another process of the relay has begun meanwhile")

func (c *stopCaller) dial() error {
	c.run = c.at.run.Load()
	conn, err := net.Dial("tcp", c.at.callers)
	if err != nil {
		return err
	}
	if c.at.run.Load() != c.run {
		return errors.Join(errOtherProcess, conn.Close())
	}
	c.conn, c.in = conn, bufio.NewReader(conn)
	if c.slow {
		return conn.(*net.TCPConn).SetReadBuffer(readPiece)
	}
	return nil
}

func (c *stopCaller) hangUp() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// connect opens a connection to a relay to which the balancer leads, if there is none.
func (c *stopCaller) connect() bool {
	if c.conn != nil {
		return true
	}
	c.at = c.s.relays[c.rng.IntN(len(c.s.relays))]
	return c.at.mayBeChosen(time.Now()) && c.dial() == nil
}

// head returns the head of a request with a body of the given size.
func (c *stopCaller) head(kind, id string, bodyBytes int) string {
	return fmt.Sprintf("POST /%s/1 HTTP/1.1\r\nHost: h\r\nX-Hyssoprelay-Attempt-Id: %s\r\nX-Hyssoprelay-Deadline-Ms: %d\r\n"+
		"X-Api-Key: %s\r\nContent-Length: %d\r\n\r\n", kind, id, c.timeLeft.Milliseconds(), keptKey, bodyBytes)
}

// write sends a part of a request.
func (c *stopCaller) write(text string) error {
	c.sentAt = time.Now()
	_, err := io.WriteString(c.conn, text)
	return err
}

// send sends one request, a slow upload, or several requests at once, and returns their IDs.
func (c *stopCaller) send() ([]string, error) {
	c.timeLeft = []time.Duration{3 * time.Second, 6 * time.Second, 10 * time.Second}[c.rng.IntN(3)]
	kind := func() string { return kinds[c.rng.IntN(len(kinds))] }
	next := func() string {
		c.n++
		return fmt.Sprintf("%s-%d", c.name, c.n)
	}
	switch c.rng.IntN(6) {
	case 0:
		id := next()
		return []string{id}, c.upload(kind(), id)
	case 1:
		first, second := next(), next()
		return []string{first, second}, c.write(c.head("look", first, 0) + c.head(kind(), second, 0))
	default:
		id := next()
		return []string{id}, c.write(c.head(kind(), id, 0))
	}
}

// upload sends a request with a body that takes up to 4 s.
func (c *stopCaller) upload(kind, id string) error {
	const pieces, pieceBytes = 20, 1 << 10
	if err := c.write(c.head(kind, id, pieces*pieceBytes)); err != nil {
		return err
	}
	pause := time.Duration(c.rng.Int64N(int64(200 * time.Millisecond)))
	for range pieces {
		time.Sleep(pause)
		if err := c.write(strings.Repeat("x", pieceBytes)); err != nil {
			return err
		}
	}
	return nil
}

// receive reads one answer.
func (c *stopCaller) receive(r *sentRequest) {
	resp, err := http.ReadResponse(c.in, nil)
	if err == nil {
		r.status, r.begun = resp.StatusCode, true
		err = c.readBody(resp.Body)
	}
	r.err, r.endedAt = err, time.Now()
	if err != nil || resp.Close {
		c.hangUp()
	}
}

// readBody reads the body of an answer, slowly if the caller does so.
func (c *stopCaller) readBody(body io.Reader) error {
	if !c.slow {
		_, err := io.Copy(io.Discard, body)
		return err
	}
	for {
		_, err := io.CopyN(io.Discard, body, readPiece)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		time.Sleep(time.Duration(c.rng.Int64N(int64(maxReadPause))))
	}
}

// exchange sends requests and records those that were sent completely.
func (c *stopCaller) exchange() {
	if !c.connect() {
		time.Sleep(20 * time.Millisecond)
		return
	}
	ids, err := c.send()
	if err != nil {
		c.hangUp() // closed before the request had been sent
		return
	}
	announced := false
	for _, id := range ids {
		r := sentRequest{id: id, relay: c.at.name, sentAt: c.sentAt, timeLeft: c.timeLeft}
		switch {
		case c.conn != nil:
			c.receive(&r)
		case announced:
			r.err, r.endedAt = errBehindClose, time.Now()
		}
		announced = c.conn == nil && r.err == nil
		if at := c.run.stoppedAt.Load(); at != 0 {
			r.stopAt = time.Unix(0, at)
		}
		c.s.mu.Lock()
		c.s.sent = append(c.s.sent, r)
		c.s.mu.Unlock()
		if r.err != nil && !announced && c.conn == nil {
			return // what is behind it can't have an answer
		}
	}
	time.Sleep(time.Duration(c.rng.Int64N(int64(100 * time.Millisecond))))
}
