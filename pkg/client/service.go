package client

import (
	"context"
	"net/http"
	"net/url"
	"strings"
)

// ServiceCall is one call of a plain service.
type ServiceCall struct {
	// Service is the service's name in the preset.
	Service string
	// Method and Path go to the service; the path is relative to it.
	Method string
	Path   string
	// ContentType and Body may be empty.
	ContentType string
	Body        []byte
	// IdempotencyKey names the effect that is wanted. Calls with one key run at
	// most once; without a key a call of unknown outcome is not repeated,
	// unless Method only reads.
	IdempotencyKey string
	// RequestID is made up when it is empty.
	RequestID string
	// Priority is the name of a priority, or empty.
	Priority string
}

// Service makes a call of a plain service and returns the whole answer.
func (c *Client) Service(ctx context.Context, s ServiceCall) (*Answer, error) {
	k := &call{
		method:         s.Method,
		path:           pathServices + url.PathEscape(s.Service) + "/" + strings.TrimPrefix(s.Path, "/"),
		requestID:      s.RequestID,
		contentType:    s.ContentType,
		body:           s.Body,
		idempotencyKey: s.IdempotencyKey,
		priority:       s.Priority,
	}
	if err := c.prepare(k); err != nil {
		return nil, err
	}
	safe := s.Method == http.MethodGet || s.Method == http.MethodHead
	return c.untilWhole(ctx, k, safe || s.IdempotencyKey != "")
}

// prepare checks the client and gives the call an id.
func (c *Client) prepare(k *call) error {
	if len(c.Entries) == 0 {
		return ErrNoEntries
	}
	var err error
	if k.requestID == "" {
		k.requestID, err = newRequestID()
	}
	return err
}

// untilWhole sends k until its answer is whole or repeating can't help.
func (c *Client) untilWhole(ctx context.Context, k *call, repeatable bool) (*Answer, error) {
	for n := 1; ; n++ {
		a, err := c.once(ctx, k)
		if err == nil {
			return a, nil
		}
		if n >= c.attempts() || !retryable(err, repeatable) || !c.pause(ctx, err, n) {
			return nil, err
		}
	}
}

func (c *Client) once(ctx context.Context, k *call) (*Answer, error) {
	entry := c.entry()
	resp, err := c.send(ctx, k)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }() // What was read is judged already.
	a, err := whole(resp, k.requestID)
	if err != nil {
		c.leave(entry)
	}
	return a, err
}
