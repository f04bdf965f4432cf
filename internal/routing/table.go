package routing

import (
	"sort"
	"strings"
	"time"
)

// Repeat says how often a request may run.
type Repeat int

// The kinds of requests.
const (
	// RunOnce requests may run at most once for each attempt of a caller.
	RunOnce Repeat = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Stream requests are answered by numbered events and run once, unless
	// their route is resumable.
	Stream
)

// String returns the kind's camel-case name.
func (r Repeat) String() string {
	return [...]string{"runOnce", "idempotent", "stream"}[r]
}

// Split is one target of a route with its share of the traffic.
type Split struct {
	Service string
	// Weight is relative to the sum of the route's weights.
	Weight float64
}

// Route says how requests of one host and path prefix are served.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Repeat Repeat
	// Timeout is the longest that a caller is kept waiting; zero means no bound.
	Timeout time.Duration
	// Target is the time to the (first part of the) answer in which it has its
	// full worth, and Gap the longest pause between events.
	Target, Gap time.Duration
	// Patience is after how long without a part of the answer a caller leaves;
	// zero means not before its time is over.
	Patience time.Duration
	// Priority is the rank of the requests; 0 is the highest.
	Priority int
	// MaxAttempts is how many endpoints one attempt of a caller may be sent to.
	MaxAttempts int
	// Anonymous says that no account key is needed.
	Anonymous bool
	// Resumable says that a broken stream may go on at another endpoint.
	Resumable bool
	Splits    []Split
}

// MayRepeat reports whether a request that may have run may run again.
func (r *Route) MayRepeat() bool {
	return r.Repeat == Idempotent || r.Repeat == Stream && r.Resumable
}

// Pick returns the service for a request whose draw is in [0, 1), and "" when
// the route has none.
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

// Service describes the endpoints of one service.
type Service struct {
	Name string
	// HealthPath is asked for an endpoint's health.
	HealthPath string
	// MaxConns is how many connections one endpoint accepts from all callers
	// together.
	MaxConns int
	// ColdStart is how long an endpoint stays cold after its start, and
	// ColdRate how many requests a second it bears meanwhile. A rate of zero
	// means that the service has no cold start.
	ColdStart time.Duration
	ColdRate  float64
	// Engine is nil for a plain service.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is how many requests one engine runs at once.
	Slots int
	// MemoryTokens is how many tokens of context one engine holds.
	MemoryTokens int
	// Stride is how many token steps one pass takes.
	Stride int
	// Step is the time of a token step, PerSequence what each writing request
	// adds to it, and PerThousand what each thousand tokens of context add.
	Step, PerSequence, PerThousand time.Duration
	// ReadRate is how many prompt tokens are read a second, and Chunk how many
	// of them in one step at most.
	ReadRate float64
	Chunk    int
	// MeanPrompt and MeanOutput are the usual tokens of a request.
	MeanPrompt, MeanOutput int
	// ReportLag is how old a report is that an engine gives to another VM.
	ReportLag time.Duration
	Experts   Experts
}

// Experts describes how experts are placed on the ranks of a group.
type Experts struct {
	// Sets is how many sets of layers have a placement each, Count how many
	// experts a set has, Slots how many experts a rank holds of a set and
	// Spare how many further ones it can load while those are in use.
	Sets, Count, Slots, Spare int
	// Bytes is the size of one expert's weights, and LinkRate how many bytes a
	// second a rank loads.
	Bytes, LinkRate float64
	// Share is the part of a pass's work that experts do.
	Share float64
}

// Account is a client account.
type Account struct {
	Name string
	// Priority goes before the route's; it is -1 when the account has none.
	Priority int
}

// Limits bounds what callers send.
type Limits struct {
	// HeaderBytes and BodyBytes bound a request.
	HeaderBytes, BodyBytes int
	// HeaderTimeout bounds the arrival of a head and IdleTimeout the time
	// between two requests.
	HeaderTimeout, IdleTimeout time.Duration
}

// Table is one version of the configuration. Build it with NewTable.
type Table struct {
	version  uint64
	hosts    map[string][]*Route
	routes   int
	services map[string]*Service
	accounts map[string]*Account
	keys     map[string]*Account
	limits   Limits
}

// Keyed is an account with its keys.
type Keyed struct {
	Account Account
	Keys    []string
}

// NewTable returns a table. Accounts is nil when requests need no key at all.
func NewTable(version uint64, routes []*Route, services []*Service, accounts []Keyed, limits Limits) *Table {
	t := &Table{
		version:  version,
		hosts:    map[string][]*Route{},
		routes:   len(routes),
		services: make(map[string]*Service, len(services)),
		limits:   limits,
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

// Version returns the version, which grows with each change.
func (t *Table) Version() uint64 { return t.version }

// Routes returns how many routes there are.
func (t *Table) Routes() int { return t.routes }

// Limits returns the bounds on what callers send.
func (t *Table) Limits() Limits { return t.limits }

// Route returns the route with the longest prefix that begins path among those
// of host, or nil.
func (t *Table) Route(host, path string) *Route {
	for _, r := range t.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns a service by its name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Services returns all services in no particular order.
func (t *Table) Services() []*Service {
	out := make([]*Service, 0, len(t.services))
	for _, s := range t.services {
		out = append(out, s)
	}
	return out
}

// Accounts returns the names of all accounts in no particular order.
func (t *Table) Accounts() []string {
	out := make([]string, 0, len(t.accounts))
	for name := range t.accounts {
		out = append(out, name)
	}
	return out
}

// Gaps returns for each service with streams the shortest of the longest pauses
// between events that its routes allow.
func (t *Table) Gaps() map[string]time.Duration {
	out := map[string]time.Duration{}
	for _, routes := range t.hosts {
		for _, r := range routes {
			if r.Gap <= 0 {
				continue
			}
			for _, s := range r.Splits {
				if g, ok := out[s.Service]; !ok || r.Gap < g {
					out[s.Service] = r.Gap
				}
			}
		}
	}
	return out
}

// NeedsKeys reports whether requests need an account's key at all.
func (t *Table) NeedsKeys() bool { return t.keys != nil }

// Account returns the account that holds key, or nil.
func (t *Table) Account(key string) *Account { return t.keys[key] }
