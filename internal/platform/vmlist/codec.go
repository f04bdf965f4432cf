package vmlist

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
)

// maxAnswer bounds one answer of the list: some 5,000 VMs of 200 bytes each
// with room to spare.
const maxAnswer = 4 << 20

// ErrMalformed says that an answer of the list can't be read.
var ErrMalformed = errors.New("vmlist: the answer can't be read")

type vmJSON struct {
	ID         string `json:"id"`
	Role       Role   `json:"role"`
	DataCentre string `json:"dataCentre"`
	Address    string `json:"address"`
	State      State  `json:"state"`
}

// Delta is one answer of the list.
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

// NewDelta returns an answer of the list.
func NewDelta(revision int64, vms []VM, removed []string) Delta {
	return Delta{revision: revision, vms: vms, removed: removed}
}

// Encode returns the answer as JSON.
func (d Delta) Encode() ([]byte, error) {
	j := deltaJSON{Revision: d.revision, VMs: []vmJSON{}, Removed: d.removed}
	for _, v := range d.vms {
		j.VMs = append(j.VMs, vmJSON{ID: v.id, Role: v.role, DataCentre: v.dataCentre, Address: v.address, State: v.state})
	}
	return json.Marshal(j)
}

// DecodeDelta reads an answer of the list. Keys that are not known are passed
// over, because the list is the platform's. The error wraps ErrMalformed.
func DecodeDelta(b []byte) (Delta, error) {
	var j deltaJSON
	if err := json.Unmarshal(b, &j); err != nil {
		return Delta{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if j.Revision < 0 {
		return Delta{}, fmt.Errorf("%w: revision %d", ErrMalformed, j.Revision)
	}
	d := Delta{revision: j.Revision, removed: j.Removed}
	for _, v := range j.VMs {
		if err := v.check(); err != nil {
			return Delta{}, err
		}
		d.vms = append(d.vms, NewVM(v.ID, v.Role, v.DataCentre, v.Address, v.State))
	}
	return d, nil
}

func (v vmJSON) check() error {
	if v.ID == "" || v.DataCentre == "" {
		return fmt.Errorf("%w: a VM without id or data centre", ErrMalformed)
	}
	if v.Role != Entry && v.Role != Agent {
		return fmt.Errorf("%w: VM %s has the role %q", ErrMalformed, v.ID, v.Role)
	}
	if v.State != Live && v.State != Leaving {
		return fmt.Errorf("%w: VM %s has the state %q", ErrMalformed, v.ID, v.State)
	}
	if _, err := netip.ParseAddrPort(v.Address); err != nil {
		return fmt.Errorf("%w: VM %s has the address %q", ErrMalformed, v.ID, v.Address)
	}
	return nil
}

// VMs returns the VMs that changed.
func (d Delta) VMs() []VM { return d.vms }

// Removed returns the ids of the VMs that are no longer listed.
func (d Delta) Removed() []string { return d.removed }
