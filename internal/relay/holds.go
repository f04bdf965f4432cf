package relay

import (
	"github.com/hyssoprelay/hyssoprelay/internal/holdback"
	"github.com/hyssoprelay/hyssoprelay/internal/routing"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// ApplyHolds applies what the store says of operators' orders that hold requests back. Requests that
// wait and are covered from now on are refused; those that run are not affected. It returns what the
// update changed.
func (st *State) ApplyHolds(u holdback.Update) []holdback.Change {
	st.mu.Lock()
	defer st.mu.Unlock()
	changes := st.holds.Apply(u)
	if len(changes) == 0 {
		return nil
	}
	st.holdsInForce.Store(st.holds.InForce())
	st.refuseWaiting(st.refuseHeldBack)
	return changes
}

// Holds returns the orders in force that hold requests back.
func (st *State) Holds() []holdback.Order { return st.holdsInForce.Load().Orders() }

// heldBack returns why a request is refused because an operator holds it back, or nil.
func (st *State) heldBack(service string, class routing.Class, account string) *result.Error {
	o, ok := st.holdsInForce.Load().Covering(holdback.ServiceClass{Service: service, Class: class}, account)
	if !ok {
		return nil
	}
	return holdback.Refusal(o)
}

// refuseHeldBack is heldBack for a request that is to be admitted. With mu held no order comes into
// force between this check and the queue.
func (st *State) refuseHeldBack(req AdmitRequest) *result.Error {
	return st.heldBack(req.Service.Name, req.Class, req.Account)
}
