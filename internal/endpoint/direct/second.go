package direct

import (
	"bytes"
	"errors"
	"net/http"
)

// ErrSecondResponse reports a body within which the head of another response begins, so that it isn't
// known where the body ends. An endpoint that answers twice causes it: if the close of the connection
// marks the end of a response, nothing else separates it from the next one.
var ErrSecondResponse = errors.New("direct: another response begins within the body")

// versionPrefix begins the status line of a response.
var versionPrefix = []byte("HTTP/1.")

// secondResponse returns the index in body at which the head of another response begins, or -1. A head
// is a status line and header lines of which one names a request that the connection carried; a body
// that only quotes a head names none of them.
func (r *Response) secondResponse(body []byte) int {
	pos := 0
	for {
		i := bytes.Index(body[pos:], versionPrefix)
		if i < 0 {
			return -1
		}
		pos += i
		line, ok := cutStatusLine(body[pos:])
		if !ok {
			pos += len(versionPrefix)
			continue
		}
		header, named := r.scanHeader(body[pos+line:])
		if named {
			return pos
		}
		// A head that begins within these lines would have the rest of them as its header.
		pos += line + header
	}
}

// cutStatusLine returns the length of the status line with which b begins, if it begins with one.
func cutStatusLine(b []byte) (n int, ok bool) {
	line, _, found := bytes.Cut(b, lineBreak)
	if !found || !bytes.HasPrefix(line, versionPrefix) {
		return 0, false
	}
	version, rest, _ := bytes.Cut(line[len(versionPrefix):], space)
	status, _, _ := bytes.Cut(bytes.TrimSuffix(rest, carriageReturn), space)
	if len(version) != 1 || len(status) != 3 || !isDigits(version) || !isDigits(status) {
		return 0, false
	}
	return len(line) + len(lineBreak), true
}

func isDigits(b []byte) bool {
	for _, c := range b {
		if c < '0' || c > '9' {
			return false
		}
	}
	return true
}

// scanHeader returns the length of the header lines with which b begins, and whether one of them names
// a request that the connection carried.
func (r *Response) scanHeader(b []byte) (n int, named bool) {
	for n < len(b) {
		line, _, found := bytes.Cut(b[n:], lineBreak)
		name, value, isHeader := bytes.Cut(bytes.TrimSuffix(line, carriageReturn), colon)
		if !isHeader {
			return n, false
		}
		h := http.Header{}
		h.Set(string(name), string(bytes.TrimSpace(value)))
		if id := r.responseID(h); id != "" && r.conn.carried(id) {
			return n, true
		}
		n += len(line)
		if found {
			n += len(lineBreak)
		}
	}
	return n, false
}

// beginsResponse reports whether a block of a stream contains the head of another response, or begins
// with a status line, which is no field of an event.
func (r *Response) beginsResponse(block []byte) bool {
	if _, ok := cutStatusLine(bytes.TrimLeft(block, "\r\n")); ok {
		r.reportSecond(block)
		return true
	}
	if i := r.secondResponse(block); i >= 0 {
		r.reportSecond(block[i:])
		return true
	}
	return false
}

// reportSecond reports the bytes from the head of another response on.
func (r *Response) reportSecond(b []byte) { r.client.reportStray(r.conn, Stray{Bytes: len(b)}) }

var space = []byte(" ")
