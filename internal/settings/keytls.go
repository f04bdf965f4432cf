package settings

import (
	"crypto/tls"
	"crypto/x509"
	"time"

	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// Server returns a configuration that asks Load anew for each connection. The
// other side must show a certificate of the pool when mutual is true.
func (k *KeyPair) Server(mutual bool, clock func() time.Time) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return k.certificate(clock())
		},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			pair, pool, err := k.Load(clock())
			if pair == nil {
				return nil, err
			}
			c := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{*pair}}
			if mutual {
				c.ClientAuth = tls.RequireAndVerifyClientCert
				c.ClientCAs = pool
			}
			return c, nil
		},
	}
}

// Client returns a configuration for connections to other processes of the
// system. Processes are reached by IP numbers that change with each VM, so a
// certificate proves membership by its issuer and not by a name.
func (k *KeyPair) Client(clock func() time.Time) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return k.certificate(clock())
		},
		// The standard check would compare names and can't follow a pool that is
		// read anew; VerifyConnection checks the chain instead.
		InsecureSkipVerify: true,
		VerifyConnection:   func(s tls.ConnectionState) error { return k.verify(s, clock()) },
	}
}

func (k *KeyPair) certificate(now time.Time) (*tls.Certificate, error) {
	pair, _, err := k.Load(now)
	if pair == nil {
		return nil, err
	}
	return pair, nil
}

func (k *KeyPair) verify(s tls.ConnectionState, now time.Time) error {
	_, pool, err := k.Load(now)
	if pool == nil {
		return err
	}
	if len(s.PeerCertificates) == 0 {
		return result.New(result.PeerUnknown, "")
	}
	middle := x509.NewCertPool()
	for _, c := range s.PeerCertificates[1:] {
		middle.AddCert(c)
	}
	opts := x509.VerifyOptions{Roots: pool, Intermediates: middle, CurrentTime: now, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}}
	if _, err := s.PeerCertificates[0].Verify(opts); err != nil {
		return result.New(result.PeerUnknown, err.Error())
	}
	return nil
}
