package settings

import (
	"net/netip"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/inifile"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// Entry holds the settings of an entry.
type Entry struct {
	Process
	// CallerAddress is listened on for callers.
	CallerAddress netip.AddrPort
	// AdminAddress is listened on for operators.
	AdminAddress netip.AddrPort
	// OperatorToken is the token of the settings file, or "" when
	// OperatorTokenFile names a file that holds it.
	OperatorToken     string
	OperatorTokenFile string
	// OperatorReload is how often the token file is looked at.
	OperatorReload time.Duration
	// Limits bound what callers can use up.
	Limits Limits
}

// Limits bound what callers of one entry can use up.
type Limits struct {
	// BodyBytes is the largest body of a request.
	BodyBytes int
	// RequestTimeout is the time for a request to arrive whole.
	RequestTimeout time.Duration
	// IdleTimeout is the time for which an idle connection is kept.
	IdleTimeout time.Duration
	// MaxConnections is the most connections of callers.
	MaxConnections int
	// QueueLength is the most waiting requests, or 0 for the preset's value.
	QueueLength int
}

const (
	defaultBody        = 4 << 20
	maxBody            = 64 << 20
	defaultRequestWait = 30 * time.Second
	defaultIdle        = 90 * time.Second
	minWait            = 100 * time.Millisecond
	maxWait            = time.Hour
	defaultConnections = 4000
	maxConnections     = 200_000
	maxQueue           = 1_000_000
	minTokenBytes      = 16
)

// LoadEntry returns the settings of an entry. The error is of type Errors.
func LoadEntry(f *Flags) (*Entry, error) {
	doc, err := f.document()
	if err != nil {
		return nil, err
	}
	s := doc.Section("process")
	e := &Entry{Process: readProcess(s, doc.Section("tls"))}
	s.Require("callerAddress", "adminAddress")
	e.CallerAddress = s.Address("callerAddress", true)
	e.AdminAddress = s.Address("adminAddress", true)
	e.readOperator(doc.Section("operator"))
	e.Limits = readLimits(doc.Section("limits"))
	errs := fromFaults(doc.Close("[process]", "[operator]", "[limits]", "[tls]"))
	errs = append(errs, e.checkToken()...)
	errs = append(errs, e.TLS.check()...)
	if len(errs) > 0 {
		return nil, errs
	}
	return e, nil
}

func (e *Entry) readOperator(s *inifile.Section) {
	e.OperatorToken = s.Text("token", "")
	e.OperatorTokenFile = s.Text("tokenFile", "")
	e.OperatorReload = s.Duration("reloadInterval", defaultReload, minReload, maxReload)
	if e.OperatorToken != "" && len(e.OperatorToken) < minTokenBytes {
		s.RejectSecret("token", "at least 16 bytes")
	}
}

func (e *Entry) checkToken() Errors {
	if (e.OperatorToken == "") == (e.OperatorTokenFile == "") {
		return Errors{result.New(result.MissingSetting, "[operator] needs token or tokenFile, and not both")}
	}
	return nil
}

func readLimits(s *inifile.Section) Limits {
	return Limits{
		BodyBytes:      s.Int("bodyBytes", defaultBody, 1024, maxBody),
		RequestTimeout: s.Duration("requestTimeout", defaultRequestWait, minWait, maxWait),
		IdleTimeout:    s.Duration("idleTimeout", defaultIdle, minWait, maxWait),
		MaxConnections: s.Int("maxConnections", defaultConnections, 1, maxConnections),
		QueueLength:    s.Int("queueLength", 0, 0, maxQueue),
	}
}
