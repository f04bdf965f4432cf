package settings

import (
	"crypto/tls"
	"time"

	httptls "github.com/lesismal/llib/std/crypto/tls"
)

// HTTPServer returns a configuration for nbhttp, which has a TLS package of its
// own. It asks Load anew for each connection. Callers and operators show no
// certificates: they have keys and tokens.
func (k *KeyPair) HTTPServer(clock func() time.Time) *httptls.Config {
	return &httptls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*httptls.ClientHelloInfo) (*httptls.Config, error) {
			pair, _, err := k.Load(clock())
			if pair == nil {
				return nil, err
			}
			c := httptls.Certificate{Certificate: pair.Certificate, PrivateKey: pair.PrivateKey, Leaf: pair.Leaf}
			return &httptls.Config{MinVersion: tls.VersionTLS12, Certificates: []httptls.Certificate{c}}, nil
		},
	}
}
