package caller

import (
	"time"
)

// Paths and headers of the callers' API.
const (
	PathChat     = "/v1/chat/completions"
	PathServices = "/v1/services/"
	PathAnswers  = "/v1/answers/"
	pathHealth   = "/healthz"
	pathReady    = "/readyz"

	headerAuthorization  = "Authorization"
	headerRequestID      = "X-Request-Id"
	headerIdempotencyKey = "Idempotency-Key"
	headerDeadline       = "X-Deadline-Ms"
	headerPriority       = "X-Priority"

	bearerPrefix = "Bearer "
)

const (
	// maxIDBytes bounds request ids and idempotency keys, which are stored in tables and in the
	// platform's key-value service.
	maxIDBytes = 128
	// maxDeadline bounds the deadline that a caller may set, so that no request occupies its slot
	// indefinitely.
	maxDeadline = time.Hour
	// bytesPerToken is used to estimate the number of tokens of a prompt from its length.
	bytesPerToken = 4
	// prefixBytes is the length of the start of a prompt that determines its cache affinity: about
	// the length of a system prompt.
	prefixBytes = 1024
)

// Kind is the type of a request: Chat, ServiceCall, Fetch, Health or Readiness.
type Kind interface{ kind() }

// Chat is a chat completion request to a model.
type Chat struct {
	stream       bool
	outputTokens int
	prefixHash   uint64
}

// ServiceCall is a request to a plain service.
type ServiceCall struct{}

// Fetch is a request for the response to an earlier request.
type Fetch struct {
	firstPiece    uint64
	endpoint      string
	attemptSerial uint64
}

// Health is the check whether the process is alive.
type Health struct{}

// Readiness is the check whether the entry accepts requests.
type Readiness struct{}

func (Chat) kind()        {}
func (ServiceCall) kind() {}
func (Fetch) kind()       {}
func (Health) kind()      {}
func (Readiness) kind()   {}

// Stream reports whether the caller requests server-sent events.
func (c Chat) Stream() bool { return c.stream }

// OutputTokens returns the maximum number of output tokens, or zero if the caller sets none.
func (c Chat) OutputTokens() int { return c.outputTokens }

// PrefixHash returns the hash of the start of the prompt.
func (c Chat) PrefixHash() uint64 { return c.prefixHash }

// FirstPiece returns the number of the first piece that the caller has not received.
func (f Fetch) FirstPiece() uint64 { return f.firstPiece }

// AttemptSerial returns the serial number of the attempt in the fetch id, or zero if it has none.
func (f Fetch) AttemptSerial() uint64 { return f.attemptSerial }

// Endpoint returns the endpoint in the fetch id, or "" if the caller knows only the request id.
func (f Fetch) Endpoint() string { return f.endpoint }

// Request is a validated request.
type Request struct {
	id             string
	accountKey     string
	kind           Kind
	route          string
	method         string
	path           string
	contentType    string
	body           []byte
	priority       string
	timeout        time.Duration
	idempotencyKey string
}

// ID returns the request id. The entry generates one if the caller sent none.
func (r *Request) ID() string { return r.id }

// WithID returns a copy of the request with another id.
func (r *Request) WithID(id string) *Request {
	c := *r
	c.id = id
	return &c
}

// AccountKey returns the secret key that identifies the caller's account.
func (r *Request) AccountKey() string { return r.accountKey }

// Kind returns the type of the request.
func (r *Request) Kind() Kind { return r.kind }

// Route returns the name of the model or service.
func (r *Request) Route() string { return r.route }

// Method returns the HTTP method for the endpoint.
func (r *Request) Method() string { return r.method }

// Path returns the HTTP path and query for the endpoint.
func (r *Request) Path() string { return r.path }

// ContentType returns the body's content type.
func (r *Request) ContentType() string { return r.contentType }

// Body returns the body. The caller of Body must not change it.
func (r *Request) Body() []byte { return r.body }

// Priority returns the name of the priority, or "" if the caller sets none.
func (r *Request) Priority() string { return r.priority }

// Timeout returns the time until the deadline, or zero if the route's default applies.
func (r *Request) Timeout() time.Duration { return r.timeout }

// IdempotencyKey returns the caller's idempotency key, or "" if there is none.
func (r *Request) IdempotencyKey() string { return r.idempotencyKey }

// PromptTokens estimates the number of prompt tokens from the length of the body.
func (r *Request) PromptTokens() int { return len(r.body)/bytesPerToken + 1 }
