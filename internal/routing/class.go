package routing

import (
	"cmp"
	"slices"
)

// Class is the priority class of a request among the requests for the same service: 0 is the most
// urgent, MaxClass the least urgent.
type Class int

// MaxClass is the least urgent class, which is also the least urgent value that endpoints accept.
// Classes beyond it are merged into it.
const MaxClass Class = 9

// DefaultPriority is the priority of a route that states none. Endpoints assume the same value for
// a request without urgency.
const DefaultPriority = 5

// classKey orders the requests for a service: by the priority in force, then by that of the route.
type classKey struct{ priority, routePriority int }

func compareClassKeys(a, b classKey) int {
	return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.routePriority, b.routePriority))
}

// newClassKey returns the key of requests of an account on a route. An account's priority takes
// precedence over the route's, which still orders the requests of accounts with equal priorities.
// Otherwise the priorities of routes would have no effect where each account states one.
func newClassKey(r *Route, a *Account) classKey {
	return classKey{priority: PriorityInForce(r, a), routePriority: max(0, r.Priority)}
}

// PriorityInForce returns the priority of an account's requests on a route: the account's if it states
// one, or else the route's. The account is nil for requests without one. A negative priority of a
// route counts as 0.
func PriorityInForce(r *Route, a *Account) int {
	if a != nil && a.Priority >= 0 {
		return a.Priority
	}
	return max(0, r.Priority)
}

// serviceClasses returns the keys of the classes of each service with classes, most urgent first.
// A service has classes if the routes that lead to it differ in priority.
func serviceClasses(routes []*Route, accounts []AccountKeys) map[string][]classKey {
	byService := map[string][]*Route{}
	for _, r := range routes {
		for _, s := range r.Splits {
			if !slices.ContainsFunc(byService[s.Service], func(other *Route) bool { return other.Priority == r.Priority }) {
				byService[s.Service] = append(byService[s.Service], r)
			}
		}
	}
	out := map[string][]classKey{}
	for service, distinct := range byService {
		if len(distinct) > 1 {
			out[service] = classKeys(distinct, accounts)
		}
	}
	return out
}

// classKeys returns the keys of all accounts, and of requests without one, on some routes.
func classKeys(routes []*Route, accounts []AccountKeys) []classKey {
	var keys []classKey
	for _, r := range routes {
		keys = append(keys, newClassKey(r, nil))
		for i := range accounts {
			if k := newClassKey(r, &accounts[i].Account); !slices.Contains(keys, k) {
				keys = append(keys, k)
			}
		}
	}
	slices.SortFunc(keys, compareClassKeys)
	return slices.Compact(keys)
}

// HasClasses reports whether requests for a service have different classes.
func (t *Table) HasClasses(service string) bool { return len(t.classes[service]) > 0 }

// Classes returns the number of classes of the requests for a service: 1 for a service without
// classes, and MaxClass+1 at most.
func (t *Table) Classes(service string) int {
	return min(max(1, len(t.classes[service])), int(MaxClass)+1)
}

// Class returns the class of an account's requests on a route for a service. The account is nil for
// requests without one. All requests for a service without classes have class 0.
func (t *Table) Class(service string, r *Route, a *Account) Class {
	keys := t.classes[service]
	if len(keys) == 0 {
		return 0
	}
	i, _ := slices.BinarySearchFunc(keys, newClassKey(r, a), compareClassKeys)
	return min(Class(i), MaxClass)
}
