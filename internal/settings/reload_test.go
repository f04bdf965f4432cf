package settings

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	httptls "github.com/lesismal/llib/std/crypto/tls"
	"github.com/lesismal/nbio/mempool"

	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// put writes a file and gives it a time of change of its own, because two
// writes of a test may fall into one tick of the file system's clock.
func put(t *testing.T, name string, text []byte, mtime time.Time) {
	t.Helper()
	if err := os.WriteFile(name, text, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Chtimes(name, mtime, mtime); err != nil {
		t.Fatal(err)
	}
}

func checkToken(t *testing.T, k *Token, text string, now time.Time, want bool) {
	t.Helper()
	if got := k.Check(text, now); got != want {
		t.Errorf("token %q at %v: %v, want %v", text, now.Sub(start), got, want)
	}
}

// TestTokenFileChanges: operators replace the token because it has leaked. The
// old one must end without a restart of the entries, and a file that is just
// being written must neither lock the operators out nor let an empty token in.
func TestTokenFileChanges(t *testing.T) {
	name := filepath.Join(t.TempDir(), "token")
	const first, second = "0123456789abcdef", "fedcba9876543210"
	k := &Token{File: name, Interval: 10 * time.Second}
	checkToken(t, k, "", start, false)
	put(t, name, []byte(first+"\n"), start)
	checkToken(t, k, first, start.Add(5*time.Second), false)
	checkToken(t, k, first, start.Add(10*time.Second), true)
	put(t, name, nil, start.Add(time.Second))
	checkToken(t, k, first, start.Add(20*time.Second), true)
	checkToken(t, k, "", start.Add(20*time.Second), false)
	put(t, name, []byte(second), start.Add(2*time.Second))
	checkToken(t, k, second, start.Add(25*time.Second), false)
	checkToken(t, k, second, start.Add(30*time.Second), true)
	checkToken(t, k, first, start.Add(30*time.Second), false)
	if err := os.Remove(name); err != nil {
		t.Fatal(err)
	}
	checkToken(t, k, second, start.Add(40*time.Second), true)
}

func TestFixedToken(t *testing.T) {
	k := &Token{Fixed: "0123456789abcdef"}
	checkToken(t, k, "0123456789abcdef", start, true)
	checkToken(t, k, "0123456789abcdeF", start, false)
	checkToken(t, &Token{}, "", start, false)
}

// certificate returns a self-signed certificate and its key as PEM.
func certificate(t *testing.T, serial int64) (cert, key []byte) {
	t.Helper()
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial),
		Subject:      pkix.Name{CommonName: "test"},
		NotBefore:    start.Add(-time.Hour),
		NotAfter:     start.Add(100 * 365 * 24 * time.Hour),
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
		IsCA:         true,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},

		BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &private.PublicKey, private)
	if err != nil {
		t.Fatal(err)
	}
	bytes, err := x509.MarshalECPrivateKey(private)
	if err != nil {
		t.Fatal(err)
	}
	cert = pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	key = pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: bytes})
	return cert, key
}

func putPair(t *testing.T, files TLS, serial int64, mtime time.Time) (cert, key []byte) {
	t.Helper()
	cert, key = certificate(t, serial)
	put(t, files.Cert, cert, mtime)
	put(t, files.Key, key, mtime)
	put(t, files.CA, cert, mtime)
	return cert, key
}

func checkSerial(t *testing.T, k *KeyPair, now time.Time, want int64, wantErr bool) {
	t.Helper()
	pair, pool, err := k.Load(now)
	if (err != nil) != wantErr {
		t.Fatalf("error %v, want one: %v", err, wantErr)
	}
	if err != nil && result.CodeOf(err) != result.BadCertificate {
		t.Errorf("code %v", result.CodeOf(err))
	}
	if pair == nil || pool == nil {
		t.Fatal("no certificate holds")
	}
	leaf, err := x509.ParseCertificate(pair.Certificate[0])
	if err != nil || leaf.SerialNumber.Int64() != want {
		t.Errorf("serial %v, error %v, want %d", leaf.SerialNumber, err, want)
	}
}

func testFiles(t *testing.T) TLS {
	dir := t.TempDir()
	return TLS{
		Cert:           filepath.Join(dir, "cert"),
		Key:            filepath.Join(dir, "key"),
		CA:             filepath.Join(dir, "ca"),
		ReloadInterval: 10 * time.Second,
	}
}

// TestCertificateChanges: certificates are renewed while processes run. A
// reader who comes between the writing of the certificate and of its key finds
// two files that don't belong together; connections must go on with the old
// ones until both are there.
func TestCertificateChanges(t *testing.T) {
	k := &KeyPair{Files: testFiles(t)}
	if _, _, err := k.Load(start); result.CodeOf(err) != result.BadCertificate {
		t.Fatalf("no files: %v", err)
	}
	putPair(t, k.Files, 1, start)
	checkSerial(t, k, start.Add(10*time.Second), 1, false)
	cert, key := certificate(t, 2)
	put(t, k.Files.Cert, cert, start.Add(time.Second))
	checkSerial(t, k, start.Add(15*time.Second), 1, false)
	checkSerial(t, k, start.Add(20*time.Second), 1, true)
	put(t, k.Files.Key, key, start.Add(time.Second))
	checkSerial(t, k, start.Add(30*time.Second), 2, false)
}

// TestHandshakes connects through both TLS packages with one pair of files.
func TestHandshakes(t *testing.T) {
	k := &KeyPair{Files: testFiles(t)}
	putPair(t, k.Files, 7, start)
	clock := func() time.Time { return start }
	_, pool, err := k.Load(start)
	if err != nil {
		t.Fatal(err)
	}
	client := &tls.Config{RootCAs: pool, ServerName: "127.0.0.1", MinVersion: tls.VersionTLS12}
	t.Run("nbhttp", func(t *testing.T) {
		server := func(c net.Conn) net.Conn {
			return httptls.NewConn(c, k.HTTPServer(clock), false, false, mempool.DefaultMemPool)
		}
		checkHandshake(t, client, server, true)
	})
	server := func(c net.Conn) net.Conn { return tls.Server(c, k.Server(true, clock)) }
	t.Run("peer without certificate", func(t *testing.T) { checkHandshake(t, client, server, false) })
	pair, _, _ := k.Load(start)
	known := client.Clone()
	known.Certificates = []tls.Certificate{*pair}
	t.Run("peer", func(t *testing.T) { checkHandshake(t, known, server, true) })
	stranger := &KeyPair{Files: testFiles(t)}
	putPair(t, stranger.Files, 8, start)
	late := func() time.Time { return start.Add(101 * 365 * 24 * time.Hour) }
	for name, c := range map[string]struct {
		cfg  *tls.Config
		want bool
	}{
		"of this system":        {k.Client(clock), true},
		"of another system":     {stranger.Client(clock), false},
		"certificate has ended": {k.Client(late), false},
	} {
		t.Run("peer "+name, func(t *testing.T) { checkHandshake(t, c.cfg, server, c.want) })
	}
}

// checkHandshake sends one byte from the server to the client.
func checkHandshake(t *testing.T, cfg *tls.Config, server func(net.Conn) net.Conn, want bool) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() {
		c, err := ln.Accept()
		if err == nil {
			_, err = server(c).Write([]byte{1})
			_ = c.Close()
		}
		done <- err
	}()
	c, err := tls.Dial("tcp", ln.Addr().String(), cfg)
	if err == nil {
		_, err = c.Read(make([]byte, 1))
		_ = c.Close()
	}
	serverErr := <-done
	_ = ln.Close()
	if got := err == nil && serverErr == nil; got != want {
		t.Errorf("handshake %v, want %v: client %v, server %v", got, want, err, serverErr)
	}
}
