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

	headerAuthorization = "Authorization"
	headerRequestID     = "X-Request-Id"
	headerKey           = "Idempotency-Key"
	headerDeadline      = "X-Deadline-Ms"
	headerPriority      = "X-Priority"

	bearer = "Bearer "
)

const (
	// maxIDBytes bounds request ids and idempotency keys, which are kept in
	// tables and in the platform's service.
	maxIDBytes = 128
	// maxDeadline bounds what a caller may ask for, so that no request holds
	// its place for ever.
	maxDeadline = time.Hour
	// bytesPerToken estimates a prompt's tokens from its length.
	bytesPerToken = 4
	// prefixBytes is how much of a prompt decides its cache affinity: about
	// the length of a system prompt.
	prefixBytes = 1024
)

// Kind is what a caller asks for: Chat, ServiceCall, Fetch, Health or
// Readiness.
type Kind interface{ kind() }

// Chat asks a model.
type Chat struct {
	stream       bool
	outputTokens int
	prefixHash   uint64
}

// ServiceCall asks a plain service.
type ServiceCall struct{}

// Fetch asks for an answer again.
type Fetch struct {
	from     uint64
	endpoint string
	serial   uint64
}

// Health asks whether the process lives.
type Health struct{}

// Readiness asks whether the entry may be given requests.
type Readiness struct{}

func (Chat) kind()        {}
func (ServiceCall) kind() {}
func (Fetch) kind()       {}
func (Health) kind()      {}
func (Readiness) kind()   {}

// Stream reports whether the caller wants server-sent events.
func (c Chat) Stream() bool { return c.stream }

// OutputTokens returns the most tokens that the caller allows for, or zero when
// it names no limit.
func (c Chat) OutputTokens() int { return c.outputTokens }

// PrefixHash names the start of the prompt.
func (c Chat) PrefixHash() uint64 { return c.prefixHash }

// From returns the number of the first piece that the caller lacks.
func (f Fetch) From() uint64 { return f.from }

// Serial returns the serial of the attempt that the fetch id names, or zero.
func (f Fetch) Serial() uint64 { return f.serial }

// Endpoint returns the endpoint that the fetch id names, or "" when the caller
// knows only the request id.
func (f Fetch) Endpoint() string { return f.endpoint }

// Request is one request whose form has been checked.
type Request struct {
	id             string
	key            string
	kind           Kind
	route          string
	method         string
	path           string
	contentType    string
	body           []byte
	priority       string
	budget         time.Duration
	idempotencyKey string
}

// ID returns the request id, which the entry made up if the caller sent none.
func (r *Request) ID() string { return r.id }

// WithID returns a copy of the request under another id.
func (r *Request) WithID(id string) *Request {
	c := *r
	c.id = id
	return &c
}

// AccountKey returns the secret that names the caller's account.
func (r *Request) AccountKey() string { return r.key }

// Kind returns what is asked for.
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

// Priority returns the name of the priority, or "".
func (r *Request) Priority() string { return r.priority }

// Budget returns the time until the deadline, or zero for the route's own.
func (r *Request) Budget() time.Duration { return r.budget }

// IdempotencyKey returns the caller's idempotency key, or "".
func (r *Request) IdempotencyKey() string { return r.idempotencyKey }

// PromptTokens estimates the tokens of the body.
func (r *Request) PromptTokens() int { return len(r.body)/bytesPerToken + 1 }
