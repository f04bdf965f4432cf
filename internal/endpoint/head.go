package endpoint

import (
	"bytes"
	"errors"
	"strconv"

	"github.com/lesismal/nbio/nbhttp"
	"github.com/sirupsen/logrus"
	"golang.org/x/net/http/httpguts"
)

var (
	errStatusLine = errors.New("the answer begins with no status line")
	errFieldName  = errors.New("the head of the answer has a field whose name is no token")
	errFieldValue = errors.New("the head of the answer has a field whose value holds a control byte")
)

// statusLine is how a status line begins; a d stands for a digit. The code is within 100 and 599.
const statusLine = "HTTP/1.d ddd "

// firstOfCode is the index of the code's first digit in statusLine.
const firstOfCode = 9

// maxFirstBytes is how many bytes of a malformed head are logged.
const maxFirstBytes = 64

// headCheck checks the lines of a head before the parser gets them.
//
// Guard: the parser skips what precedes the digits of a status, and takes what precedes a blank for the name of a
// field, so that "Content-Length x" would state the length of a body and a caller would get a part as the whole.
type headCheck struct {
	// line is the number of the line in the head, from 0, and pos that of the byte in the line.
	line, pos int
	// inValue means that the name of the field has ended.
	inValue bool
	// first are the first bytes of the head.
	first []byte
}

// check checks the next bytes of a head, which end with the end of a line at the latest.
func (h *headCheck) check(b []byte) error {
	h.first = append(h.first, b[:min(len(b), maxFirstBytes-len(h.first))]...)
	for _, c := range b {
		if err := h.checkByte(c); err != nil {
			return err
		}
		h.pos++
		if c == '\n' {
			h.line, h.pos, h.inValue = h.line+1, 0, false
		}
	}
	return nil
}

func (h *headCheck) checkByte(c byte) error {
	switch {
	case h.line == 0:
		if h.pos < len(statusLine) && !isOfStatusLine(c, h.pos) {
			return errStatusLine
		}
	case h.inValue:
	case h.pos == 0 && c == '\r', h.pos == 1 && c == '\n':
		// The empty line that ends the head, or a name without a colon, which the parser refuses.
	case h.pos > 0 && c == ':':
		h.inValue = true
	case !httpguts.IsTokenRune(rune(c)):
		return errFieldName
	}
	return nil
}

// isOfStatusLine reports whether a status line may have c at pos.
func isOfStatusLine(c byte, pos int) bool {
	switch {
	case statusLine[pos] != 'd':
		return c == statusLine[pos]
	case pos == firstOfCode:
		return '1' <= c && c <= '5'
	default:
		return '0' <= c && c <= '9'
	}
}

// parse gives data to the parser, the heads in it line by line, each after its check.
func (r *response) parse(p *nbhttp.Parser, data []byte) error {
	for len(data) > 0 {
		n := r.nextPart(data)
		if err := r.parsePart(p, data[:n]); err != nil {
			return err
		}
		data = data[n:]
	}
	return nil
}

func (r *response) parsePart(p *nbhttp.Parser, part []byte) error {
	if !r.inHead() {
		return p.Parse(part)
	}
	err := r.head.check(part)
	if err == nil {
		err = p.Parse(part)
	}
	if err != nil {
		r.failHead(err)
	}
	return err
}

// failHead notes that the head that is read now is malformed.
func (r *response) failHead(err error) {
	r.malformed = true
	r.fail("%w", err)
}

// reportMalformed logs and counts an answer whose head was malformed.
func (c *Client) reportMalformed(cn *conn, resp *response) {
	if !resp.malformed {
		return
	}
	c.counters.malformed.Inc(1)
	f := logrus.Fields{"cause": resp.fault.Error(), "firstBytes": strconv.Quote(string(resp.head.first))}
	c.logOf(cn, resp).WithFields(f).Info("answer from endpoint has a malformed head")
}

// inHead reports whether the next byte belongs to a head that counts.
func (r *response) inHead() bool { return !r.inBody && !r.complete }

// nextPart returns how many bytes of data the parser gets next. A head may follow the body of an answer to another
// request, whose end the parser finds.
func (r *response) nextPart(data []byte) int {
	switch {
	case r.inHead():
		if i := bytes.IndexByte(data, '\n'); i >= 0 {
			return i + 1
		}
		return len(data)
	case r.stray != nil && !r.complete:
		return 1
	default:
		return len(data)
	}
}
