package operator

// ChangeRequest is the body of a change.
type ChangeRequest struct {
	// ChangeID names the change: 1 to 64 printable characters.
	ChangeID string `json:"changeId"`
	// By is the operator's name; "operator" when empty.
	By string `json:"by,omitempty"`
	// IfGeneration is the generation that the change was decided by; 0 is any.
	IfGeneration uint64 `json:"ifGeneration,omitempty"`
}

// PutRequest is the body that writes a preset.
type PutRequest struct {
	ChangeRequest
	// Text is the preset as INI.
	Text string `json:"text"`
}

// The outcomes of a claimed request that an operator can find.
const (
	OutcomeRan    = "ran"
	OutcomeNotRun = "notRun"
)

// ReleaseRequest is the body that releases a claim.
type ReleaseRequest struct {
	ChangeRequest
	Route   string `json:"route"`
	Account string `json:"account"`
	Key     string `json:"key"`
	// Outcome is OutcomeRan or OutcomeNotRun.
	Outcome string `json:"outcome"`
}

// ChangeReply answers a change that was accepted.
type ChangeReply struct {
	ChangeID   string `json:"changeId"`
	Generation uint64 `json:"generation"`
	InForce    string `json:"inForce"`
	// Held says that the change holds in this data centre alone until the
	// platform's service answers; Code is heldLocally then.
	Held   bool   `json:"held,omitempty"`
	Code   int    `json:"code"`
	Name   string `json:"name"`
	Detail string `json:"detail,omitempty"`
}

// ErrorReply is the body of a refusal.
type ErrorReply struct {
	Code             int         `json:"code"`
	Name             string      `json:"name"`
	Effect           string      `json:"effect"`
	Text             string      `json:"text"`
	Detail           string      `json:"detail,omitempty"`
	RetryAfterMillis int64       `json:"retryAfterMillis,omitempty"`
	Faults           []FaultView `json:"faults,omitempty"`
}

// FaultView is one fault of a preset.
type FaultView struct {
	Section string `json:"section,omitempty"`
	Key     string `json:"key,omitempty"`
	Line    int    `json:"line,omitempty"`
	Found   string `json:"found"`
	Allowed string `json:"allowed"`
}

// PresetList answers for all presets.
type PresetList struct {
	Generation uint64       `json:"generation"`
	InForce    string       `json:"inForce"`
	Presets    []PresetView `json:"presets"`
}

// PresetView is one preset. Text is there only when one was asked for.
type PresetView struct {
	Name    string `json:"name"`
	Digest  string `json:"digest"`
	Since   uint64 `json:"sinceGeneration"`
	InForce bool   `json:"inForce"`
	Text    string `json:"text,omitempty"`
}

// OutView is one order that keeps something out of service.
type OutView struct {
	Kind       string `json:"kind"`
	Name       string `json:"name"`
	By         string `json:"by"`
	AtMicros   int64  `json:"atMicros"`
	Generation uint64 `json:"generation,omitempty"`
	// Held says that the order is not yet in the platform's service.
	Held bool `json:"held,omitempty"`
}

// ClaimList answers for claims.
type ClaimList struct {
	Claims []Claim `json:"claims"`
}

// StatusReply describes the system as the asked entry sees it.
type StatusReply struct {
	Generation uint64        `json:"generation"`
	InForce    string        `json:"inForce"`
	Out        []OutView     `json:"out"`
	Processes  []ProcessView `json:"processes"`
	// Silent names the processes that did not answer in time.
	Silent []string `json:"silent"`
}

// ProcessView is one process.
type ProcessView struct {
	Process           string         `json:"process"`
	Role              string         `json:"role"`
	DataCentre        string         `json:"dataCentre"`
	Preset            string         `json:"preset"`
	Generation        uint64         `json:"generation"`
	Leaving           bool           `json:"leaving"`
	PlatformReachable bool           `json:"platformReachable"`
	Endpoints         []EndpointView `json:"endpoints,omitempty"`
	Accounts          []AccountView  `json:"accounts,omitempty"`
	// Ranks is absent when the process is no agent of a group of ranks.
	Ranks *RankView `json:"ranks,omitempty"`
}

// RankView is an agent's part in a group of ranks.
type RankView struct {
	Group string `json:"group"`
	// MapVersion is the map in force; 0 while the endpoint has none.
	MapVersion uint64 `json:"mapVersion,string"`
	Leads      bool   `json:"leads"`
}

// EndpointView is one endpoint as the process knows it.
type EndpointView struct {
	Name            string   `json:"name"`
	DataCentre      string   `json:"dataCentre"`
	Routes          []string `json:"routes,omitempty"`
	Capacity        uint32   `json:"capacity"`
	Allowance       uint32   `json:"allowance"`
	Running         uint32   `json:"running"`
	CommittedTokens uint64   `json:"committedTokens"`
	Cold            bool     `json:"cold"`
	Leaving         bool     `json:"leaving"`
	OutOfService    bool     `json:"outOfService"`
	Generation      uint64   `json:"generation"`
}

// AccountView is one account at one entry.
type AccountView struct {
	Name  string `json:"name"`
	Open  uint32 `json:"open"`
	Limit uint32 `json:"limit"`
}

// TimelineReply answers for events, in causal order.
type TimelineReply struct {
	Events []EventView `json:"events"`
	// Omitted is how many older events were left out.
	Omitted int      `json:"omitted,omitempty"`
	Silent  []string `json:"silent"`
}

// EventView is one event of one process.
type EventView struct {
	// Stamp is the reading of the hybrid logical clock, by which events of all
	// processes are ordered.
	Stamp      uint64 `json:"stamp"`
	Process    string `json:"process"`
	DataCentre string `json:"dataCentre"`
	Kind       string `json:"kind"`
	RequestID  string `json:"requestId,omitempty"`
	Endpoint   string `json:"endpoint,omitempty"`
	Detail     string `json:"detail,omitempty"`
	Number     uint64 `json:"number,omitempty"`
}
