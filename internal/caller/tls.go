package caller

import (
	stdtls "crypto/tls"

	"github.com/lesismal/llib/std/crypto/tls"
)

// nbioTLS turns a configuration of the standard library into that of nbio's
// TLS, which is a copy of it that works without blocking.
func nbioTLS(cfg *stdtls.Config) *tls.Config {
	out := &tls.Config{MinVersion: tls.VersionTLS12}
	for _, c := range cfg.Certificates {
		out.Certificates = append(out.Certificates, tls.Certificate{
			Certificate: c.Certificate,
			PrivateKey:  c.PrivateKey,
			Leaf:        c.Leaf,
		})
	}
	if cfg.GetCertificate == nil {
		return out
	}
	out.GetCertificate = func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
		c, err := cfg.GetCertificate(&stdtls.ClientHelloInfo{})
		if err != nil {
			return nil, err
		}
		return &tls.Certificate{Certificate: c.Certificate, PrivateKey: c.PrivateKey, Leaf: c.Leaf}, nil
	}
	return out
}
