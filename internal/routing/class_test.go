package routing

import "testing"

// classTable has the given routes' priorities for one service, and two accounts.
func classTable(accountPriorities []int, routePriorities ...int) (*Table, []*Route) {
	var routes []*Route
	for _, p := range routePriorities {
		routes = append(routes, &Route{Host: "h", Priority: p, Splits: []Split{{Service: "s", Weight: 1}}})
	}
	var accounts []AccountKeys
	for _, p := range accountPriorities {
		accounts = append(accounts, AccountKeys{Account: Account{Priority: p}})
	}
	return NewTable(1, routes, []*Service{{Name: "s"}}, accounts, Limits{}), routes
}

func assertClass(t *testing.T, table *Table, r *Route, accountPriority int, want Class) {
	t.Helper()
	if got := table.Class("s", r, &Account{Priority: accountPriority}); got != want {
		t.Errorf("route %d, account %d: class %d, want %d", r.Priority, accountPriority, got, want)
	}
}

// Guards against routes' priorities without effect where each account states one.
func TestAccountsPriorityGoesBeforeTheRoutes(t *testing.T) {
	table, routes := classTable([]int{0, 1}, 0, 1, 2)
	order := []struct{ account, route int }{{0, 0}, {0, 1}, {0, 2}, {1, 0}, {1, 1}, {1, 2}}
	last := Class(-1)
	for _, o := range order {
		c := table.Class("s", routes[o.route], &Account{Priority: o.account})
		if c <= last {
			t.Errorf("account %d, route %d: class %d after %d", o.account, o.route, c, last)
		}
		last = c
	}
}

// Guards against another order of requests where routes don't differ in priority.
func TestServiceWithoutDifferentPrioritiesHasNoClasses(t *testing.T) {
	table, routes := classTable([]int{0, 1}, 1, 1, 1)
	if table.HasClasses("s") {
		t.Error("has classes")
	}
	assertClass(t, table, routes[0], 0, 0)
	assertClass(t, table, routes[0], 1, 0)
}

// Guards against priorities that are out of range, and more of them than there are classes.
func TestPrioritiesOutOfRange(t *testing.T) {
	t.Run("negative and huge", func(t *testing.T) {
		table, routes := classTable(nil, -7, 0, 1<<40)
		for i, want := range []Class{0, 0, 1} {
			if got := table.Class("s", routes[i], nil); got != want {
				t.Errorf("priority %d: class %d, want %d", routes[i].Priority, got, want)
			}
		}
	})
	t.Run("a hundred", func(t *testing.T) {
		var priorities []int
		for p := range 100 {
			priorities = append(priorities, p)
		}
		table, routes := classTable(nil, priorities...)
		assertClass(t, table, routes[99], -1, MaxClass)
		assertClass(t, table, routes[3], -1, 3)
	})
}
