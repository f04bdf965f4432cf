package client

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Chat is a request to a model.
type Chat struct {
	Model    string
	Messages []Message
	// MaxTokens bounds the answer; zero leaves it to the model.
	MaxTokens int
	// RequestID is made up when it is empty.
	RequestID string
	// Priority is the name of a priority, or empty.
	Priority string
}

type chatBody struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	Stream    bool      `json:"stream,omitempty"`
}

// chatCall returns the call that asks for the chat.
func (c *Client) chatCall(q Chat, stream bool) (*call, error) {
	body, err := json.Marshal(chatBody{q.Model, q.Messages, q.MaxTokens, stream})
	if err != nil {
		return nil, result.Newf(result.MalformedRequest, "%v", err)
	}
	k := &call{
		method:      http.MethodPost,
		path:        pathChat,
		requestID:   q.RequestID,
		contentType: "application/json",
		body:        body,
		priority:    q.Priority,
	}
	return k, c.prepare(k)
}

// Chat asks a model and returns the whole answer as JSON.
func (c *Client) Chat(ctx context.Context, q Chat) (*Answer, error) {
	k, err := c.chatCall(q, false)
	if err != nil {
		return nil, err
	}
	next := k
	for n := 1; ; n++ {
		a, err := c.once(ctx, next)
		if err == nil {
			return a, nil
		}
		if !again(ctx, err, 0) || n >= c.attempts() || !c.pause(ctx, err, n) {
			return nil, err
		}
		next = c.follow(k, err, "", 0)
	}
}

// again says whether a chat of which have pieces have arrived goes on after
// err. A connection that breaks can make an entry believe that its caller left:
// then the answer was cancelled while the caller still waits, and is asked for
// anew unless a part of it has arrived.
func again(ctx context.Context, err error, have uint64) bool {
	switch result.CodeOf(err) {
	case result.AnswerNotFound:
		return true
	case result.Cancelled:
		return have == 0 && ctx.Err() == nil
	default:
		return retryable(err, true)
	}
}

// follow returns what to send after err: where the first sending may have
// been run, its answer is asked for before it is run again. An answer that
// nobody has is asked for anew, unless a part of it has arrived.
func (c *Client) follow(k *call, err error, fetchID string, have uint64) *call {
	code := result.CodeOf(err)
	lost := code == result.AnswerNotFound || code == result.Cancelled
	if have == 0 && (lost || code.Effect() == result.NotRun) {
		return k
	}
	return k.fetch(fetchID, have)
}
