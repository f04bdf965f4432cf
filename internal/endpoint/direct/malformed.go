package direct

import (
	"errors"
	"io"
	"net/http"
	"strconv"

	"golang.org/x/net/http/httpguts"

	"github.com/hyssoprelay/hyssoprelay/internal/httpstatus"
)

// Fault names what is malformed in the head of a response.
type Fault string

// The faults. FaultSyntax is a head that can't be parsed, FaultStatus a status code outside the range of RFC 9110,
// section 15, FaultFieldName a name of a field that is no token of its section 5.6.2, and FaultEncoding a transfer
// encoding in a version that has none (RFC 9112, section 6.1).
const (
	FaultSyntax    Fault = "syntax"
	FaultStatus    Fault = "statusCode"
	FaultFieldName Fault = "fieldName"
	FaultEncoding  Fault = "transferEncoding"
)

// maxShownBytes bounds what a MalformedError quotes of a response.
const maxShownBytes = 64

// MalformedError reports that an endpoint sent a head that no response can have. The outcome of the request is
// unknown, whatever else the head says, and the connection must be closed.
type MalformedError struct {
	Fault Fault
	// Detail is the part at fault, or the parser's error, and Head the first bytes of the head; both are cut off
	// after 64 bytes.
	Detail, Head string
}

// Error implements the error interface. It quotes nothing, because callers read it.
func (e *MalformedError) Error() string { return "direct: malformed response: " + string(e.Fault) }

// AsMalformedError returns the MalformedError in err, or nil if there is none.
func AsMalformedError(err error) *MalformedError {
	var e *MalformedError
	if errors.As(err, &e) {
		return e
	}
	return nil
}

// checkHead returns a MalformedError if resp has a head that net/http accepts and no response can have.
//
// An invalid status below 200 would count as informational, so that the next response on the connection is passed on.
// net/http accepts blanks in the name of a field and keeps them. Such a field would be passed on, and one that frames
// the body, with a blank before its colon, would not be seen: the body would be passed on as if it had no length or
// no chunks. It checks values itself. Before HTTP/1.1 it ignores a transfer encoding, with the same effect.
func (g *guard) checkHead(resp *http.Response) error {
	if !httpstatus.IsValid(resp.StatusCode) {
		return g.malformed(FaultStatus, strconv.Itoa(resp.StatusCode))
	}
	if g.encoded && !resp.ProtoAtLeast(1, 1) {
		return g.malformed(FaultEncoding, resp.Proto)
	}
	for name := range resp.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return g.malformed(FaultFieldName, name)
		}
	}
	return nil
}

// parseError returns the error for a head that was not parsed because of err: what its bytes ended with, if they
// did, and otherwise a MalformedError.
func (g *guard) parseError(err error) error {
	switch g.readErr {
	case nil:
		return g.malformed(FaultSyntax, err.Error())
	case io.EOF:
		return io.ErrUnexpectedEOF
	default:
		return g.readErr
	}
}

func (g *guard) malformed(f Fault, detail string) error {
	return &MalformedError{Fault: f, Detail: detail[:min(len(detail), maxShownBytes)], Head: string(g.shown)}
}
