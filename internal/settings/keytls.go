package settings

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"time"
)

var errNoHost = errors.New("settings: no host to check a certificate by")

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

// Client returns a configuration for connections to host, which is an IP
// address or a name. It shows the certificate and checks the other side's by
// the pool, both as Load has them at the handshake.
//
// The library reads its pool once, when the configuration is made; a process
// that lives longer than a certificate authority would refuse all peers that
// have been renewed. So its check is turned off and made here, in the same
// way: chain, time, use and host. The host is an argument because the library
// does not tell VerifyConnection of hosts that are IP addresses.
func (k *KeyPair) Client(host string, clock func() time.Time) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		ServerName: host,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return k.certificate(clock())
		},
		InsecureSkipVerify: true,
		VerifyConnection: func(s tls.ConnectionState) error {
			_, pool, err := k.Load(clock())
			if pool == nil {
				return err
			}
			return verify(host, s.PeerCertificates, pool, clock())
		},
	}
}

func (k *KeyPair) certificate(now time.Time) (*tls.Certificate, error) {
	pair, _, err := k.Load(now)
	if pair == nil {
		return nil, err
	}
	return pair, nil
}

func verify(host string, chain []*x509.Certificate, pool *x509.CertPool, now time.Time) error {
	if host == "" {
		// x509 would leave out the check of the host.
		return errNoHost
	}
	opts := x509.VerifyOptions{
		DNSName:       host,
		Roots:         pool,
		CurrentTime:   now,
		Intermediates: x509.NewCertPool(),
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	}
	for _, c := range chain[1:] {
		opts.Intermediates.AddCert(c)
	}
	_, err := chain[0].Verify(opts)
	return err
}
