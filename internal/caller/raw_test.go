package caller

import (
	"net/http"
	"reflect"
	"testing"
)

// TestEndToEndHeadersHaveNoOtherFraming guards against a second length or encoding beside the one with
// which a message is sent on. net/http keeps names that end with a space, and some readers ignore it.
func TestEndToEndHeadersHaveNoOtherFraming(t *testing.T) {
	h := http.Header{
		"Connection": {"keep-alive, X-Hop"}, "X-Hop": {"1"}, "Content-Length": {"3"}, "Transfer-Encoding": {"chunked"},
		"Content-Length ": {"3"}, "Transfer-Encoding ": {"chunked"}, "transfer-encoding": {"chunked"}, "": {"x"},
		"Transfer Encoding": {"chunked"}, "X-Kept": {"1", "2"},
	}
	if got, want := EndToEndHeaders(h), (http.Header{"X-Kept": {"1", "2"}}); !reflect.DeepEqual(got, want) {
		t.Errorf("got %q, want %q", got, want)
	}
}
