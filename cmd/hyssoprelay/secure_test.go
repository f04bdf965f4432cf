package main

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/hyssoprelay/hyssoprelay/internal/peer/peerpb"
	"github.com/hyssoprelay/hyssoprelay/internal/standin"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// certify writes a certificate that signs itself and is its own issuer, as a
// small deployment has it, and returns the file names of certificate and key.
func certify(t *testing.T, dir, name string) (string, string) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	c := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1), net.ParseIP(standin.LoopbackIP())}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, c, c, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	raw, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	return writePEM(t, filepath.Join(dir, name+".pem"), "CERTIFICATE", der),
		writePEM(t, filepath.Join(dir, name+".key"), "PRIVATE KEY", raw)
}

func writePEM(t *testing.T, file, kind string, der []byte) string {
	t.Helper()
	if err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// newSecureFleet starts a fleet whose connections are all secured, but those to
// the platform's stand-ins.
func newSecureFleet(t *testing.T) *fleet {
	t.Helper()
	dir := t.TempDir()
	cert, key := certify(t, dir, "member")
	f := &fleet{
		t: t, dir: dir, way: "--ca=" + cert, scheme: "https",
		tls: fmt.Sprintf("cert = %s\nkey = %s\nca = %s\nplatformInsecure = true", cert, key, cert),
	}
	b, err := os.ReadFile(cert)
	if err != nil {
		t.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(b)
	plain := http.DefaultClient.Transport
	http.DefaultClient.Transport = &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}}
	t.Cleanup(func() { http.DefaultClient.Transport = plain })
	f.start()
	return f
}

// statusOf asks a process as a peer would.
func statusOf(t *testing.T, addr string, c credentials.TransportCredentials) error {
	t.Helper()
	cc, err := grpc.NewClient("passthrough:///"+addr, grpc.WithTransportCredentials(c))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = cc.Close() }()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	_, err = peerpb.NewPeerClient(cc).Status(ctx, &peerpb.StatusRequest{})
	return err
}

// Somebody reaches the addresses of a deployment from a network that was
// thought to be closed. Without the account's key, the operator's token and a
// certificate of the deployment they must get nothing but a numbered refusal
// or a closed connection, while its own callers are served.
func TestStrangersAreRefused(t *testing.T) {
	f := newSecureFleet(t)
	e := f.entries[0]
	assertServes(t, f, e, "own")
	for _, key := range []string{"", "Bearer wrong", "wrong"} {
		t.Run("account key "+key, func(t *testing.T) {
			status, body, err := f.ask(e, "/v1/services/desk/print", "{}", "Authorization", key, "Idempotency-Key", "stranger")
			if err != nil || status != http.StatusUnauthorized || !strings.Contains(body, fmt.Sprint(int(result.BadAccountKey))) {
				t.Errorf("%d %s %v", status, body, err)
			}
		})
	}
	t.Run("operator token", func(t *testing.T) {
		file := f.settings("token", "not-the-operator-token-0123456789abcd")
		out, code := f.run(f.way, "--tokenFile", file, "datacentre", "out", "a")
		if code != 1 || !strings.Contains(out, fmt.Sprint(int(result.BadToken))) {
			t.Errorf("exit %d: %s", code, out)
		}
	})
	cert, key := certify(t, t.TempDir(), "stranger")
	pair, err := tls.LoadX509KeyPair(cert, key)
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]credentials.TransportCredentials{
		"plain peer":                  insecure.NewCredentials(),
		"peer without a certificate":  credentials.NewTLS(&tls.Config{InsecureSkipVerify: true}),
		"peer of another certificate": credentials.NewTLS(&tls.Config{InsecureSkipVerify: true, Certificates: []tls.Certificate{pair}}),
	} {
		t.Run(name, func(t *testing.T) {
			for _, addr := range []string{e.peer, f.agents[0].peer} {
				if err := statusOf(t, addr, c); err == nil {
					t.Errorf("%s answered", addr)
				}
			}
		})
	}
	if n := f.runs()["stranger"]; n != 0 {
		t.Errorf("a stranger's order ran %d times", n)
	}
	assertServes(t, f, e, "still")
}
