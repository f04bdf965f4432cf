package claim

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"
)

// MaxAnswerBytes is the maximum size in bytes of an answer that is stored with a
// record. Together with the batch limit it keeps a transaction below a
// megabyte.
const MaxAnswerBytes = 16 << 10

// maxRecordBytes bounds an encoded record: the answer in base64 plus the other
// fields.
const maxRecordBytes = 2*MaxAnswerBytes + 16<<10

// ErrMalformedRecord means that a stored record can't be decoded.
var ErrMalformedRecord = errors.New("claim: the record can't be read")

// State is the state of a claimed request.
type State int

const (
	// Claimed means that an agent may run the request or is running it.
	Claimed State = iota + 1
	// Unsettled means that the request was sent to the endpoint and that it is
	// not known whether it was run.
	Unsettled
	// Completed means that the endpoint ran the request.
	Completed
	// Failed means that the endpoint ran the request and reported a failure.
	Failed
	// Ran means that an operator determined that the request was run.
	Ran
	// NotRun means that the request was not run and won't be run under this
	// claim.
	NotRun
)

var stateNames = map[State]string{
	Claimed:   "claimed",
	Unsettled: "unsettled",
	Completed: "completed",
	Failed:    "failed",
	Ran:       "ran",
	NotRun:    "notRun",
}

// String returns the state's camel-case name.
func (s State) String() string { return stateNames[s] }

// isOpen reports whether records in this state are stored under OpenPrefix.
func (s State) isOpen() bool { return s == Claimed || s == Unsettled }

// Answer is the answer of an endpoint.
type Answer struct {
	// Status is the HTTP status.
	Status int
	// ContentType describes Body.
	ContentType string
	// Body is the answer's body. It is not stored when larger than
	// MaxAnswerBytes.
	Body []byte
}

// Record is a claim as it is stored.
type Record struct {
	key           Key
	bodyDigest    string
	requestID     string
	attemptID     string
	agent         string
	endpoint      string
	incarnation   uint64
	state         State
	updatedAt     time.Time
	releasedBy    string
	answer        Answer
	answerDropped bool
}

// Key returns the key of the claimed request.
func (r Record) Key() Key { return r.key }

// BodyDigest returns the digest of the request's body.
func (r Record) BodyDigest() string { return r.bodyDigest }

// RequestID returns the id of the request that made the claim.
func (r Record) RequestID() string { return r.requestID }

// AttemptID returns the id of the attempt that made the claim.
func (r Record) AttemptID() string { return r.attemptID }

// Agent returns the address of the agent that made the claim.
func (r Record) Agent() string { return r.agent }

// Endpoint returns the name of the agent's endpoint.
func (r Record) Endpoint() string { return r.endpoint }

// Incarnation returns the agent's incarnation.
func (r Record) Incarnation() uint64 { return r.incarnation }

// State returns the state of the claimed request.
func (r Record) State() State { return r.state }

// UpdatedAt returns when the state was set, by the wall clock of the process
// that set it. It is informational only.
func (r Record) UpdatedAt() time.Time { return r.updatedAt }

// ReleasedBy returns the operator who released the claim, or "".
func (r Record) ReleasedBy() string { return r.releasedBy }

// Answer returns the stored answer and whether it is complete. It is incomplete
// when the body was too large to store and when there is no answer.
func (r Record) Answer() (Answer, bool) {
	return r.answer, !r.answerDropped && r.answer.Status != 0
}

func (r Record) withState(s State, a Answer, now time.Time) Record {
	r.state = s
	r.updatedAt = time.UnixMicro(now.UnixMicro()).UTC()
	r.answer = a
	if len(a.Body) > MaxAnswerBytes {
		r.answer.Body = nil
		r.answerDropped = true
	}
	return r
}

type recordJSON struct {
	Service        string `json:"service"`
	Account        string `json:"account"`
	IdempotencyKey string `json:"idempotencyKey"`
	BodyDigest     string `json:"bodyDigest"`
	RequestID      string `json:"requestId"`
	AttemptID      string `json:"attemptId"`
	Agent          string `json:"agent"`
	Endpoint       string `json:"endpoint"`
	Incarnation    uint64 `json:"incarnation"`
	State          string `json:"state"`
	AtMicros       int64  `json:"atMicros"`
	ReleasedBy     string `json:"releasedBy,omitempty"`
	Status         int    `json:"status,omitempty"`
	ContentType    string `json:"contentType,omitempty"`
	Answer         []byte `json:"answer,omitempty"`
	AnswerDropped  bool   `json:"answerDropped,omitempty"`
}

// Encode returns the record as JSON with camelCase keys, which DecodeRecord
// reads.
func (r Record) Encode() []byte {
	b, err := json.Marshal(recordJSON{
		Service:        r.key.service,
		Account:        r.key.account,
		IdempotencyKey: r.key.idempotencyKey,
		BodyDigest:     r.bodyDigest,
		RequestID:      r.requestID,
		AttemptID:      r.attemptID,
		Agent:          r.agent,
		Endpoint:       r.endpoint,
		Incarnation:    r.incarnation,
		State:          r.state.String(),
		AtMicros:       r.updatedAt.UnixMicro(),
		ReleasedBy:     r.releasedBy,
		Status:         r.answer.Status,
		ContentType:    r.answer.ContentType,
		Answer:         r.answer.Body,
		AnswerDropped:  r.answerDropped,
	})
	if err != nil {
		panic(err) // strings, integers and byte slices can always be marshalled
	}
	return b
}

// DecodeRecord decodes a record that Encode returned. Its errors wrap
// ErrMalformedRecord.
func DecodeRecord(b []byte) (Record, error) {
	if len(b) > maxRecordBytes {
		return Record{}, fmt.Errorf("%w: %d bytes", ErrMalformedRecord, len(b))
	}
	var j recordJSON
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(&j); err != nil {
		return Record{}, fmt.Errorf("%w: %w", ErrMalformedRecord, err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return Record{}, fmt.Errorf("%w: data after the record", ErrMalformedRecord)
	}
	return recordFromJSON(j)
}

func recordFromJSON(j recordJSON) (Record, error) {
	k, err := NewKey(j.Service, j.Account, j.IdempotencyKey)
	if err != nil {
		return Record{}, fmt.Errorf("%w: %w", ErrMalformedRecord, err)
	}
	s, ok := parseState(j.State)
	if !ok || j.AttemptID == "" || len(j.Answer) > MaxAnswerBytes {
		return Record{}, fmt.Errorf("%w: state %q", ErrMalformedRecord, j.State)
	}
	return Record{
		key:           k,
		bodyDigest:    j.BodyDigest,
		requestID:     j.RequestID,
		attemptID:     j.AttemptID,
		agent:         j.Agent,
		endpoint:      j.Endpoint,
		incarnation:   j.Incarnation,
		state:         s,
		updatedAt:     time.UnixMicro(j.AtMicros).UTC(),
		releasedBy:    j.ReleasedBy,
		answer:        Answer{Status: j.Status, ContentType: j.ContentType, Body: j.Answer},
		answerDropped: j.AnswerDropped,
	}, nil
}

func parseState(name string) (State, bool) {
	for s, n := range stateNames {
		if n == name {
			return s, true
		}
	}
	return 0, false
}
