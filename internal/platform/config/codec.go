package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"
)

// Limits of the document. Together they keep a head below MaxHead, which
// travels between processes and must fit one value of the service.
const (
	// MaxHead is the largest encoded head in bytes.
	MaxHead = 768 << 10
	// MaxPart is the largest part in bytes: a value of the service less room
	// for its key.
	MaxPart = 1<<20 - 4<<10

	maxName       = 64
	maxPresets    = 64
	maxOuts       = 1024
	maxRecent     = 128
	maxListed     = 4 * maxRecent // a join of heads that forked lists more
	maxSettled    = 256
	maxGeneration = 1<<53 - 1 // other languages read JSON numbers as doubles
	digestLen     = 64
)

// Errors of DecodeHead.
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

type outJSON struct {
	Kind       string `json:"kind"`
	Name       string `json:"name"`
	Generation uint64 `json:"generation"`
	ChangeID   string `json:"changeId"`
	By         string `json:"by"`
	AtMicros   int64  `json:"atMicros"`
}

type headJSON struct {
	Generation   uint64       `json:"generation"`
	ChangeID     string       `json:"changeId"`
	InForce      string       `json:"inForce"`
	InForceSince uint64       `json:"inForceSince"`
	Presets      []presetJSON `json:"presets"`
	Out          []outJSON    `json:"out"`
	Floor        uint64       `json:"floor"`
	Recent       []dotJSON    `json:"recent"`
	Settled      []dotJSON    `json:"settled"`
	Joined       bool         `json:"joined,omitempty"`
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
		Out:          []outJSON{},
		Floor:        h.floor,
		Recent:       dotsToJSON(h.recent),
		Settled:      dotsToJSON(h.settled),
		Joined:       h.joined,
	}
	for _, p := range h.presets {
		j.Presets = append(j.Presets, presetJSON{Name: p.name, Digest: p.digest, Since: p.since})
	}
	for _, o := range h.outs {
		j.Out = append(j.Out, outJSON{
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

// mustMarshal encodes structs of strings and integers, which can't fail.
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

// DecodeHead reads an encoded head. It refuses what Encode can't have written:
// unknown keys, names or numbers out of bounds, lists out of order. The error
// wraps ErrTooLarge or ErrMalformed.
func DecodeHead(b []byte) (Head, error) {
	if len(b) > MaxHead {
		return Head{}, fmt.Errorf("%w: %d bytes, at most %d", ErrTooLarge, len(b), MaxHead)
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
		out, err := outFromJSON(o)
		if err != nil {
			return Head{}, err
		}
		h.outs = append(h.outs, out)
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

func outFromJSON(j outJSON) (Out, error) {
	t, err := targetFrom(j.Kind, j.Name)
	if err != nil {
		return Out{}, err
	}
	return Out{
		target: t,
		dot:    Dot{generation: j.Generation, changeID: j.ChangeID},
		by:     j.By,
		at:     time.UnixMicro(j.AtMicros).UTC(),
	}, nil
}

func targetFrom(kind, name string) (Target, error) {
	switch kind {
	case DataCentreKind.String():
		return DataCentre(name), nil
	case EndpointKind.String():
		return Endpoint(name), nil
	default:
		return Target{}, fmt.Errorf("unknown kind %q", kind)
	}
}
