package vmlist

import "sort"

// Role is the kind of process that runs on a VM.
type Role string

// Roles of VMs.
const (
	Entry Role = "entry"
	Agent Role = "agent"
)

// State is the membership state of a VM.
type State string

// States of VMs. A VM in neither state is not a member.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// VM describes a VM of the system.
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

// Role returns the kind of process that runs on the VM.
func (v VM) Role() Role { return v.role }

// DataCentre returns the VM's data centre.
func (v VM) DataCentre() string { return v.dataCentre }

// Address returns the address of the process on the VM, as IP:port.
func (v VM) Address() string { return v.address }

// State returns whether the VM is live or leaving.
func (v VM) State() State { return v.state }

// Observation is what this process observes of a VM.
type Observation struct {
	// VM is the description that the VM gave of itself.
	VM VM
	// HasStream reports that a stream to the VM is live.
	HasStream bool
	// Leaving reports that the VM has announced that it is leaving.
	Leaving bool
}

// Merge returns the members in order of id. A VM is a member if it is listed or has
// a live stream. A member is leaving if it is listed as leaving or has announced it.
//
// An announcement takes effect at once, because the list lags by seconds, during
// which a leaving VM would get new work that it then aborts. A live stream makes a
// VM a member because a VM that has just started is not listed yet, and because the
// list may be unreachable while the VMs are not.
func Merge(listed []VM, observations []Observation) []VM {
	members := make(map[string]VM, len(listed)+len(observations))
	for _, v := range listed {
		members[v.id] = v
	}
	for _, o := range observations {
		v, found := members[o.VM.id]
		if !found && !o.HasStream {
			continue
		}
		if o.HasStream {
			state := v.state
			v = o.VM
			if state == Leaving {
				v.state = Leaving
			}
		}
		if o.Leaving {
			v.state = Leaving
		}
		members[o.VM.id] = v
	}
	return sortedByID(members)
}

func sortedByID(m map[string]VM) []VM {
	vs := make([]VM, 0, len(m))
	for _, v := range m {
		vs = append(vs, v)
	}
	sort.Slice(vs, func(i, j int) bool { return vs[i].id < vs[j].id })
	return vs
}
