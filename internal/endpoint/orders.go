package endpoint

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// Load is an engine's report of its load. It lags.
type Load struct {
	Incarnation string `json:"incarnation"`
	Running     int    `json:"running"`
	Cold        bool   `json:"cold"`
	Completed   uint64 `json:"completed"`
	AgeMillis   int64  `json:"ageMillis"`
}

// CacheEvent says that an engine has stored or dropped a prompt prefix.
type CacheEvent struct {
	Number     uint64 `json:"number"`
	Kind       string `json:"kind"`
	PrefixHash uint64 `json:"prefixHash"`
}

// CacheEvents is a part of an engine's cache events.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	// Next is what to ask for next.
	Next uint64 `json:"next"`
	// Gap says that events between the one asked for and Next are missing, so
	// that a picture built from events must be built anew.
	Gap bool `json:"-"`
}

// ModelOrder orders an engine to load a model, adapter or version.
type ModelOrder struct {
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version,omitempty"`
}

// RoleOrder orders an engine to change its role.
type RoleOrder struct {
	Role string `json:"role"`
}

// Load returns the engine's newest load report.
func (c *Client) Load(ctx context.Context) (Load, error) {
	var l Load
	err := c.callControl(ctx, http.MethodGet, "/load", 0, nil, &l)
	return l, err
}

// CacheEvents returns cache events from number since on. Events come late; a
// gap is reported as such.
func (c *Client) CacheEvents(ctx context.Context, since uint64) (CacheEvents, error) {
	var es CacheEvents
	path := "/cacheEvents?since=" + strconv.FormatUint(since, 10)
	if err := c.callControl(ctx, http.MethodGet, path, 0, nil, &es); err != nil {
		return CacheEvents{}, err
	}
	es.Gap = hasGap(es, since)
	return es, nil
}

// hasGap says whether a number between since and Next is missing.
func hasGap(es CacheEvents, since uint64) bool {
	want := since
	for _, e := range es.Events {
		if e.Number != want {
			return true
		}
		want++
	}
	return want != es.Next
}

// LoadModel orders the engine to load a model.
func (c *Client) LoadModel(ctx context.Context, token uint64, o ModelOrder) error {
	return c.callControl(ctx, http.MethodPost, "/v1/orders/loadModel", token, o, nil)
}

// ChangeRole orders the engine to change its role.
func (c *Client) ChangeRole(ctx context.Context, token uint64, o RoleOrder) error {
	return c.callControl(ctx, http.MethodPost, "/v1/orders/changeRole", token, o, nil)
}

// ExportKV returns the KV cache of a stream, to be imported elsewhere.
func (c *Client) ExportKV(ctx context.Context, requestID string) ([]byte, error) {
	var raw bytes.Buffer
	err := c.callRaw(ctx, http.MethodGet, streamPath(requestID)+"/kv", 0, nil, &raw)
	return raw.Bytes(), err
}

// ImportKV hands an exported KV cache to the engine under a request's id.
func (c *Client) ImportKV(ctx context.Context, requestID string, kv []byte) error {
	return c.callRaw(ctx, http.MethodPut, streamPath(requestID)+"/kv", 0, kv, nil)
}

// callControl sends in as JSON and reads the answer into out.
func (c *Client) callControl(ctx context.Context, method, path string, token uint64, in, out any) error {
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return result.Newf(result.MalformedOrder, "%v", err)
		}
	}
	var raw bytes.Buffer
	if err := c.callRaw(ctx, method, path, token, body, &raw); err != nil {
		return err
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(raw.Bytes(), out); err != nil {
		return result.Newf(result.EndpointFailed, "answer of %s: %v", path, err)
	}
	return nil
}

// callRaw makes one call besides requests and writes the answer to out.
func (c *Client) callRaw(ctx context.Context, method, path string, token uint64, body []byte, out *bytes.Buffer) error {
	if err := c.running(ctx); err != nil {
		return err
	}
	call := Call{
		RequestID: c.nextControlID(), Method: method, Path: path, Body: body, FencingToken: token,
		ContentType: "application/json",
	}
	raw, err := call.encode(c.Addr)
	if err != nil {
		return err
	}
	resp := &response{requestID: call.RequestID, limit: c.MaxAnswerBytes, control: true}
	if out == nil {
		out = &bytes.Buffer{}
	}
	_, err = c.exchange(ctx, c.control, raw, resp, func(e Event) error {
		if p, ok := e.(Piece); ok {
			out.Write(p.Data)
		}
		return nil
	})
	if err != nil {
		return err
	}
	return orderRefused(resp, out)
}

// nextControlID returns a request ID by which the answer to a call is told from late answers to
// earlier ones. It is unique on the client's connections.
func (c *Client) nextControlID() string {
	return "control-" + strconv.FormatUint(c.controlCalls.Add(1), 10)
}

// orderRefused returns the error behind a status of an order.
func orderRefused(resp *response, out *bytes.Buffer) error {
	detail := fmt.Sprintf("status %d: %.200s", resp.status, out.Bytes())
	switch {
	case resp.status < http.StatusMultipleChoices:
		return nil
	case resp.status == http.StatusPreconditionFailed:
		return result.New(result.StaleFencing, detail)
	case resp.status == http.StatusConflict:
		return result.New(result.MapMissing, detail)
	case resp.status == http.StatusNotFound:
		return result.New(result.AnswerNotFound, detail)
	default:
		return result.New(result.MalformedOrder, detail)
	}
}
