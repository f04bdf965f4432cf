package command

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// tlsConfig returns a configuration that checks entries by the certificates of
// a file, or by those of the operating system when none is named.
func tlsConfig(ca string) (*tls.Config, error) {
	cfg := &tls.Config{MinVersion: tls.VersionTLS12}
	if ca == "" {
		return cfg, nil
	}
	pem, err := os.ReadFile(ca)
	if err != nil {
		return nil, result.New(result.BadCertificate, err.Error())
	}
	cfg.RootCAs = x509.NewCertPool()
	if !cfg.RootCAs.AppendCertsFromPEM(pem) {
		return nil, result.Newf(result.BadCertificate, "%s holds no certificate", ca)
	}
	return cfg, nil
}
