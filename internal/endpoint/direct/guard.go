package direct

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"unicode"
)

// guard reads the bytes of a connection, and returns io.EOF only if the endpoint has closed its side in order.
// While a head is being parsed it enforces the limits on heads, because net/http has none for responses.
type guard struct {
	net.Conn
	// writer writes the request of this exchange.
	writer *writer
	// received is the number of bytes of this exchange.
	received int64
	// parsing means that a head is being parsed. headBytes and headLines are those of all heads of
	// the exchange so far.
	parsing              bool
	headBytes, headLines int
	// lineEmpty means that the current line is empty, and ended that the blank line after the head
	// has been seen.
	lineEmpty, ended bool
	// encoded means that the head has a transfer encoding, and matched is how many bytes of the current line are those
	// of encodingName, or noMatch. net/http drops the field where it ignores it.
	encoded bool
	matched int
	// shown are the first bytes of the current head.
	shown []byte
	// readErr is the error with which the bytes of this exchange ended, or nil. The parser of heads drops the error
	// of a read that looks for a folded line, and reads again; a socket reports its error only once.
	readErr error
	// hold is called with the number of bytes that are buffered for the head.
	hold func(n int) error
}

// encodingName begins the line of a transfer encoding, in lower case.
const encodingName = "transfer-encoding:"

// noMatch means that the rest of a line isn't compared with encodingName.
const noMatch = -1

// begin starts an exchange, whose request w writes.
func (g *guard) begin(w *writer, hold func(n int) error) {
	g.writer, g.received, g.headBytes, g.headLines, g.hold, g.readErr = w, 0, 0, 0, hold, nil
}

// Read implements io.Reader.
func (g *guard) Read(p []byte) (int, error) {
	if g.readErr != nil {
		return 0, g.readErr
	}
	n, err := g.Conn.Read(p)
	if err == io.EOF {
		err = endOf(g.Conn, g.writer)
	}
	g.received += int64(n)
	if g.parsing {
		// The parser asks for more, so the head has not ended.
		g.ended = false
		if limitErr := g.scan(p[:n]); limitErr != nil {
			n, err = 0, limitErr
		}
	}
	g.readErr = err
	return n, err
}

// scan counts the bytes and lines in b up to the end of the head.
func (g *guard) scan(b []byte) error {
	for _, c := range b {
		if g.ended {
			break
		}
		g.headBytes++
		if len(g.shown) < maxShownBytes {
			g.shown = append(g.shown, c)
		}
		g.matchEncoding(c)
		switch c {
		case '\n':
			g.headLines++
			g.ended, g.lineEmpty = g.lineEmpty, true
		case '\r':
		default:
			g.lineEmpty = false
		}
	}
	switch {
	case g.headBytes > maxHeadBytes:
		return g.limitError(LimitHeadBytes)
	case g.headLines > maxHeadLines:
		return g.limitError(LimitHeadLines)
	}
	return g.hold(g.headBytes)
}

// matchEncoding looks for a transfer encoding at the beginning of each line; c is the next byte of the head.
func (g *guard) matchEncoding(c byte) {
	switch {
	case c == '\n':
		g.matched = 0
	case g.matched == noMatch:
	case unicode.ToLower(rune(c)) != rune(encodingName[g.matched]):
		g.matched = noMatch
	default:
		g.matched++
	}
	if g.matched == len(encodingName) {
		g.encoded, g.matched = true, noMatch
	}
}

func (g *guard) limitError(l Limit) error { return &LimitError{Limit: l, Bytes: g.received} }

// readHead parses the next head, of which br may hold some bytes.
func (g *guard) readHead(br *bufio.Reader, method string) (*http.Response, error) {
	g.parsing, g.ended, g.lineEmpty, g.shown = true, false, false, g.shown[:0]
	g.encoded, g.matched = false, 0
	defer func() { g.parsing = false }()
	buffered, _ := br.Peek(br.Buffered()) // doesn't read
	if err := g.scan(buffered); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(br, &http.Request{Method: method})
	if err != nil {
		return nil, g.parseError(err)
	}
	return resp, g.checkHead(resp)
}

// readResponse reads the head of the next response, skipping informational (1xx) ones.
func (g *guard) readResponse(br *bufio.Reader, method string) (*http.Response, error) {
	for range maxInformational + 1 {
		resp, err := g.readHead(br, method)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, ErrUnexpectedUpgrade
		}
	}
	return nil, g.limitError(LimitInformational)
}
