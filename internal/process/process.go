// Package process holds what the processes of hyssoprelay share: how they
// reach the platform, secure their connections, log and show their metrics.
package process

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"
	"os"
	"time"

	nbiotls "github.com/lesismal/llib/std/crypto/tls"
	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc/credentials"

	"github.com/hyssoprelay/hyssoprelay/internal/platform"
	"github.com/hyssoprelay/hyssoprelay/internal/platform/vmlist"
	"github.com/hyssoprelay/hyssoprelay/internal/settings"
)

const (
	// PlatformTimeout bounds each call to the platform's service, which
	// answers in milliseconds when it is well.
	PlatformTimeout = 500 * time.Millisecond
	// listPeriod is how often the platform's list of VMs is read. The list lags
	// by itself; what a process says of its own leaving comes sooner.
	listPeriod = time.Second
	// maxDescriptors bounds the tables of connections that each event loop
	// allocates at its start, of 8 bytes for each descriptor that the VM allows.
	maxDescriptors = 1 << 16
	// listTimeout bounds one answer of the list.
	listTimeout = time.Second
)

// Budget is how many calls a second a process may make to the platform.
type Budget struct {
	Writes, Reads float64
}

// Dial opens a connection to a process or to the platform; nil means TCP.
type Dial func(ctx context.Context, addr string) (net.Conn, error)

// Platform returns a client of the platform's key-value service.
func Platform(p *settings.Process, b Budget, tlsConfig *tls.Config, d Dial, r metrics.Registry) *platform.Client {
	c := &platform.Client{
		Addrs:           addresses(p.PlatformAddresses),
		Timeout:         PlatformTimeout,
		WritesPerSecond: b.Writes,
		ReadsPerSecond:  b.Reads,
		Dial:            d,
		Metrics:         r,
	}
	if tlsConfig != nil && !p.TLS.PlatformInsecure {
		c.Credentials = credentials.NewTLS(tlsConfig)
	}
	return c
}

// VMList returns a client of the platform's list of VMs, or nil when the
// settings name none.
func VMList(p *settings.Process, d Dial, r metrics.Registry) *vmlist.Client {
	if !p.VMListAddress.IsValid() {
		return nil
	}
	c := &vmlist.Client{
		Addr:    p.VMListAddress.String(),
		Period:  listPeriod,
		Timeout: listTimeout,
		Metrics: r,
	}
	if d != nil {
		c.HTTP = &http.Transport{
			DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) { return d(ctx, addr) },

			MaxResponseHeaderBytes: vmlist.MaxHeadBytes,
		}
	}
	return c
}

func addresses(as []netip.AddrPort) []string {
	out := make([]string, 0, len(as))
	for _, a := range as {
		out = append(out, a.String())
	}
	return out
}

// QuietEventLoop turns nbio's own lines off, because it writes one for each
// piece that is sent to a caller who has gone, and bounds its tables.
func QuietEventLoop() {
	logging.SetLevel(logging.LevelNone)
	nbio.MaxOpenFiles = min(nbio.MaxOpenFiles, maxDescriptors)
}

// Log returns the process's logger.
func Log(p *settings.Process) *logrus.Logger {
	QuietEventLoop()
	l := logrus.New()
	l.SetOutput(os.Stderr)
	AddOrigin(l, p.Name, p.DataCentre)
	if p.LogFormat == settings.LogJSON {
		l.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	} else {
		l.SetFormatter(&logrus.TextFormatter{FullTimestamp: true, DisableColors: true})
	}
	return l
}

// AddOrigin has l name a process and its data centre in each line.
func AddOrigin(l *logrus.Logger, name, dataCentre string) {
	l.AddHook(origin{name: name, dataCentre: dataCentre})
}

// origin adds to each line where it comes from.
type origin struct {
	name, dataCentre string
}

// Levels implements logrus.Hook.
func (origin) Levels() []logrus.Level { return logrus.AllLevels }

// Fire implements logrus.Hook.
func (o origin) Fire(e *logrus.Entry) error {
	e.Data["process"] = o.name
	e.Data["dataCentre"] = o.dataCentre
	return nil
}

// TLS is how a process secures its connections. All are nil for plain TCP.
type TLS struct {
	// Peers and Client are the two sides of mutual TLS between processes.
	Peers, Client *tls.Config
	// Callers asks no certificate of the other side. It is of nbio's copy of
	// the standard library's package.
	Callers *nbiotls.Config
	// Keys is the certificate behind them.
	Keys *settings.KeyPair
}

// LoadTLS reads the certificates that the settings name.
func LoadTLS(p *settings.Process, now func() time.Time) (TLS, error) {
	if p.TLS.Insecure {
		return TLS{}, nil
	}
	k := &settings.KeyPair{Files: p.TLS}
	if _, _, err := k.Load(now()); err != nil {
		return TLS{}, err
	}
	return TLS{
		Callers: k.HTTPServer(now),
		Peers:   k.Server(true, now),
		Client:  k.Client(now),
		Keys:    k,
	}, nil
}

// Every calls f at once and then each period until ctx ends.
func Every(ctx context.Context, period time.Duration, f func(context.Context)) error {
	t := time.NewTicker(period)
	defer t.Stop()
	for {
		f(ctx)
		select {
		case <-t.C:
		case <-ctx.Done():
			return nil
		}
	}
}
