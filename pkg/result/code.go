package result

import "net/http"

// Effect says whether the request behind a result was run at an endpoint.
type Effect int

const (
	// NotApplicable marks results that answer no request to an endpoint, such
	// as operator orders.
	NotApplicable Effect = iota
	// NotRun means the request has not been run and will not be.
	NotRun
	// Ran means the request reached its endpoint and was run.
	Ran
	// Unknown means that the request may or may not have been run.
	Unknown
)

// String returns the effect as it is written in headers and JSON.
func (e Effect) String() string {
	switch e {
	case NotRun:
		return "notRun"
	case Ran:
		return "ran"
	case Unknown:
		return "unknown"
	default:
		return "notApplicable"
	}
}

// Code is the number of a result.
type Code int

// The result codes. docs/RESULTCODES.md tells for each what the receiver can do.
const (
	OK Code = 0

	MalformedRequest   Code = 1001
	BadAccountKey      Code = 1002
	UnknownRoute       Code = 1003
	BodyTooLarge       Code = 1004
	BadHeader          Code = 1005
	RequestTooSlow     Code = 1006
	KeyReused          Code = 1007
	KeyMissing         Code = 1008
	AnswerNotFound     Code = 1009
	TooManyConnections Code = 1010
	RequestIDReused    Code = 1011

	AccountRate        Code = 2001
	AccountConcurrency Code = 2002
	QueueFull          Code = 2003
	DeadlineUnmeetable Code = 2004
	NoEndpoint         Code = 2005
	EndpointBusy       Code = 2006
	EndpointCold       Code = 2007
	EndpointLeaving    Code = 2008
	OutOfService       Code = 2009
	ShuttingDown       Code = 2010
	PlatformDown       Code = 2011
	DeadlinePassed     Code = 2012
	ClaimHeld          Code = 2013
	NoPreset           Code = 2014
	NotServedHere      Code = 2015
	RetryBudget        Code = 2016
	EndpointDown       Code = 2017
	Displaced          Code = 2018
	GroupClosed        Code = 2019
	EndpointLimited    Code = 2020
	EntryFull          Code = 2021
	EndpointResting    Code = 2022
	PromptPartRefused  Code = 2023
	RequestRefused     Code = 2024
	HeldBack           Code = 2025

	OutcomeUnknown   Code = 3001
	EndpointFailed   Code = 3002
	AnswerIncomplete Code = 3003
	DeadlineExceeded Code = 3004
	Cancelled        Code = 3005
	AnswerLost       Code = 3006
	CallerStalled    Code = 3007
	EndpointStalled  Code = 3008
	ResponseLimit    Code = 3009
	ResponseMemory   Code = 3010
	StoppedUnknown   Code = 3011

	BadToken           Code = 4001
	Conflict           Code = 4002
	PresetInvalid      Code = 4003
	UnknownPreset      Code = 4004
	UnknownDataCentre  Code = 4005
	UnknownEndpoint    Code = 4006
	WriteUnknown       Code = 4007
	PlatformRefused    Code = 4008
	HeldLocally        Code = 4009
	UnknownClaim       Code = 4010
	ClaimRunning       Code = 4011
	MalformedOrder     Code = 4012
	EntryUnreachable   Code = 4013
	DocumentUnreadable Code = 4014

	UnknownSetting   Code = 5001
	BadAddress       Code = 5002
	MissingSetting   Code = 5003
	BadSetting       Code = 5004
	SettingsFile     Code = 5005
	AddressInUse     Code = 5006
	BadCertificate   Code = 5007
	InsecureSettings Code = 5008

	PeerUnknown  Code = 6001
	StaleFencing Code = 6002
	MapMissing   Code = 6003
	MalformedMsg Code = 6004
)

// Info describes a code.
type Info struct {
	name   string
	effect Effect
	status int
	text   string
}

// Name returns the code's camel-case name.
func (i Info) Name() string { return i.name }

// Effect returns whether a request with this result was run.
func (i Info) Effect() Effect { return i.effect }

// Status returns the HTTP status that carries the code.
func (i Info) Status() int { return i.status }

// Text returns one sentence for the reader of an error.
func (i Info) Text() string { return i.text }

// statusClosedRequest is the status that servers log for a caller who left.
const statusClosedRequest = 499

var table = map[Code]Info{
	OK: {"ok", Ran, http.StatusOK, "done"},

	MalformedRequest:   {"malformedRequest", NotRun, http.StatusBadRequest, "the request can't be read"},
	BadAccountKey:      {"badAccountKey", NotRun, http.StatusUnauthorized, "the account key is missing or unknown"},
	UnknownRoute:       {"unknownRoute", NotRun, http.StatusNotFound, "no model or service of the preset has this name"},
	BodyTooLarge:       {"bodyTooLarge", NotRun, http.StatusRequestEntityTooLarge, "the body is larger than the settings allow"},
	BadHeader:          {"badHeader", NotRun, http.StatusBadRequest, "a header has a value that is not allowed"},
	RequestTooSlow:     {"requestTooSlow", NotRun, http.StatusRequestTimeout, "the request did not arrive whole in time"},
	KeyReused:          {"keyReused", NotRun, http.StatusConflict, "the idempotency key was used with another body"},
	KeyMissing:         {"keyMissing", NotRun, http.StatusBadRequest, "this service needs an idempotency key"},
	AnswerNotFound:     {"answerNotFound", NotApplicable, http.StatusNotFound, "no answer is kept under this id"},
	TooManyConnections: {"tooManyConnections", NotRun, http.StatusServiceUnavailable, "the entry has as many connections as its settings allow"},
	RequestIDReused:    {"requestIdReused", NotRun, http.StatusConflict, "the request id was used with another body"},

	AccountRate:        {"accountRate", NotRun, http.StatusTooManyRequests, "the account's rate is used up"},
	AccountConcurrency: {"accountConcurrency", NotRun, http.StatusTooManyRequests, "the account has as many requests open as it may"},
	QueueFull:          {"queueFull", NotRun, http.StatusServiceUnavailable, "the queue is full of work that is worth more"},
	DeadlineUnmeetable: {"deadlineUnmeetable", NotRun, http.StatusServiceUnavailable, "the answer would come after its deadline"},
	NoEndpoint:         {"noEndpoint", NotRun, http.StatusServiceUnavailable, "no endpoint in service can take the request"},
	EndpointBusy:       {"endpointBusy", NotRun, http.StatusServiceUnavailable, "the endpoint runs as much as it can bear"},
	EndpointCold:       {"endpointCold", NotRun, http.StatusServiceUnavailable, "the endpoint is in cold start and bears no more yet"},
	EndpointLeaving:    {"endpointLeaving", NotRun, http.StatusServiceUnavailable, "the endpoint is leaving"},
	OutOfService:       {"outOfService", NotRun, http.StatusServiceUnavailable, "the endpoint or its data centre is out of service"},
	ShuttingDown:       {"shuttingDown", NotRun, http.StatusServiceUnavailable, "the process takes no new work because it is stopping"},
	PlatformDown:       {"platformDown", NotRun, http.StatusServiceUnavailable, "a request that may run only once needs the platform's service, which does not answer"},
	DeadlinePassed:     {"deadlinePassed", NotRun, http.StatusGatewayTimeout, "the deadline passed before the request was run"},
	ClaimHeld:          {"claimHeld", NotRun, http.StatusConflict, "another attempt holds the claim on this idempotency key"},
	NoPreset:           {"noPreset", NotRun, http.StatusServiceUnavailable, "no preset is in force yet"},
	NotServedHere:      {"notServedHere", NotRun, http.StatusServiceUnavailable, "the endpoint does not serve this model or service"},
	RetryBudget:        {"retryBudget", Unknown, http.StatusServiceUnavailable, "an attempt failed and the retry budget is used up"},
	EndpointDown:       {"endpointDown", NotRun, http.StatusServiceUnavailable, "the endpoint does not accept connections"},
	Displaced:          {"displaced", NotRun, http.StatusServiceUnavailable, "work that is worth more took the place in the queue"},
	GroupClosed:        {"groupClosed", NotRun, http.StatusServiceUnavailable, "the engines' group takes no requests now"},
	EndpointLimited:    {"endpointLimited", NotRun, http.StatusServiceUnavailable, "the endpoints name limits of which this entry has no share"},
	EntryFull:          {"entryFull", NotRun, http.StatusServiceUnavailable, "the entry holds as many bytes for callers as its memory allows"},
	EndpointResting:    {"endpointResting", NotRun, http.StatusServiceUnavailable, "all endpoints have asked this entry for a rest"},

	PromptPartRefused: {"promptPartRefused", NotRun, http.StatusServiceUnavailable, "endpoints have crashed on a part of this prompt"},
	RequestRefused:    {"requestRefused", NotRun, http.StatusServiceUnavailable, "endpoints have ended under this request"},
	HeldBack:          {"heldBack", NotRun, http.StatusServiceUnavailable, "operators hold back this class of requests or this account"},

	OutcomeUnknown:   {"outcomeUnknown", Unknown, http.StatusBadGateway, "the request may have been run; ask again with the same key or fetch the answer"},
	EndpointFailed:   {"endpointFailed", Ran, http.StatusBadGateway, "the endpoint ran the request and failed"},
	AnswerIncomplete: {"answerIncomplete", Unknown, http.StatusBadGateway, "only a part of the answer arrived"},
	DeadlineExceeded: {"deadlineExceeded", Unknown, http.StatusGatewayTimeout, "the deadline passed while the request ran"},
	Cancelled:        {"cancelled", Unknown, statusClosedRequest, "the caller left"},
	AnswerLost:       {"answerLost", Ran, http.StatusGone, "the request was run before and its answer is no longer kept"},
	CallerStalled:    {"callerStalled", Unknown, statusClosedRequest, "the caller did not read its answer and was cut off"},
	EndpointStalled:  {"endpointStalled", Unknown, http.StatusBadGateway, "the endpoint did not read the request and was cut off"},
	ResponseLimit:    {"responseLimit", Unknown, http.StatusBadGateway, "the endpoint's response exceeded a limit and its connection was closed"},
	ResponseMemory:   {"responseMemory", Unknown, http.StatusBadGateway, "the response needed more memory than the entry has for responses, and its connection was closed"},
	StoppedUnknown:   {"stoppedUnknown", Unknown, http.StatusGatewayTimeout, "the process stopped before the endpoint answered"},

	BadToken:           {"badToken", NotApplicable, http.StatusUnauthorized, "the operator token is missing or wrong"},
	Conflict:           {"conflict", NotApplicable, http.StatusConflict, "another operator's change came first; read and decide again"},
	PresetInvalid:      {"presetInvalid", NotApplicable, http.StatusUnprocessableEntity, "the preset has faults"},
	UnknownPreset:      {"unknownPreset", NotApplicable, http.StatusNotFound, "no preset has this name"},
	UnknownDataCentre:  {"unknownDataCentre", NotApplicable, http.StatusNotFound, "the preset in force names no such data centre"},
	UnknownEndpoint:    {"unknownEndpoint", NotApplicable, http.StatusNotFound, "no endpoint has this name"},
	WriteUnknown:       {"writeUnknown", NotApplicable, http.StatusGatewayTimeout, "the change may have been accepted; ask again with the same change id"},
	PlatformRefused:    {"platformRefused", NotApplicable, http.StatusServiceUnavailable, "the platform's service does not answer; the change was not made"},
	HeldLocally:        {"heldLocally", NotApplicable, http.StatusAccepted, "the order holds in this data centre and joins the configuration when the platform answers"},
	UnknownClaim:       {"unknownClaim", NotApplicable, http.StatusNotFound, "no open claim has this key"},
	ClaimRunning:       {"claimRunning", NotApplicable, http.StatusConflict, "the claim's agent still lives and may run it"},
	MalformedOrder:     {"malformedOrder", NotApplicable, http.StatusBadRequest, "the order can't be read"},
	EntryUnreachable:   {"entryUnreachable", NotApplicable, http.StatusBadGateway, "no entry answers at the address"},
	DocumentUnreadable: {"documentUnreadable", NotApplicable, http.StatusInternalServerError, "the stored configuration can't be read; the newest known stays in force"},

	UnknownSetting:   {"unknownSetting", NotApplicable, 0, "the settings have a key that the process does not know"},
	BadAddress:       {"badAddress", NotApplicable, 0, "an address in the settings is not IP:port"},
	MissingSetting:   {"missingSetting", NotApplicable, 0, "a setting that is needed is missing"},
	BadSetting:       {"badSetting", NotApplicable, 0, "a setting has a value that is not allowed"},
	SettingsFile:     {"settingsFile", NotApplicable, 0, "the settings file can't be read"},
	AddressInUse:     {"addressInUse", NotApplicable, 0, "an address in the settings can't be listened on"},
	BadCertificate:   {"badCertificate", NotApplicable, 0, "a certificate or key in the settings can't be used"},
	InsecureSettings: {"insecureSettings", NotApplicable, 0, "TLS is neither set up nor turned off"},

	PeerUnknown:  {"peerUnknown", NotRun, 0, "the peer has shown no certificate of this system"},
	StaleFencing: {"staleFencing", NotRun, 0, "the order carries an older fencing token than one already seen"},
	MapMissing:   {"mapMissing", NotRun, 0, "a rank has not been given the expert map"},
	MalformedMsg: {"malformedMessage", NotRun, 0, "a message between processes can't be read"},
}

// Lookup returns the description of c and whether c is defined.
func Lookup(c Code) (Info, bool) {
	i, ok := table[c]
	return i, ok
}

// Codes returns all defined codes in no particular order.
func Codes() []Code {
	cs := make([]Code, 0, len(table))
	for c := range table {
		cs = append(cs, c)
	}
	return cs
}

// String returns the code's camel-case name.
func (c Code) String() string { return table[c].name }

// Effect returns whether a request with this result was run. Codes that are
// not defined are Unknown: a newer peer may have sent them.
func (c Code) Effect() Effect {
	i, ok := table[c]
	if !ok {
		return Unknown
	}
	return i.effect
}
