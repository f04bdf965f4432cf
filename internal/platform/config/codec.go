package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"
)

// Limits of the document. Together they keep an encoded head below
// MaxHeadBytes.
const (
	// MaxHeadBytes is the maximum size of an encoded head in bytes. A head is
	// sent between processes and must fit in one value of the service.
	MaxHeadBytes = 768 << 10
	// MaxPartBytes is the maximum size of a part in bytes: the maximum value of
	// the service less room for its key.
	MaxPartBytes = 1<<20 - 4<<10

	maxNameBytes    = 64
	maxPresets      = 64
	maxOutOfService = 1024
	maxRecent       = 128
	maxListed       = 4 * maxRecent // a join lists the changes of both heads
	maxSettled      = 256
	maxGeneration   = 1<<53 - 1 // other languages parse JSON numbers as doubles
	digestLen       = 64
)

// Errors returned by DecodeHead, Store.HandleMessage and Store.HandleReply.
var (
	ErrTooLarge  = errors.New("config: the document is too large")
	ErrMalformed = errors.New("config: the document can't be read")
)

type dotJSON struct {
	Generation uint64 `json:"generation"`
	ChangeID   string `json:"changeId"`
}

type presetJSON struct {
	Name   string `json:"name"`
	Digest string `json:"digest"`
	Since  uint64 `json:"since"`
}

type outOfServiceJSON struct {
	Kind       string `json:"kind"`
	Name       string `json:"name"`
	Generation uint64 `json:"generation"`
	ChangeID   string `json:"changeId"`
	By         string `json:"by"`
	AtMicros   int64  `json:"atMicros"`
}

type headJSON struct {
	Generation   uint64             `json:"generation"`
	ChangeID     string             `json:"changeId"`
	InForce      string             `json:"inForce"`
	InForceSince uint64             `json:"inForceSince"`
	Presets      []presetJSON       `json:"presets"`
	Out          []outOfServiceJSON `json:"out"`
	Floor        uint64             `json:"floor"`
	Recent       []dotJSON          `json:"recent"`
	Settled      []dotJSON          `json:"settled"`
	Joined       bool               `json:"joined,omitempty"`
}

// Encode returns the head as JSON with camelCase keys. Equal heads have equal
// encodings.
func (h Head) Encode() []byte { return mustMarshal(h.toJSON()) }

func (h Head) toJSON() headJSON {
	j := headJSON{
		Generation:   h.dot.generation,
		ChangeID:     h.dot.changeID,
		InForce:      h.inForce,
		InForceSince: h.inForceSince,
		Presets:      []presetJSON{},
		Out:          []outOfServiceJSON{},
		Floor:        h.floor,
		Recent:       dotsToJSON(h.recent),
		Settled:      dotsToJSON(h.settled),
		Joined:       h.joined,
	}
	for _, p := range h.presets {
		j.Presets = append(j.Presets, presetJSON{Name: p.name, Digest: p.digest, Since: p.since})
	}
	for _, o := range h.outOfService {
		j.Out = append(j.Out, outOfServiceJSON{
			Kind:       o.target.kind.String(),
			Name:       o.target.name,
			Generation: o.dot.generation,
			ChangeID:   o.dot.changeID,
			By:         o.by,
			AtMicros:   o.at.UnixMicro(),
		})
	}
	return j
}

// mustMarshal encodes structs of strings, integers and booleans, for which
// json.Marshal cannot fail.
func mustMarshal(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

func dotsToJSON(ds []Dot) []dotJSON {
	js := make([]dotJSON, 0, len(ds))
	for _, d := range ds {
		js = append(js, dotJSON{Generation: d.generation, ChangeID: d.changeID})
	}
	return js
}

// DecodeHead decodes a head and rejects what Encode never produces: unknown
// keys, names or numbers out of range, unsorted lists. The error wraps
// ErrTooLarge or ErrMalformed.
func DecodeHead(b []byte) (Head, error) {
	if len(b) > MaxHeadBytes {
		return Head{}, fmt.Errorf("%w: %d bytes, at most %d", ErrTooLarge, len(b), MaxHeadBytes)
	}
	var j headJSON
	if err := strictUnmarshal(b, &j); err != nil {
		return Head{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	h, err := headFromJSON(j)
	if err != nil {
		return Head{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return h, nil
}

func strictUnmarshal(b []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.New("data after the document")
	}
	return nil
}

func headFromJSON(j headJSON) (Head, error) {
	h := Head{
		dot:          Dot{generation: j.Generation, changeID: j.ChangeID},
		inForce:      j.InForce,
		inForceSince: j.InForceSince,
		floor:        j.Floor,
		joined:       j.Joined,
	}
	for _, p := range j.Presets {
		h.presets = append(h.presets, Preset{name: p.Name, digest: p.Digest, since: p.Since})
	}
	for _, o := range j.Out {
		entry, err := outOfServiceEntryFromJSON(o)
		if err != nil {
			return Head{}, err
		}
		h.outOfService = append(h.outOfService, entry)
	}
	h.recent = dotsFromJSON(j.Recent)
	h.settled = dotsFromJSON(j.Settled)
	return h, h.validate()
}

func dotsFromJSON(js []dotJSON) []Dot {
	var ds []Dot
	for _, j := range js {
		ds = append(ds, Dot{generation: j.Generation, changeID: j.ChangeID})
	}
	return ds
}

func outOfServiceEntryFromJSON(j outOfServiceJSON) (OutOfServiceEntry, error) {
	t, err := parseTarget(j.Kind, j.Name)
	if err != nil {
		return OutOfServiceEntry{}, err
	}
	return OutOfServiceEntry{
		target: t,
		dot:    Dot{generation: j.Generation, changeID: j.ChangeID},
		by:     j.By,
		at:     time.UnixMicro(j.AtMicros).UTC(),
	}, nil
}

func parseTarget(kind, name string) (Target, error) {
	switch kind {
	case DataCentreKind.String():
		return DataCentre(name), nil
	case EndpointKind.String():
		return Endpoint(name), nil
	default:
		return Target{}, fmt.Errorf("unknown kind %q", kind)
	}
}
