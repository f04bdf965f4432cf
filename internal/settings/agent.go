package settings

import (
	"net/netip"

	"github.com/hyssoprelay/hyssoprelay/internal/inifile"
)

// EndpointKind says what an agent stands beside.
type EndpointKind string

// The kinds of endpoints.
const (
	// Engine is a model engine.
	Engine EndpointKind = "engine"
	// Plain is a plain service.
	Plain EndpointKind = "plain"
)

// Agent holds the settings of an agent.
type Agent struct {
	Process
	// EndpointName is what presets match.
	EndpointName string
	// EndpointAddress is where the endpoint listens.
	EndpointAddress netip.AddrPort
	// Kind says what the endpoint is.
	Kind EndpointKind
	// FencingChecked says that the endpoint refuses orders with an old
	// fencing token by itself.
	FencingChecked bool
	// Rank is the endpoint's part in a group of ranks.
	Rank Rank
}

const (
	fencingChecked = "checked"
	fencingIgnored = "ignored"
)

// LoadAgent returns the settings of an agent. The error is of type Errors.
func LoadAgent(f *Flags) (*Agent, error) {
	doc, err := f.document()
	if err != nil {
		return nil, err
	}
	a := &Agent{Process: readProcess(doc.Section("process"), doc.Section("tls"))}
	a.readEndpoint(doc.Section("endpoint"))
	group := doc.Section("rank")
	a.Rank = readRank(group)
	a.checkRank(group)
	errs := fromFaults(doc.Close("[process]", "[endpoint]", "[rank]", "[tls]"))
	errs = append(errs, a.TLS.check()...)
	if len(errs) > 0 {
		return nil, errs
	}
	return a, nil
}

func (a *Agent) readEndpoint(s *inifile.Section) {
	s.Require("name", "address", "kind", "fencing")
	a.EndpointName = readName(s, "name")
	a.EndpointAddress = s.Address("address", false)
	a.Kind = EndpointKind(s.Choice("kind", string(Plain), string(Engine), string(Plain)))
	a.FencingChecked = s.Choice("fencing", fencingIgnored, fencingChecked, fencingIgnored) == fencingChecked
}
