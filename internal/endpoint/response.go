package endpoint

import (
	"fmt"
	"mime"
	"net/http"
	"strings"
	"time"

	"github.com/lesismal/nbio/nbhttp"
	"golang.org/x/net/http/httpguts"

	"github.com/hyssoprelay/hyssoprelay/internal/retryafter"
)

const (
	eventStreamType = "text/event-stream"
	// noLength is what the parser reports when the response declares none.
	noLength = -1
	// detailLimit bounds how much of a failed answer is kept for the error.
	detailLimit = 512
)

// response follows one answer as the parser calls it. It implements
// nbhttp.Processor; all calls come from the goroutine in Do.
type response struct {
	requestID  string
	wantStream bool
	// control marks an order or a report, which are answered at once.
	control bool
	// reused says that the connection has carried other calls.
	reused bool
	limit  int

	// head checks the current head, and inBody means that the parser has seen its end.
	head   headCheck
	inBody bool
	// malformed means that the current head is no head of an answer.
	malformed bool

	status       int
	contentType  string
	incarnation  string
	retryAfter   time.Duration
	length       string
	chunked      bool
	closing      bool
	headDone     bool
	complete     bool
	overrun      bool
	cut          bool
	stream       *splitter
	events       []Event
	failedDetail []byte
	fault        error

	// named says that the answer names the request, and unnamed that one which is no failure doesn't.
	named, unnamed bool
	// stray describes the answer that is read now if it is one to another request, which is skipped.
	// strays are those that were skipped, and strayEnded means that one ended in the last bytes.
	stray      *strayAnswer
	strays     []strayAnswer
	strayBytes int
	strayEnded bool

	// headBytes, headLines and interims are those of the head so far. rawBytes are the bytes after
	// it, bodyBytes those of its parts, and bodyGrew means that a part came with the last bytes.
	headBytes, headLines, interims int
	rawBytes, bodyBytes            int
	bodyGrew                       bool
}

func (r *response) fail(format string, args ...any) {
	if r.fault == nil {
		r.fault = fmt.Errorf(format, args...)
	}
}

// OnMethod implements nbhttp.Processor.
func (r *response) OnMethod(*nbhttp.Parser, string) {}

// OnURL implements nbhttp.Processor.
func (r *response) OnURL(*nbhttp.Parser, string) error { return nil }

// OnProto implements nbhttp.Processor. A response that begins after the whole
// one belongs to nobody: the connection is not used again.
func (r *response) OnProto(_ *nbhttp.Parser, proto string) error {
	if r.complete {
		r.overrun = true
		return errAfterEnd
	}
	major, minor, ok := http.ParseHTTPVersion(proto)
	if !ok || major != 1 {
		r.fail("protocol %q", proto)
		return r.fault
	}
	r.closing = minor == 0
	return nil
}

// OnStatus implements nbhttp.Processor. The parser takes the first header line
// for the reason phrase when the endpoint sends an empty one, and so loses a
// header that may frame the body; a colon in the phrase shows it.
func (r *response) OnStatus(_ *nbhttp.Parser, code int, phrase string) {
	r.status = code
	if strings.Contains(phrase, ":") {
		r.fail("status line without a reason phrase")
	}
}

// OnHeader implements nbhttp.Processor.
func (r *response) OnHeader(_ *nbhttp.Parser, key, value string) {
	value = strings.TrimSpace(value)
	r.countHeadLine()
	if !httpguts.ValidHeaderFieldValue(value) {
		r.failHead(errFieldValue)
	}
	switch key {
	case "Content-Type":
		r.contentType = value
	case "Content-Length":
		if r.length != "" && r.length != value {
			r.fail("two lengths %q and %q", r.length, value)
		}
		r.length = value
	case "Transfer-Encoding":
		r.chunked = true
	case "Connection":
		r.closing = r.closing || strings.EqualFold(value, "close")
	case headerIncarnation:
		r.incarnation = value
	case retryafter.Header:
		r.retryAfter = retryafter.Parse(value)
	case headerRequestID:
		r.checkRequestID(value)
	}
}

// OnContentLength implements nbhttp.Processor; it comes after the last header.
func (r *response) OnContentLength(_ *nbhttp.Parser, n int) {
	r.inBody = true
	if r.interim() {
		if n > 0 || r.chunked || r.status == http.StatusSwitchingProtocols {
			r.fail("interim status %d with a body", r.status)
		}
		return
	}
	if r.status < http.StatusOK {
		r.fail("status %d", r.status)
	}
	r.checkFraming(n)
	r.checkOwner()
	if r.fault != nil || r.stray != nil {
		return
	}
	r.headDone = true
	if r.failed() {
		return
	}
	r.events = append(r.events, Head{Status: r.status, ContentType: r.contentType, Incarnation: r.incarnation})
	r.beginBody()
}

func (r *response) interim() bool { return r.status/100 == 1 }

// checkFraming guards against an answer cut short that looks whole. A response
// without length and chunks ends when the connection closes, and a connection
// that breaks looks the same; the parser reports such a response as complete
// with no body at all.
func (r *response) checkFraming(n int) {
	bodiless := r.status == http.StatusNoContent || r.status == http.StatusNotModified
	switch {
	case bodiless && (n > 0 || r.chunked):
		r.fail("status %d with a body", r.status)
	case !bodiless && n == noLength && !r.chunked:
		r.fail("answer of unknown length")
	case n > r.limit:
		r.fail("answer of %d bytes, allowed are %d", n, r.limit)
	}
}

// failed says that the endpoint reports a failure of its own. Its body is
// not an answer for the caller.
func (r *response) failed() bool {
	return r.status >= http.StatusInternalServerError || r.status == http.StatusTooManyRequests
}

func (r *response) beginBody() {
	kind, _, err := mime.ParseMediaType(r.contentType)
	isStream := err == nil && kind == eventStreamType
	if isStream {
		r.stream = &splitter{limit: min(r.limit, maxEventBytes)}
		return
	}
	if r.wantStream && r.status == http.StatusOK {
		r.fail("content type %q in place of an event stream", r.contentType)
	}
}

// OnBody implements nbhttp.Processor. The parser reuses data, so it is copied.
func (r *response) OnBody(_ *nbhttp.Parser, data []byte) error {
	if r.fault == nil && r.stray == nil && !r.failed() {
		r.countBody(len(data))
	}
	switch {
	case r.fault != nil:
		return r.fault
	case r.stray != nil:
		return nil
	case r.failed():
		r.bodyGrew = true
		r.bodyBytes += len(data)
		r.addDetail(data)
		return nil
	case r.stream != nil:
		if err := r.stream.feed(data, r.emit); err != nil {
			r.fail("%w", err)
		}
		return r.fault
	default:
		r.emit(append([]byte(nil), data...))
		return nil
	}
}

func (r *response) emit(data []byte) {
	r.events = append(r.events, Piece{Data: data})
}

// OnTrailerHeader implements nbhttp.Processor.
func (r *response) OnTrailerHeader(*nbhttp.Parser, string, string) { r.countHeadLine() }

// OnComplete implements nbhttp.Processor.
func (r *response) OnComplete(*nbhttp.Parser) {
	r.head, r.inBody = headCheck{}, false
	if r.interim() {
		r.status, r.length, r.contentType = 0, "", ""
		r.named, r.stray = false, nil
		if r.interims++; r.interims > maxInterim {
			r.fail("%w", errTooManyInterim)
		}
		return
	}
	if r.stray != nil {
		r.skipStray()
		return
	}
	if r.stream != nil && r.fault == nil {
		r.endStream()
	}
	r.complete = true
}

func (r *response) endStream() {
	done, err := r.stream.end()
	if err != nil {
		r.fail("%w", err)
		return
	}
	r.emit(done)
}

// Close implements nbhttp.Processor.
func (r *response) Close(*nbhttp.Parser, error) {}

// Clean implements nbhttp.Processor.
func (r *response) Clean(*nbhttp.Parser) {}

// takeEvents returns the events that have come since the last call.
func (r *response) takeEvents() []Event {
	events := r.events
	r.events = nil
	return events
}

// whole says that the answer has arrived to its last byte.
func (r *response) whole() bool { return r.complete && r.fault == nil }

// open says that the endpoint may keep the connection open.
func (r *response) open() bool { return r.whole() && !r.closing && !r.overrun }

// reusable says that the next request may use the connection.
func (r *response) reusable() bool { return r.open() && r.named }

// foreign says that the answer may be one to an earlier request of the connection.
func (r *response) foreign() bool { return r.reused && !r.named }
