package standin

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"
)

// Endless names the element of a response that has no end.
type Endless string

// The elements without end. The body of Failure reports a failed request, that of Refusal one that was
// not run, and that of OtherResponse belongs to another request. NoProtocol is a sequence of bytes that
// no protocol has.
const (
	HeaderLine     Endless = "header line"
	HeaderLines    Endless = "header lines"
	StatusLine     Endless = "status line"
	Informational  Endless = "informational responses"
	NoProtocol     Endless = "bytes of no protocol"
	StreamHead     Endless = "head of a stream"
	Body           Endless = "unframed body"
	ChunkedBody    Endless = "chunked body"
	Failure        Endless = "body of a failure"
	Refusal        Endless = "body of a refusal"
	OtherResponse  Endless = "response to another request"
	Comments       Endless = "comments in a stream"
	BlankLines     Endless = "blank lines in a stream"
	Event          Endless = "event of a stream"
	RepeatedEvents Endless = "repeated events"
	ChunkExtension Endless = "chunk extension"
	Extensions     Endless = "chunk extensions"
	Trailer        Endless = "trailer"
)

// AllEndless lists all elements.
func AllEndless() []Endless {
	return []Endless{
		HeaderLine, HeaderLines, StatusLine, Informational, NoProtocol, StreamHead, Body, ChunkedBody, Failure, Refusal,
		OtherResponse, Comments, BlankLines, Event, RepeatedEvents, ChunkExtension, Extensions, Trailer,
	}
}

const (
	okLine      = "HTTP/1.1 200 OK\r\n"
	chunkedLine = "Transfer-Encoding: chunked\r\n"
	streamLine  = "Content-Type: text/event-stream\r\n"
	// endlessPeriod is the time between two writes of an element without end.
	endlessPeriod = 5 * time.Millisecond
)

// EndlessSender sends responses with an element without end. Set the exported fields before the
// first response.
type EndlessSender struct {
	Element Endless
	// Rate is the number of bytes per second of each connection.
	Rate int
	// Refused is the header line of a request that was not run, with its line break.
	Refused string
	// Chunked has the bodies of streams sent in chunks.
	Chunked bool

	open, sent atomic.Int64
}

// Open returns the number of connections on which bytes are being sent, and Sent that of all
// responses.
func (s *EndlessSender) Open() int { return int(s.open.Load()) }

// Sent returns the number of responses that were begun.
func (s *EndlessSender) Sent() int { return int(s.sent.Load()) }

// Answer takes the connection over and sends on it until it is closed. The header lines identify
// the response.
func (s *EndlessSender) Answer(w http.ResponseWriter, lines string) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err) // the server's connections can be hijacked
	}
	defer func() { _ = conn.Close() }()
	s.Send(conn, lines)
}

// Send sends on conn until it is closed.
func (s *EndlessSender) Send(conn net.Conn, lines string) {
	s.open.Add(1)
	defer s.open.Add(-1)
	s.sent.Add(1)
	first, repeated := s.Element.text(lines, s.Refused)
	if s.Chunked && s.Element.isStream() {
		head, body, _ := strings.Cut(first, "\r\n\r\n")
		first = head + "\r\n" + chunkedLine + "\r\n" + chunk(body)
		repeated = chunk(repeated)
	}
	size := max(len(repeated), s.Rate*int(endlessPeriod)/int(time.Second))
	block := []byte(strings.Repeat(repeated, size/len(repeated)))
	if _, err := io.WriteString(conn, first); err != nil {
		return
	}
	t := time.NewTicker(endlessPeriod)
	defer t.Stop()
	for {
		if _, err := conn.Write(block); err != nil {
			return
		}
		<-t.C
	}
}

// text returns what is sent once and what is repeated after it.
func (e Endless) text(lines, refused string) (first, repeated string) {
	long := strings.Repeat("x", 100)
	head := okLine + lines
	texts := map[Endless][2]string{
		HeaderLine:     {head + "X-Long: ", long},
		HeaderLines:    {head, "X-Long: x\r\n"},
		StatusLine:     {"HTTP/1.1 200 ", long},
		Informational:  {"", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"},
		NoProtocol:     {"", "\x00\x01\x7f\xff"},
		StreamHead:     {head + streamLine + "X-Long: ", long},
		Body:           {head + "\r\n", long},
		ChunkedBody:    {head + chunkedLine + "\r\n", "64\r\n" + long + "\r\n"},
		Failure:        {"HTTP/1.1 500 Internal Server Error\r\n" + lines + "\r\n", long},
		Refusal:        {"HTTP/1.1 503 Service Unavailable\r\n" + lines + refused + chunkedLine + "\r\n", "64\r\n" + long + "\r\n"},
		OtherResponse:  {okLine + changeValues(lines) + chunkedLine + "\r\n", "64\r\n" + long + "\r\n"},
		Comments:       {head + streamLine + "\r\n", ": comment\n\n"},
		BlankLines:     {head + streamLine + "\r\n", "\n"},
		Event:          {head + streamLine + "\r\nid: 1\ndata: ", long},
		RepeatedEvents: {head + streamLine + "\r\n", "id: 1\ndata: token 1\n\n"},
		ChunkExtension: {head + chunkedLine + "\r\n1;x=", long},
		Extensions:     {head + chunkedLine + "\r\n", "1;x=" + long + "\r\nx\r\n"},
		Trailer:        {head + chunkedLine + "\r\n1\r\nx\r\n0\r\n", "X-Long: " + long + "\r\n"},
	}
	t := texts[e]
	return t[0], t[1]
}

func (e Endless) isStream() bool {
	return slices.Contains([]Endless{Comments, BlankLines, Event, RepeatedEvents}, e)
}

// chunk returns text as a chunk, or nothing if it is empty.
func chunk(text string) string {
	if text == "" {
		return ""
	}
	return fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
}

// changeValues returns header lines with other values.
func changeValues(lines string) string {
	all := strings.SplitAfter(lines, "\r\n")
	for i, l := range all {
		all[i] = strings.Replace(l, ": ", ": other-", 1)
	}
	return strings.Join(all, "")
}
