package settings

import (
	"crypto/sha256"
	"crypto/subtle"
	"crypto/tls"
	"crypto/x509"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// watchedFile tells when a file has changed.
type watchedFile struct {
	path  string
	mtime time.Time
	size  int64
}

// changed reports whether the file differs from when changed was last called.
// A file that can't be looked at has not changed.
func (w *watchedFile) changed() bool {
	fi, err := os.Stat(w.path)
	if err != nil {
		return false
	}
	if fi.ModTime().Equal(w.mtime) && fi.Size() == w.size {
		return false
	}
	w.mtime = fi.ModTime()
	w.size = fi.Size()
	return true
}

// Token is the operator token. With a File it is read anew when the file has
// changed; while the file can't be read or is empty, the last token holds.
type Token struct {
	// Fixed is the token when there is no file.
	Fixed string
	// File holds the token; white space around it does not count.
	File string
	// Interval is how often the file is looked at.
	Interval time.Duration

	// mu guards the fields below; it is held while the file is read.
	mu     sync.Mutex
	looked time.Time
	file   watchedFile
	sum    [sha256.Size]byte
	known  bool
}

// Check reports whether text is the token. The comparison takes the same time
// for every text of the same length and for texts of other lengths, because
// it compares SHA-256 sums. Without any token it reports false.
func (t *Token) Check(text string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh(now)
	sum := sha256.Sum256([]byte(text))
	return t.known && subtle.ConstantTimeCompare(sum[:], t.sum[:]) == 1
}

func (t *Token) refresh(now time.Time) {
	if t.File == "" {
		t.set(t.Fixed)
		return
	}
	if !t.looked.IsZero() && now.Sub(t.looked) < t.Interval {
		return
	}
	t.looked = now
	t.file.path = t.File
	if !t.file.changed() {
		return
	}
	text, err := os.ReadFile(t.File)
	if err != nil {
		t.file = watchedFile{}
		return
	}
	t.set(strings.TrimSpace(string(text)))
}

func (t *Token) set(text string) {
	if len(text) < minTokenBytes {
		return
	}
	t.sum = sha256.Sum256([]byte(text))
	t.known = true
}

// KeyPair is the certificate of a process together with the certificates that
// it checks others by. All are read anew when a file has changed; while the
// new files can't be used, the last good ones hold, so that a certificate
// that is half written does not stop the process.
type KeyPair struct {
	// Files names the files.
	Files TLS

	// mu guards the fields below; it is held while the files are read.
	mu     sync.Mutex
	looked time.Time
	cert   watchedFile
	key    watchedFile
	ca     watchedFile
	pair   *tls.Certificate
	pool   *x509.CertPool
	err    error
}

// Load reads the files if the interval has passed and returns the newest good
// certificate and pool. The error is about the newest files; it may stand
// beside an older certificate that still holds.
func (k *KeyPair) Load(now time.Time) (*tls.Certificate, *x509.CertPool, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.looked.IsZero() && now.Sub(k.looked) < k.Files.ReloadInterval {
		return k.pair, k.pool, k.err
	}
	k.looked = now
	k.cert.path, k.key.path, k.ca.path = k.Files.Cert, k.Files.Key, k.Files.CA
	// All three are looked at, so that each is remembered.
	certNew, keyNew, caNew := k.cert.changed(), k.key.changed(), k.ca.changed()
	if k.pair == nil || k.err != nil || certNew || keyNew || caNew {
		k.read()
	}
	return k.pair, k.pool, k.err
}

func (k *KeyPair) read() {
	pair, err := tls.LoadX509KeyPair(k.Files.Cert, k.Files.Key)
	if err != nil {
		k.err = result.New(result.BadCertificate, err.Error())
		return
	}
	pem, err := os.ReadFile(k.Files.CA)
	if err != nil {
		k.err = result.New(result.BadCertificate, err.Error())
		return
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		k.err = result.Newf(result.BadCertificate, "%s holds no certificate", k.Files.CA)
		return
	}
	k.pair, k.pool, k.err = &pair, pool, nil
}
