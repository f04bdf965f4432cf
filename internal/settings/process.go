package settings

import (
	"net/netip"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/inifile"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// The formats of log lines.
const (
	LogText = "text"
	LogJSON = "json"
)

// Process is what settings of every role hold.
type Process struct {
	// Name is unique in the system.
	Name string
	// DataCentre is where the process runs.
	DataCentre string
	// PeerAddress is listened on for other processes of the system.
	PeerAddress netip.AddrPort
	// MetricsAddress is listened on for readers of metrics; it is not valid
	// when there is none.
	MetricsAddress netip.AddrPort
	// PlatformAddresses are tried in turn for the key-value service.
	PlatformAddresses []netip.AddrPort
	// VMListAddress answers with the list of VMs; it is not valid when there
	// is none.
	VMListAddress netip.AddrPort
	// DrainTimeout is how long a graceful stop waits for open requests.
	DrainTimeout time.Duration
	// LogFormat is LogText or LogJSON.
	LogFormat string
	// TLS is how connections are secured.
	TLS TLS
}

// TLS names the files of certificates.
type TLS struct {
	Cert string
	Key  string
	CA   string
	// Insecure turns TLS off; the files are empty then.
	Insecure bool
	// PlatformInsecure turns it off towards the platform alone, whose service
	// may be reached by a network of its own.
	PlatformInsecure bool
	// ReloadInterval is how often the files are looked at.
	ReloadInterval time.Duration
}

// Defaults and bounds of settings.
const (
	defaultDrain  = 30 * time.Second
	maxDrain      = time.Hour
	defaultReload = 10 * time.Second
	minReload     = time.Second
	maxReload     = time.Hour
)

func readProcess(s, tls *inifile.Section) Process {
	s.Require("name", "dataCentre", "peerAddress", "platformAddresses")
	return Process{
		Name:              readName(s, "name"),
		DataCentre:        readName(s, "dataCentre"),
		PeerAddress:       s.Address("peerAddress", true),
		MetricsAddress:    s.Address("metricsAddress", true),
		PlatformAddresses: s.Addresses("platformAddresses"),
		VMListAddress:     s.Address("vmListAddress", false),
		DrainTimeout:      s.Duration("drainTimeout", defaultDrain, 0, maxDrain),
		LogFormat:         s.Choice("logFormat", LogText, LogText, LogJSON),
		TLS:               readTLS(tls),
	}
}

func readName(s *inifile.Section, key string) string {
	n := s.Text(key, "")
	if n != "" && !inifile.ValidName(n) {
		s.Reject(inifile.BadValue, key, inifile.NameRule)
	}
	return n
}

func readTLS(s *inifile.Section) TLS {
	return TLS{
		Cert:     s.Text("cert", ""),
		Key:      s.Text("key", ""),
		CA:       s.Text("ca", ""),
		Insecure: s.Bool("insecure", false),

		PlatformInsecure: s.Bool("platformInsecure", false),

		ReloadInterval: s.Duration("reloadInterval", defaultReload, minReload, maxReload),
	}
}

// check refuses settings that leave open whether connections are secured. A
// forgotten section [tls] would otherwise start a process that talks in the
// clear, which nobody would see until the traffic is read by others.
func (t TLS) check() Errors {
	files := t.Cert != "" || t.Key != "" || t.CA != ""
	whole := t.Cert != "" && t.Key != "" && t.CA != ""
	switch {
	case t.Insecure && files:
		return Errors{result.New(result.InsecureSettings, "[tls] names files and insecure = true; allowed: one of them")}
	case t.Insecure || whole:
		return nil
	case files:
		return Errors{result.New(result.InsecureSettings, "[tls] needs cert, key and ca together")}
	default:
		return Errors{result.New(result.InsecureSettings, "[tls] is empty; allowed: cert, key and ca, or insecure = true")}
	}
}
