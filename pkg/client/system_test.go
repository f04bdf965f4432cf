package client_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/demo"
	"github.com/hyssoprelay/hyssoprelay/internal/standin/engine"
	"github.com/hyssoprelay/hyssoprelay/pkg/client"
)

// patience bounds a test that hangs; no verdict depends on it.
const patience = time.Minute

// start runs a whole system with one entry in each data centre.
func start(t *testing.T) (*demo.System, *client.Client) {
	t.Helper()
	s := &demo.System{
		DataCentres: []string{"a", "b", "c"}, Entries: 1, Engines: 1, Services: 1,
		EngineSettings: engine.Settings{Capacity: 8, ColdBound: 4, WarmAfter: 4, TokenMicros: 200},
		Preset:         demo.Preset("ordinary", 1),
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	if err := s.Start(ctx); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Stop)
	c := &client.Client{Key: demo.Key, HTTP: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	for _, e := range s.Serving() {
		c.Entries = append(c.Entries, "http://"+e.Process.CallerAddress())
	}
	return s, c
}

func within(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	t.Cleanup(cancel)
	return ctx
}

// requireTokens checks the pieces of a stream against the stand-in's tokens.
func requireTokens(t *testing.T, pieces [][]byte, want int) {
	t.Helper()
	if len(pieces) != want {
		t.Fatalf("%d pieces, want %d", len(pieces), want)
	}
	for n, p := range pieces {
		var c engine.Chunk
		if err := json.Unmarshal(p, &c); err != nil {
			t.Fatal(err)
		}
		if c.Index != n || c.Choices[0].Delta.Content != engine.Token(c.ID, n) {
			t.Fatalf("piece %d is %s", n, p)
		}
	}
}

// The client and a whole system agree on the API.
func TestAgainstSystem(t *testing.T) {
	s, c := start(t)
	t.Run("chat", func(t *testing.T) {
		a, err := c.Chat(within(t), client.Chat{Model: "small", MaxTokens: 20})
		if err != nil || a.Status() != http.StatusOK || !strings.Contains(string(a.Body()), "chat.completion") {
			t.Fatalf("%+v %v", a, err)
		}
	})
	t.Run("stream", func(t *testing.T) {
		requireTokens(t, streamed(t, c, 50), 50)
	})
	t.Run("order with a key", func(t *testing.T) {
		for range 3 {
			_, err := c.Service(within(t), client.ServiceCall{
				Service: "desk", Method: http.MethodPost, Path: "print", Body: []byte("1"), IdempotencyKey: "catalogue-1",
			})
			if err != nil {
				t.Fatal(err)
			}
		}
		if n := s.Runs()["catalogue-1"]; n != 1 {
			t.Fatalf("ran %d times", n)
		}
	})
}

func streamed(t *testing.T, c *client.Client, tokens int) [][]byte {
	t.Helper()
	var pieces [][]byte
	err := c.Stream(within(t), client.Chat{Model: "small", MaxTokens: tokens}, func(p client.Piece) error {
		pieces = append(pieces, p.Data())
		return nil
	})
	if err != nil {
		t.Fatalf("after %d pieces: %v", len(pieces), err)
	}
	return pieces
}

// cutConn breaks after a number of bytes have been read from it.
type cutConn struct {
	net.Conn
	left int
}

func (c *cutConn) Read(p []byte) (int, error) {
	if c.left <= 0 {
		return 0, fmt.Errorf("the network is cut")
	}
	n, err := c.Conn.Read(p[:min(len(p), c.left)])
	c.left -= n
	return n, err
}

// A secretary's connection breaks in the middle of a draft, with the answer
// half shown. The rest comes through another entry, each word once.
func TestStreamSurvivesCutConnections(t *testing.T) {
	_, c := start(t)
	var dials atomic.Int64
	c.HTTP = &http.Client{Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			var d net.Dialer
			conn, err := d.DialContext(ctx, network, addr)
			if err != nil || dials.Add(1) > 2 {
				return conn, err
			}
			return &cutConn{Conn: conn, left: 2000}, nil
		},
	}}
	requireTokens(t, streamed(t, c, 100), 100)
	if dials.Load() != 3 {
		t.Fatalf("%d connections, want 3", dials.Load())
	}
}
