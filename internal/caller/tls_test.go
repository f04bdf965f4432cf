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
	tlsChunks = 120000
	// tlsChunk is small, because small chunks have the largest relative TLS overhead.
	tlsChunk = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcde\n"
)

// Guards against the loss of the end of a long stream over TLS, when the connection closes after
// the response and the caller reads slowly. If the TLS overhead of each record is not counted,
// pending reaches zero while the end of the stream is still buffered, and the close drops it.
func TestLongStreamBeforeCloseOverTLS(t *testing.T) {
	certServer := httptest.NewTLSServer(nil)
	defer certServer.Close()
	for _, version := range []uint16{stdtls.VersionTLS12, stdtls.VersionTLS13} {
		t.Run(stdtls.VersionName(version), func(t *testing.T) {
			s := startTLS(t, certServer.TLS.Certificates[0], func(_ context.Context, _ *Request, w *Reply) {
				_ = w.BeginStream(http.StatusOK, "text/plain", "")
				for range tlsChunks {
					if w.WriteChunk([]byte(tlsChunk)) != nil {
						return
					}
				}
				_ = w.EndStream()
			})
			s.StartDraining()
			n, err := readSlowly(t, s, certServer.Certificate(), version)
			if n != tlsChunks*len(tlsChunk) || err != nil {
				t.Errorf("received %d bytes of %d: %v", n, tlsChunks*len(tlsChunk), err)
			}
		})
	}
}

// Guards against a kept-open connection over TLS on which the next request is not served, because
// more bytes of the answer are expected to be sent than TLS makes of it.
func TestKeptConnectionOverTLSServesFurtherRequests(t *testing.T) {
	certServer := httptest.NewTLSServer(nil)
	defer certServer.Close()
	pool := x509.NewCertPool()
	pool.AddCert(certServer.Certificate())
	sizes := []int{0, 1, maxRecordBytes - 200, maxRecordBytes, maxRecordBytes + 1, 3*maxRecordBytes + 1, 1 << 20}
	for name, c := range map[string]*stdtls.Config{
		"TLS 1.3":           {MinVersion: stdtls.VersionTLS13},
		"TLS 1.2, GCM":      {MaxVersion: stdtls.VersionTLS12, CipherSuites: []uint16{stdtls.TLS_ECDHE_RSA_WITH_AES_128_GCM_SHA256}},
		"TLS 1.2, ChaCha20": {MaxVersion: stdtls.VersionTLS12, CipherSuites: []uint16{stdtls.TLS_ECDHE_RSA_WITH_CHACHA20_POLY1305}},
		"TLS 1.2, CBC":      {MaxVersion: stdtls.VersionTLS12, CipherSuites: []uint16{stdtls.TLS_ECDHE_RSA_WITH_AES_128_CBC_SHA}},
	} {
		t.Run(name, func(t *testing.T) {
			next := 0
			s := startTLS(t, certServer.TLS.Certificates[0], func(_ context.Context, _ *Request, w *Reply) {
				_ = w.Send(http.StatusOK, "text/plain", "", make([]byte, sizes[next]))
				next++
			})
			c.RootCAs, c.ServerName = pool, "example.com"
			conn, err := stdtls.Dial("tcp", s.Address(), c)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			br := bufio.NewReader(conn)
			for _, size := range sizes {
				if _, err := fmt.Fprintf(conn, "GET %so/ HTTP/1.1\r\nHost: x\r\n\r\n", PathServices); err != nil {
					t.Fatal(err)
				}
				res, err := http.ReadResponse(br, nil)
				if err != nil {
					t.Fatal(err)
				}
				if n, err := io.Copy(io.Discard, res.Body); err != nil || int(n) != size {
					t.Errorf("%d of %d bytes, %v", n, size, err)
				}
				eventually(t, "nothing is pending", func() bool { return s.PendingBytes() == 0 })
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
	runServer(t, s)
	return s
}

// readSlowly sends one request and reads the response from the socket in small parts, so that its
// end stays buffered in the server.
func readSlowly(t *testing.T, s *Server, c *x509.Certificate, version uint16) (int, error) {
	t.Helper()
	pool := x509.NewCertPool()
	pool.AddCert(c)
	tcpConn, err := net.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = tcpConn.Close() }()
	if err := tcpConn.(*net.TCPConn).SetReadBuffer(32 << 10); err != nil {
		t.Fatal(err)
	}
	tlsConn := stdtls.Client(tcpConn, &stdtls.Config{RootCAs: pool, ServerName: "example.com", MinVersion: version, MaxVersion: version})
	_, err = fmt.Fprintf(tlsConn, "POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", PathChat, len(chatBodyText), chatBodyText)
	if err != nil {
		t.Fatal(err)
	}
	res, err := http.ReadResponse(bufio.NewReaderSize(tlsConn, 512), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	n, err := io.Copy(io.Discard, res.Body)
	return int(n), err
}
