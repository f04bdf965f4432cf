package caller

import (
	"bufio"
	"context"
	stdtls "crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/lesismal/llib/std/crypto/tls"
)

const (
	// Small pieces are those to which TLS adds most.
	tlsPieces = 120000
	tlsPiece  = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcde\n"
)

// A caller of a leaving entry reads a long stream slowly over TLS, and the
// connection closes at its end. Counted without what TLS adds to each record,
// the stream seems to have left while its end still waits, and the close drops
// it.
func TestLongStreamBeforeCloseOverTLS(t *testing.T) {
	made := httptest.NewTLSServer(nil)
	defer made.Close()
	for _, version := range []uint16{stdtls.VersionTLS12, stdtls.VersionTLS13} {
		t.Run(stdtls.VersionName(version), func(t *testing.T) {
			s := startTLS(t, made.TLS.Certificates[0], func(_ context.Context, _ *Request, w *Reply) {
				_ = w.Stream(http.StatusOK, "text/plain", "")
				for range tlsPieces {
					if w.Piece([]byte(tlsPiece)) != nil {
						return
					}
				}
				_ = w.End()
			})
			s.Announce()
			n, err := slowRead(t, s, made.Certificate(), version)
			if n != tlsPieces*len(tlsPiece) || err != nil {
				t.Errorf("%d bytes of %d arrived: %v", n, tlsPieces*len(tlsPiece), err)
			}
		})
	}
}

func startTLS(t *testing.T, c stdtls.Certificate, h handlerFunc) *Server {
	t.Helper()
	s := &Server{Addr: "127.0.0.1:0", BodyLimit: testBodyLimit, MaxConns: 64, Handler: h, TLS: &tls.Config{
		Certificates:                []tls.Certificate{{Certificate: c.Certificate, PrivateKey: c.PrivateKey}},
		DynamicRecordSizingDisabled: true,
	}}
	run(t, s)
	return s
}

// slowRead asks once and takes the answer from the socket in small parts, so
// that the end of it waits in the server.
func slowRead(t *testing.T, s *Server, c *x509.Certificate, version uint16) (int, error) {
	t.Helper()
	pool := x509.NewCertPool()
	pool.AddCert(c)
	raw, err := net.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = raw.Close() }()
	if err := raw.(*net.TCPConn).SetReadBuffer(32 << 10); err != nil {
		t.Fatal(err)
	}
	w := stdtls.Client(raw, &stdtls.Config{RootCAs: pool, ServerName: "example.com", MinVersion: version, MaxVersion: version})
	_, err = fmt.Fprintf(w, "POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", PathChat, len(chatBodyText), chatBodyText)
	if err != nil {
		t.Fatal(err)
	}
	res, err := http.ReadResponse(bufio.NewReaderSize(w, 512), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	n, err := io.Copy(io.Discard, res.Body)
	return int(n), err
}
