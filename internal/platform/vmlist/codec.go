package vmlist

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
)

// maxResponseBytes is the size limit of a response. It is several times the size of
// a list of 5,000 VMs of some 200 bytes each.
const maxResponseBytes = 4 << 20

// ErrMalformed reports that a response is malformed.
var ErrMalformed = errors.New("vmlist: malformed response")

type vmJSON struct {
	ID         string `json:"id"`
	Role       Role   `json:"role"`
	DataCentre string `json:"dataCentre"`
	Address    string `json:"address"`
	State      State  `json:"state"`
}

// Delta is a response of the service: the VMs that changed and the ids of those
// that were removed since a revision.
type Delta struct {
	revision int64
	vms      []VM
	removed  []string
}

type deltaJSON struct {
	Revision int64    `json:"revision"`
	VMs      []vmJSON `json:"vms"`
	Removed  []string `json:"removed"`
}

// NewDelta returns a Delta whose changes lead to the revision.
func NewDelta(revision int64, vms []VM, removed []string) Delta {
	return Delta{revision: revision, vms: vms, removed: removed}
}

// Encode returns d as JSON.
func (d Delta) Encode() ([]byte, error) {
	j := deltaJSON{Revision: d.revision, VMs: []vmJSON{}, Removed: d.removed}
	for _, v := range d.vms {
		j.VMs = append(j.VMs, vmJSON{ID: v.id, Role: v.role, DataCentre: v.dataCentre, Address: v.address, State: v.state})
	}
	return json.Marshal(j)
}

// DecodeDelta decodes a response. It ignores unknown keys, because the platform
// defines the format. Its errors wrap ErrMalformed.
func DecodeDelta(b []byte) (Delta, error) {
	var j deltaJSON
	if err := json.Unmarshal(b, &j); err != nil {
		return Delta{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if j.Revision < 0 {
		return Delta{}, fmt.Errorf("%w: negative revision %d", ErrMalformed, j.Revision)
	}
	d := Delta{revision: j.Revision, removed: j.Removed}
	for _, v := range j.VMs {
		if err := v.validate(); err != nil {
			return Delta{}, err
		}
		d.vms = append(d.vms, NewVM(v.ID, v.Role, v.DataCentre, v.Address, v.State))
	}
	return d, nil
}

func (v vmJSON) validate() error {
	if v.ID == "" || v.DataCentre == "" {
		return fmt.Errorf("%w: VM without id or data centre", ErrMalformed)
	}
	if v.Role != Entry && v.Role != Agent {
		return fmt.Errorf("%w: VM %s has unknown role %q", ErrMalformed, v.ID, v.Role)
	}
	if v.State != Live && v.State != Leaving {
		return fmt.Errorf("%w: VM %s has unknown state %q", ErrMalformed, v.ID, v.State)
	}
	if _, err := netip.ParseAddrPort(v.Address); err != nil {
		return fmt.Errorf("%w: VM %s has invalid address %q", ErrMalformed, v.ID, v.Address)
	}
	return nil
}

// VMs returns the VMs that were added or changed.
func (d Delta) VMs() []VM { return d.vms }

// Removed returns the ids of the VMs that were removed from the list.
func (d Delta) Removed() []string { return d.removed }
