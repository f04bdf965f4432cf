package routing

import (
	"sort"
	"strings"
	"time"
)

// RetrySemantics says whether a request may run more than once.
type RetrySemantics int

// Values of RetrySemantics.
const (
	// RunOnce requests run at most once for each attempt of a caller.
	RunOnce RetrySemantics = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Stream requests are answered with numbered events. They run once, unless their route is
	// resumable.
	Stream
)

// String returns the camel-case name used in metrics.
func (r RetrySemantics) String() string {
	return [...]string{"runOnce", "idempotent", "stream"}[r]
}

// Split is one target service of a route with its weight in the traffic split.
type Split struct {
	Service string
	// Weight is relative to the sum of the route's weights.
	Weight float64
}

// Route defines how requests with one host and path prefix are handled.
type Route struct {
	Name           string
	Host           string
	Prefix         string
	RetrySemantics RetrySemantics
	// Timeout bounds the handling of a request; zero means that the route sets no bound.
	Timeout time.Duration
	// TargetLatency is the longest time to the first part of the answer, or to the whole answer if
	// it is not streamed, for which the answer has its full value. MaxGap is the longest acceptable
	// pause between the events of a stream.
	TargetLatency, MaxGap time.Duration
	// Patience is the time without any part of the answer after which a caller gives up; zero means
	// that it waits until its deadline.
	Patience time.Duration
	// Priority orders requests; 0 is the highest priority.
	Priority int
	// MaxAttempts is the number of endpoints to which one attempt of a caller may be sent.
	MaxAttempts int
	// Anonymous means that requests need no account key.
	Anonymous bool
	// Resumable means that an interrupted stream may continue at another endpoint.
	Resumable bool
	Splits    []Split
}

// MayRetry reports whether a request may be sent again after it may already have run.
func (r *Route) MayRetry() bool {
	return r.RetrySemantics == Idempotent || r.RetrySemantics == Stream && r.Resumable
}

// Pick returns the service for a random number draw in [0, 1), in proportion to the weights of the
// splits. It returns "" if the route has none.
func (r *Route) Pick(draw float64) string {
	sum := 0.0
	for _, s := range r.Splits {
		sum += s.Weight
	}
	at := draw * sum
	for _, s := range r.Splits {
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	if len(r.Splits) == 0 {
		return ""
	}
	return r.Splits[len(r.Splits)-1].Service
}

// Service describes a service whose requests are balanced over a set of endpoints.
type Service struct {
	Name string
	// HealthPath is the path of an endpoint's health check.
	HealthPath string
	// MaxConns is the number of connections that one endpoint accepts from all clients together.
	MaxConns int
	// ColdStart is how long an endpoint stays cold after it starts, and ColdRate the number of
	// requests per second that a cold endpoint can handle. A rate of zero means that the service
	// has no cold start.
	ColdStart time.Duration
	ColdRate  float64
	// Engine is nil for a service without model engines.
	Engine *Engine
}

// Engine holds the performance parameters of a service's model engines.
type Engine struct {
	// Slots is the number of requests that one engine runs concurrently.
	Slots int
	// MemoryTokens is the number of context tokens that one engine can hold.
	MemoryTokens int
	// Stride is the number of token steps in one pass.
	Stride int
	// Step is the duration of a token step. Each request that is producing output adds PerSequence
	// to it, and each thousand tokens of context add PerThousandTokens.
	Step, PerSequence, PerThousandTokens time.Duration
	// PrefillRate is the number of prompt tokens read per second, and PrefillChunk the largest
	// number of them read in one step.
	PrefillRate  float64
	PrefillChunk int
	// MeanPrompt and MeanOutput are the mean numbers of tokens of a request.
	MeanPrompt, MeanOutput int
	// ReportLag is the age of an engine's load report when another VM receives it.
	ReportLag time.Duration
	Experts   Experts
}

// Experts describes how the experts of a model are placed on the ranks of a group.
type Experts struct {
	// Sets is the number of sets of layers with a placement of their own, and Count the number of
	// experts in a set. Of each set a rank holds Slots experts, and can load SpareSlots more while
	// those are in use.
	Sets, Count, Slots, SpareSlots int
	// Bytes is the size of one expert's weights, and LinkRate the rate, in bytes per second, at
	// which a rank loads weights.
	Bytes, LinkRate float64
	// Share is the fraction of a pass's work that is done by experts.
	Share float64
}

// Account is a client account.
type Account struct {
	Name string
	// Priority overrides the route's priority; -1 means that the account has none.
	Priority int
}

// Limits bounds the size and duration of callers' requests.
type Limits struct {
	// HeaderBytes and BodyBytes bound the size of a request.
	HeaderBytes, BodyBytes int
	// HeaderTimeout bounds the time in which the request header must arrive, and IdleTimeout the
	// time between two requests on a connection.
	HeaderTimeout, IdleTimeout time.Duration
}

// Table is one immutable version of the configuration. Create it with NewTable.
type Table struct {
	version  uint64
	hosts    map[string][]*Route
	routes   int
	services map[string]*Service
	accounts map[string]*Account
	keys     map[string]*Account
	limits   Limits
	// classes holds the classes of the services that have them.
	classes map[string][]classKey
}

// AccountKeys is an account together with its keys.
type AccountKeys struct {
	Account Account
	Keys    []string
}

// NewTable returns a table of the given version. A nil accounts means that requests need no account
// key. The table keeps the arguments, which must not be changed afterwards.
func NewTable(version uint64, routes []*Route, services []*Service, accounts []AccountKeys, limits Limits) *Table {
	t := &Table{
		version:  version,
		hosts:    map[string][]*Route{},
		routes:   len(routes),
		services: make(map[string]*Service, len(services)),
		limits:   limits,
		classes:  serviceClasses(routes, accounts),
	}
	for _, r := range routes {
		t.hosts[r.Host] = append(t.hosts[r.Host], r)
	}
	for _, rs := range t.hosts {
		sort.SliceStable(rs, func(i, j int) bool { return len(rs[i].Prefix) > len(rs[j].Prefix) })
	}
	for _, s := range services {
		t.services[s.Name] = s
	}
	if accounts == nil {
		return t
	}
	t.accounts = make(map[string]*Account, len(accounts))
	t.keys = map[string]*Account{}
	for i := range accounts {
		a := &accounts[i].Account
		t.accounts[a.Name] = a
		for _, k := range accounts[i].Keys {
			t.keys[k] = a
		}
	}
	return t
}

// Version returns the version, which increases with each change.
func (t *Table) Version() uint64 { return t.version }

// Routes returns the number of routes.
func (t *Table) Routes() int { return t.routes }

// Limits returns the bounds on callers' requests.
func (t *Table) Limits() Limits { return t.limits }

// Route returns the route of the host with the longest prefix that matches path, or nil if there is
// none.
func (t *Table) Route(host, path string) *Route {
	for _, r := range t.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns the service with the given name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Services returns all services in unspecified order.
func (t *Table) Services() []*Service {
	out := make([]*Service, 0, len(t.services))
	for _, s := range t.services {
		out = append(out, s)
	}
	return out
}

// Accounts returns the names of all accounts in unspecified order.
func (t *Table) Accounts() []string {
	out := make([]string, 0, len(t.accounts))
	for name := range t.accounts {
		out = append(out, name)
	}
	return out
}

// MaxGaps returns, by service, the smallest MaxGap of the routes to it. Services whose routes set
// no MaxGap are absent.
func (t *Table) MaxGaps() map[string]time.Duration {
	out := map[string]time.Duration{}
	for _, routes := range t.hosts {
		for _, r := range routes {
			if r.MaxGap <= 0 {
				continue
			}
			for _, s := range r.Splits {
				if g, ok := out[s.Service]; !ok || r.MaxGap < g {
					out[s.Service] = r.MaxGap
				}
			}
		}
	}
	return out
}

// NeedsKeys reports whether requests need an account key, except on anonymous routes.
func (t *Table) NeedsKeys() bool { return t.keys != nil }

// Account returns the account to which key belongs, or nil.
func (t *Table) Account(key string) *Account { return t.keys[key] }
