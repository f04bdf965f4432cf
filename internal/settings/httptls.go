package settings

import (
	"crypto/tls"
	"time"

	httptls "github.com/lesismal/llib/std/crypto/tls"
)

// sealingSuites are the suites of TLS 1.2 that add a known number of bytes to
// each record. TLS 1.3 has no others.
var sealingSuites = []uint16{
	httptls.TLS_ECDHE_ECDSA_WITH_AES_128_GCM_SHA256,
	httptls.TLS_ECDHE_RSA_WITH_AES_128_GCM_SHA256,
	httptls.TLS_ECDHE_ECDSA_WITH_AES_256_GCM_SHA384,
	httptls.TLS_ECDHE_RSA_WITH_AES_256_GCM_SHA384,
	httptls.TLS_ECDHE_ECDSA_WITH_CHACHA20_POLY1305,
	httptls.TLS_ECDHE_RSA_WITH_CHACHA20_POLY1305,
}

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
			return &httptls.Config{
				MinVersion:   tls.VersionTLS12,
				Certificates: []httptls.Certificate{c},
				CipherSuites: sealingSuites,
				// Who writes to the connection counts the bytes that it becomes,
				// which needs records of one size.
				DynamicRecordSizingDisabled: true,
			}, nil
		},
	}
}
