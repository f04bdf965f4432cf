package holdback

import (
	"maps"
	"slices"
	"strings"

	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// Order holds back a target until it is released.
type Order struct {
	Target Target
	// By is the operator who gave the order.
	By string
	// Revision is the revision of the store at which the order was written.
	Revision int64
}

// Check returns a result.MalformedOrder if the order can't be given.
func (o Order) Check() *result.Error {
	if e := Check(o.Target); e != nil {
		return e
	}
	if o.By == "" {
		return nil
	}
	return checkName("operator", o.By)
}

// Update is what the store says of orders.
type Update struct {
	// Complete means that Held and Unreadable name all targets that the store names, so that all
	// others have been released.
	Complete bool
	// Revision is the revision of the store up to which the update holds. It is that of the releases.
	Revision int64
	Held     []Order
	Released []Target
	// Unreadable names targets whose order could not be read. What is known of them stays.
	Unreadable []Target
}

// Change is what an update changed: Held or Released.
type Change interface{ isChange() }

// Held means that requests are held back from now on, or by a newer order.
type Held struct{ Order Order }

// Released means that an order is no longer in force.
type Released struct{ Order Order }

func (Held) isChange()     {}
func (Released) isChange() {}

// Table holds the orders in force. The zero value holds none. It is not safe for concurrent use.
type Table struct {
	orders map[Target]Order
	// released holds the revisions at which targets were last released since the last complete
	// update, and completeAt the revision of that update. An older order does not come back.
	released   map[Target]int64
	completeAt int64
}

// Apply applies an update and returns what it changed, in the order of the targets' IDs.
func (t *Table) Apply(u Update) []Change {
	if t.orders == nil {
		t.orders, t.released = map[Target]Order{}, map[Target]int64{}
	}
	var changes []Change
	if u.Complete {
		changes = t.releaseUnlisted(u)
	}
	for _, o := range u.Held {
		if t.isNewer(o, u.Complete) {
			t.orders[o.Target] = o
			delete(t.released, o.Target)
			changes = append(changes, Held{Order: o})
		}
	}
	for _, target := range u.Released {
		changes = append(changes, t.release(target, u.Revision)...)
	}
	slices.SortFunc(changes, func(a, b Change) int { return strings.Compare(targetOf(a).ID(), targetOf(b).ID()) })
	return changes
}

// isNewer reports whether an order is newer than what is known of its target. A complete update says
// what the store holds, whatever was known before.
func (t *Table) isNewer(o Order, complete bool) bool {
	known, held := t.orders[o.Target]
	if complete {
		return !held || known.Revision != o.Revision
	}
	return o.Revision > max(known.Revision, t.released[o.Target], t.completeAt)
}

// releaseUnlisted releases the targets that a complete update does not name.
func (t *Table) releaseUnlisted(u Update) []Change {
	listed := map[Target]bool{}
	for _, o := range u.Held {
		listed[o.Target] = true
	}
	for _, target := range u.Unreadable {
		listed[target] = true
	}
	var changes []Change
	for target, o := range t.orders {
		if !listed[target] {
			delete(t.orders, target)
			changes = append(changes, Released{Order: o})
		}
	}
	clear(t.released)
	t.completeAt = u.Revision
	return changes
}

func (t *Table) release(target Target, revision int64) []Change {
	known, held := t.orders[target]
	if known.Revision > revision {
		return nil
	}
	t.released[target] = max(t.released[target], revision)
	if !held {
		return nil
	}
	delete(t.orders, target)
	return []Change{Released{Order: known}}
}

func targetOf(c Change) Target {
	switch c := c.(type) {
	case Held:
		return c.Order.Target
	case Released:
		return c.Order.Target
	}
	return nil
}

// InForce returns the orders in force, or nil if there are none.
func (t *Table) InForce() *InForce {
	if len(t.orders) == 0 {
		return nil
	}
	f := &InForce{classes: map[ServiceClass]Order{}, accounts: map[string]Order{}}
	for target, o := range t.orders {
		switch target := target.(type) {
		case ServiceClass:
			f.classes[target] = o
		case Account:
			f.accounts[target.Name] = o
		}
	}
	return f
}

// InForce is a set of orders in force, which doesn't change. A nil InForce holds back nothing.
type InForce struct {
	classes  map[ServiceClass]Order
	accounts map[string]Order
}

// Covering returns the order that holds back a request of an account with a class of a service, or
// false if none does.
func (f *InForce) Covering(c ServiceClass, account string) (Order, bool) {
	if f == nil {
		return Order{}, false
	}
	if o, ok := f.classes[c]; ok {
		return o, true
	}
	o, ok := f.accounts[account]
	return o, ok
}

// Orders returns all orders, by the IDs of their targets.
func (f *InForce) Orders() []Order {
	if f == nil {
		return nil
	}
	orders := slices.AppendSeq(slices.Collect(maps.Values(f.classes)), maps.Values(f.accounts))
	slices.SortFunc(orders, func(a, b Order) int { return strings.Compare(a.Target.ID(), b.Target.ID()) })
	return orders
}
