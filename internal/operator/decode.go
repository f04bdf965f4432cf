package operator

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// decode reads one JSON value and nothing after it.
func decode(text []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return result.Newf(result.MalformedOrder, "the body is not the JSON of this order: %v", err)
	}
	if _, err := d.Token(); err != io.EOF {
		return result.New(result.MalformedOrder, "the body goes on after the order")
	}
	return nil
}
