package routing

import (
	"testing"
	"time"
)

func testTable() *Table {
	routes := []*Route{
		{Name: "all", Host: "h", Prefix: "/", Splits: []Split{{Service: "s", Weight: 1}}},
		{Name: "deep", Host: "h", Prefix: "/a/b/", MaxGap: 200 * time.Millisecond, Splits: []Split{{"s", 90}, {"u", 10}}},
		{Name: "mid", Host: "h", Prefix: "/a/", MaxGap: 120 * time.Millisecond, Splits: []Split{{Service: "s", Weight: 1}}},
	}
	accounts := []AccountKeys{{Account: Account{Name: "x", Priority: -1}, Keys: []string{"k1", "k2"}}}
	return NewTable(7, routes, []*Service{{Name: "s"}, {Name: "u"}}, accounts, Limits{})
}

func TestRouteIsTheLongestPrefix(t *testing.T) {
	for path, want := range map[string]string{"/a/b/c": "deep", "/a/bc": "mid", "/z": "all", "/a/": "mid"} {
		if r := testTable().Route("h", path); r == nil || r.Name != want {
			t.Errorf("%s: %v, want %s", path, r, want)
		}
	}
	if r := testTable().Route("other", "/a/"); r != nil {
		t.Errorf("got route %s for an unknown host", r.Name)
	}
}

func TestPickFollowsWeights(t *testing.T) {
	n := map[string]int{}
	r := testTable().Route("h", "/a/b/")
	for i := range 1000 {
		n[r.Pick(float64(i)/1000)]++
	}
	if n["s"] != 900 || n["u"] != 100 {
		t.Fatalf("%v", n)
	}
	if got := (&Route{}).Pick(0.5); got != "" {
		t.Fatalf("a route without splits gave %q", got)
	}
}

func TestAccountsAndGaps(t *testing.T) {
	tb := testTable()
	if a := tb.Account("k2"); a == nil || a.Name != "x" {
		t.Fatalf("%v", a)
	}
	if tb.Account("k3") != nil || !tb.NeedsKeys() {
		t.Fatal("keys")
	}
	if g := tb.MaxGaps(); g["s"] != 120*time.Millisecond || g["u"] != 200*time.Millisecond {
		t.Fatalf("%v", g)
	}
	if NewTable(1, nil, nil, nil, Limits{}).NeedsKeys() {
		t.Fatal("a table without accounts requires keys")
	}
}

func TestMayRetry(t *testing.T) {
	for r, want := range map[*Route]bool{
		{RetrySemantics: RunOnce}:                  false,
		{RetrySemantics: RunOnce, Resumable: true}: false,
		{RetrySemantics: Idempotent}:               true,
		{RetrySemantics: Stream}:                   false,
		{RetrySemantics: Stream, Resumable: true}:  true,
	} {
		if r.MayRetry() != want {
			t.Errorf("%+v", r)
		}
	}
}
