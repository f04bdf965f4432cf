package settings

import (
	"net/netip"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/inifile"
)

// Bounds holds what the platform's operators demand of every process.
type Bounds struct {
	// ChangeApply is how soon a change of the configuration must be in force.
	ChangeApply time.Duration
	// KeyRevoke is how soon a key that was taken away must be refused.
	KeyRevoke time.Duration
	// RetryShare of the requests, and RetrySlack more in each RetryWindow,
	// may be sent once more by all entries together.
	RetryShare, RetrySlack float64
	RetryWindow            time.Duration
	// Grace is how long a process may take to stop.
	Grace time.Duration
}

// Relay holds the settings of an entry that speaks to endpoints directly.
type Relay struct {
	Process
	Bounds Bounds
	// CallerAddress is listened on for callers, and ReadyAddress for those who
	// ask whether the process takes connections.
	CallerAddress, ReadyAddress netip.AddrPort
	// LineRate is what the VM's line takes, in bytes a second.
	LineRate float64
	// Memory is the VM's memory in bytes.
	Memory int64
}

// Ranker holds the settings of an agent that leads the expert maps of its
// endpoint's group.
type Ranker struct {
	Process
	// EndpointAddress is the IP:port of the model engine beside the agent, and
	// Service the name of its service.
	EndpointAddress netip.AddrPort
	Service         string
	// FencingChecked says that the engines refuse orders with a fencing token
	// lower than one that they have seen.
	FencingChecked bool
}

// Defaults and bounds of these settings.
const (
	maxBound = time.Hour
	// Lines are set in megabits a second.
	defaultLine    = 100
	mostLine       = 1e6
	bytesOfMegabit = 1e6 / 8
	// Memory is set in megabytes.
	defaultMemory   = 256
	mostMemory      = 1e6
	bytesOfMegabyte = 1 << 20
	defaultApply    = 2 * time.Second
	defaultRevoke   = 5 * time.Second
	defaultGrace    = 8 * time.Second
	defaultWindow   = 10 * time.Second
	defaultSlack    = 50
	defaultShare    = 0.1
	mostSlack       = 1e6
	mostShare       = 1
)

func readBounds(s *inifile.Section) Bounds {
	return Bounds{
		ChangeApply: s.Duration("changeApply", defaultApply, time.Second, maxBound),
		KeyRevoke:   s.Duration("keyRevoke", defaultRevoke, time.Second, maxBound),
		RetryShare:  s.Float("retryShare", defaultShare, mostShare),
		RetrySlack:  s.Float("retrySlack", defaultSlack, mostSlack),
		RetryWindow: s.Duration("retryWindow", defaultWindow, time.Second, maxBound),
		Grace:       s.Duration("grace", defaultGrace, time.Second, maxBound),
	}
}

// LoadRelay returns the settings of a relay. The error is of type Errors.
func LoadRelay(f *Flags) (*Relay, error) {
	doc, err := f.document()
	if err != nil {
		return nil, err
	}
	s := doc.Section("process")
	r := &Relay{Process: readProcess(s, doc.Section("tls")), Bounds: readBounds(doc.Section("bounds"))}
	s.Require("callerAddress", "readyAddress")
	r.CallerAddress = s.Address("callerAddress", true)
	r.ReadyAddress = s.Address("readyAddress", true)
	r.LineRate = bytesOfMegabit * s.Float("lineRate", defaultLine, mostLine)
	r.Memory = int64(bytesOfMegabyte * s.Float("memory", defaultMemory, mostMemory))
	errs := fromFaults(doc.Close("[process]", "[bounds]", "[tls]"))
	errs = append(errs, r.TLS.check()...)
	if len(errs) > 0 {
		return nil, errs
	}
	return r, nil
}

// LoadRanker returns the settings of a ranker. The error is of type Errors.
func LoadRanker(f *Flags) (*Ranker, error) {
	doc, err := f.document()
	if err != nil {
		return nil, err
	}
	r := &Ranker{Process: readProcess(doc.Section("process"), doc.Section("tls"))}
	s := doc.Section("endpoint")
	s.Require("address", "service")
	r.EndpointAddress = s.Address("address", false)
	r.Service = s.Text("service", "")
	r.FencingChecked = s.Choice("fencing", fencingIgnored, fencingChecked, fencingIgnored) == fencingChecked
	errs := fromFaults(doc.Close("[process]", "[endpoint]", "[tls]"))
	errs = append(errs, r.TLS.check()...)
	if len(errs) > 0 {
		return nil, errs
	}
	return r, nil
}
