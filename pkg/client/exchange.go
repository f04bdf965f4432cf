package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/httpstatus"
	"github.com/hyssoprelay/hyssoprelay/internal/retryafter"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// Headers of the entries' API.
const (
	headerRequestID = "X-Request-Id"
	headerKey       = "Idempotency-Key"
	headerDeadline  = "X-Deadline-Ms"
	headerPriority  = "X-Priority"
	headerFetchID   = "X-Fetch-Id"
	headerResult    = "X-Result-Code"
)

const (
	pathChat     = "/v1/chat/completions"
	pathServices = "/v1/services/"
	pathAnswers  = "/v1/answers/"

	// maxAnswerBytes bounds a whole answer.
	maxAnswerBytes = 64 << 20
	// maxErrorBytes bounds the body of a refusal.
	maxErrorBytes = 64 << 10
)

// call is one request to an entry.
type call struct {
	method         string
	path           string
	requestID      string
	contentType    string
	body           []byte
	idempotencyKey string
	priority       string
}

// fetch returns the call that asks for the answer again, from piece n on.
func (k *call) fetch(fetchID string, n uint64) *call {
	id := fetchID
	if id == "" {
		id = k.requestID
	}
	return &call{
		method:    http.MethodGet,
		path:      pathAnswers + url.PathEscape(id) + "?from=" + strconv.FormatUint(n, 10),
		requestID: k.requestID,
	}
}

// send makes the call at the current entry. The caller closes the body.
func (c *Client) send(ctx context.Context, k *call) (*http.Response, error) {
	entry := c.entry()
	req, err := http.NewRequestWithContext(ctx, k.method, entry+k.path, bytes.NewReader(k.body))
	if err != nil {
		return nil, result.Newf(result.MalformedRequest, "%v", err)
	}
	c.setHeaders(ctx, req, k)
	resp, err := c.http().Do(req)
	if err != nil {
		c.leave(entry)
		return nil, transportError(ctx, entry, err)
	}
	if err := check(resp, k.requestID); err != nil {
		c.leave(entry)
		return nil, errors.Join(err, resp.Body.Close())
	}
	return resp, nil
}

func (c *Client) http() *http.Client {
	if c.HTTP != nil {
		return c.HTTP
	}
	return http.DefaultClient
}

func (c *Client) setHeaders(ctx context.Context, req *http.Request, k *call) {
	req.Header.Set("Authorization", "Bearer "+c.Key)
	for key, value := range map[string]string{
		headerRequestID: k.requestID,
		headerKey:       k.idempotencyKey,
		headerPriority:  k.priority,
		"Content-Type":  k.contentType,
	} {
		if value != "" {
			req.Header.Set(key, value)
		}
	}
	if t, ok := ctx.Deadline(); ok {
		left := max(time.Until(t).Milliseconds(), 1)
		req.Header.Set(headerDeadline, strconv.FormatInt(left, 10))
	}
}

// transportError returns the result of a call that got no answer. Only a
// connection that was never made proves that nothing was run.
func transportError(ctx context.Context, entry string, err error) error {
	var op *net.OpError
	dialled := errors.As(err, &op) && op.Op == "dial"
	switch {
	case dialled:
		return result.Newf(result.NoEndpoint, "entry %s: %v", entry, err)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return result.New(result.DeadlineExceeded, "while waiting for the entry")
	case ctx.Err() != nil:
		return result.New(result.Cancelled, "while waiting for the entry")
	default:
		return result.Newf(result.OutcomeUnknown, "entry %s: %v", entry, err)
	}
}

// check returns the error that the response carries, if any. An endpoint's own
// 4xx is an answer; a refusal of the system names its result code; anything
// else above 400 comes from something between, which knows nothing.
//
// Guard: a refusal that comes late, on a connection that carries the next
// request, would promise that this one was not run. Only the refusal of a request
// that the entry could not read names none, and that is not sent again.
func check(resp *http.Response, requestID string) error {
	if !httpstatus.IsValid(resp.StatusCode) {
		return result.Newf(result.OutcomeUnknown, "status %d", resp.StatusCode)
	}
	code, err := strconv.Atoi(resp.Header.Get(headerResult))
	if err != nil && resp.StatusCode >= http.StatusBadRequest {
		return result.Newf(result.OutcomeUnknown, "status %d without a result code", resp.StatusCode)
	}
	id := resp.Header.Get(headerRequestID)
	if code == int(result.OK) {
		return checkID(id, requestID)
	}
	refused := refusal(resp, result.Code(code))
	if id == "" && !retryable(refused, true) {
		return refused
	}
	if err := checkID(id, requestID); err != nil {
		return err
	}
	return refused
}

// checkID compares the request that a response names with the one that was sent.
func checkID(id, requestID string) error {
	if id != requestID {
		return result.Newf(result.OutcomeUnknown, "the answer is to request %q", id)
	}
	return nil
}

// errorBody is the body of a refusal and the data of an error event.
type errorBody struct {
	Error struct {
		Code             int    `json:"code"`
		Detail           string `json:"detail"`
		RetryAfterMillis int64  `json:"retryAfterMillis"`
	} `json:"error"`
}

func (b *errorBody) result() *result.Error {
	after := time.Duration(b.Error.RetryAfterMillis) * time.Millisecond
	return result.New(result.Code(b.Error.Code), b.Error.Detail).WithRetryAfter(after)
}

// refusal reads the error's body. The header has the code and the time in seconds,
// for a body that was cut.
func refusal(resp *http.Response, code result.Code) error {
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	var b errorBody
	if err != nil || json.Unmarshal(raw, &b) != nil || b.Error.Code != int(code) {
		return result.New(code, "").WithRetryAfter(retryafter.Parse(resp.Header.Get(retryafter.Header)))
	}
	return b.result()
}

// framed reports whether the end of the body can be told from the end of a
// connection that broke. Only HTTP/1 has bodies without length and chunks.
func framed(resp *http.Response) bool {
	bodiless := resp.Request.Method == http.MethodHead
	return bodiless || resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.ProtoMajor > 1 || resp.Uncompressed
}

// whole reads an answer to its end.
func whole(resp *http.Response, requestID string) (*Answer, error) {
	if !framed(resp) {
		return nil, result.New(result.AnswerIncomplete, "answer of unknown length")
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil {
		return nil, result.Newf(result.AnswerIncomplete, "%v", err)
	}
	if len(body) > maxAnswerBytes {
		return nil, result.New(result.AnswerIncomplete, fmt.Sprintf("answer over %d bytes", maxAnswerBytes))
	}
	return &Answer{
		requestID:   requestID,
		status:      resp.StatusCode,
		contentType: resp.Header.Get("Content-Type"),
		body:        body,
	}, nil
}
