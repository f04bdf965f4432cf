package vmlist

import "sort"

// Role says what runs on a VM.
type Role string

// The roles.
const (
	Entry Role = "entry"
	Agent Role = "agent"
)

// State is what is known of a VM.
type State string

// The states. A VM that is neither is not a member.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// VM is a VM of the system.
type VM struct {
	id         string
	role       Role
	dataCentre string
	address    string
	state      State
}

// NewVM returns a VM in the given state.
func NewVM(id string, role Role, dataCentre, address string, s State) VM {
	return VM{id: id, role: role, dataCentre: dataCentre, address: address, state: s}
}

// ID returns the VM's id.
func (v VM) ID() string { return v.id }

// Role returns what runs on the VM.
func (v VM) Role() Role { return v.role }

// DataCentre returns the VM's data centre.
func (v VM) DataCentre() string { return v.dataCentre }

// Address returns the IP:port at which the VM's process is reached.
func (v VM) Address() string { return v.address }

// State returns whether the VM is live or leaving.
func (v VM) State() State { return v.state }

// Seen is what this process sees itself of a VM.
type Seen struct {
	// VM describes the VM as it described itself.
	VM VM
	// Stream says that a stream to it is live.
	Stream bool
	// Leaving says that the VM has said itself that it is leaving.
	Leaving bool
}

// Join returns the members by id. A VM that is listed or has a live stream is a
// member; one that is listed as leaving or has said so is leaving.
//
// The process's own word is believed at once, because the list lags by seconds
// in which new work would be sent to a VM that cuts it off; a live stream is
// believed because a VM that just came up is not listed yet, and because the
// list's service may be cut off while the VMs are not.
func Join(listed []VM, seen []Seen) []VM {
	m := make(map[string]VM, len(listed)+len(seen))
	for _, v := range listed {
		m[v.id] = v
	}
	for _, s := range seen {
		v, known := m[s.VM.id]
		if !known && !s.Stream {
			continue
		}
		if s.Stream {
			state := v.state
			v = s.VM
			if state == Leaving {
				v.state = Leaving
			}
		}
		if s.Leaving {
			v.state = Leaving
		}
		m[s.VM.id] = v
	}
	return sorted(m)
}

func sorted(m map[string]VM) []VM {
	vs := make([]VM, 0, len(m))
	for _, v := range m {
		vs = append(vs, v)
	}
	sort.Slice(vs, func(i, j int) bool { return vs[i].id < vs[j].id })
	return vs
}
