package preset

import (
	"bytes"
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// small is a preset without faults that the cases add lines to.
const small = `[preset]
name = small
[dataCentre astana]
[account desk]
keyHash = 9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08
ratePerSecond = 2.5
concurrency = 4
[model quotes]
endpoints = *-engine-?, spare
concurrency = 8
coldStartConcurrency = 2
[service confirm]
endpoints = *-orders-*
concurrency = 4
repeatable = false
[priority urgent]
value = 10
`

// TestFaults runs the cases of testdata: "parse" reads a whole document,
// "with" reads the small preset with lines added to it.
func TestFaults(t *testing.T) {
	datadriven.RunTest(t, "testdata/faults/cases", func(t *testing.T, d *datadriven.TestData) string {
		switch d.Cmd {
		case "parse":
			return report(Parse([]byte(d.Input)))
		case "with":
			return report(Parse([]byte(small + d.Input)))
		default:
			t.Fatalf("unknown command %s", d.Cmd)
			return ""
		}
	})
}

func report(p *Preset, faults []Fault) string {
	if p != nil {
		return "preset " + p.Name()
	}
	var b strings.Builder
	for _, f := range faults {
		fmt.Fprintln(&b, f)
	}
	return b.String()
}

func mustParse(t *testing.T, text string) *Preset {
	t.Helper()
	p, faults := Parse([]byte(text))
	if p == nil {
		t.Fatal(report(p, faults))
	}
	return p
}

func TestRoutes(t *testing.T) {
	p := mustParse(t, small)
	checkRoute(t, p, "quotes", true, map[string]bool{
		"astana-engine-1": true, "spare": true, "astana-engine-12": false, "astana-orders-1": false, "": false,
	})
	checkRoute(t, p, "confirm", false, map[string]bool{"astana-orders-1": true, "astana-engine-1": false})
	if _, ok := p.Route("Quotes"); ok {
		t.Error("names must be compared exactly")
	}
	m, _ := p.Route("quotes")
	if got := m.Capacity(); got.ColdStart() != 2 || got.Concurrency() != 8 || got.RampStep() != 1 || got.RampCompletions() != 1 {
		t.Errorf("capacity %+v", got)
	}
	if m.DefaultDeadline() != 30*time.Second {
		t.Errorf("deadline %v", m.DefaultDeadline())
	}
}

func checkRoute(t *testing.T, p *Preset, name string, repeatable bool, serves map[string]bool) {
	t.Helper()
	r, ok := p.Route(name)
	if !ok || r.Name() != name || r.Repeatable() != repeatable {
		t.Fatalf("route %s: found %v, %+v", name, ok, r)
	}
	for endpoint, want := range serves {
		if got := r.Serves(endpoint); got != want {
			t.Errorf("%s serves %q: %v, want %v", name, endpoint, got, want)
		}
	}
}

func TestAccountByKey(t *testing.T) {
	p := mustParse(t, small)
	for key, want := range map[string]bool{"test": true, "Test": false, "": false, "test ": false} {
		a, ok := p.AccountByKey(key)
		if ok != want || (ok && a.Name() != "desk") {
			t.Errorf("key %q: %v %q", key, ok, a.Name())
		}
	}
}

// TestKeyIsNotRepeated: an operator puts the caller's key where its SHA-256
// belongs. The refusal is printed, logged and perhaps sent on; it must not
// carry the key with it.
func TestKeyIsNotRepeated(t *testing.T) {
	_, faults := Parse([]byte(strings.Replace(small, "keyHash = 9f", "keyHash = my-secret-key-9f", 1)))
	if len(faults) != 1 || faults[0].Key() != "keyHash" {
		t.Fatalf("faults %v", faults)
	}
	if strings.Contains(faults[0].String(), "secret") {
		t.Errorf("the fault repeats the key: %v", faults[0])
	}
}

func TestBounds(t *testing.T) {
	_, faults := Parse(bytes.Repeat([]byte("#"), MaxBytes+1))
	if len(faults) == 0 || faults[0].Allowed() != "at most 1048576 bytes" {
		t.Errorf("a document that is too large: %v", faults)
	}
	_, faults = Parse(bytes.Repeat([]byte("[x\n"), 1000))
	if len(faults) != 201 {
		t.Errorf("%d faults reported for 1000", len(faults))
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(small))
	f.Add([]byte("[model a]\nendpoints = [\n"))
	f.Add([]byte("[]\n[ ]\n=\n- = 1\n"))
	f.Add([]byte("[preset]\nname = `x\nname = \"\"\"\n%(name)s = %(name)s\n"))
	f.Fuzz(func(t *testing.T, r []byte) {
		p, faults := Parse(r)
		again, faultsAgain := Parse(r)
		if !reflect.DeepEqual(p, again) || !reflect.DeepEqual(faults, faultsAgain) {
			t.Fatal("two readings differ")
		}
		if (p == nil) == (len(faults) == 0) {
			t.Fatalf("preset %v together with %d faults", p, len(faults))
		}
		for _, fault := range faults {
			if fault.Found() == "" || fault.Allowed() == "" || strings.Contains(fault.String(), "\n") {
				t.Fatalf("fault says too little or too much: %+v", fault)
			}
		}
		if p != nil {
			checkLimits(t, p)
		}
	})
}

// checkLimits states what every preset without faults has.
func checkLimits(t *testing.T, p *Preset) {
	t.Helper()
	for _, a := range p.Accounts() {
		if a.RatePerSecond() <= 0 || a.Weight() <= 0 || a.Worth() <= 0 || a.Burst() < 1 || a.Concurrency() < 1 {
			t.Fatalf("account %+v", a)
		}
	}
	for name, r := range p.routes {
		c := r.Capacity()
		if c.ColdStart() < 1 || c.ColdStart() > c.Concurrency() || r.DefaultDeadline() <= 0 {
			t.Fatalf("route %s: %+v", name, c)
		}
	}
	if len(p.DataCentres()) == 0 || len(p.Accounts()) == 0 || len(p.routes) == 0 {
		t.Fatal("a preset that can serve nobody")
	}
}

func BenchmarkParse(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 5000} {
		var text strings.Builder
		text.WriteString(small)
		for i := range n {
			fmt.Fprintf(&text, "[account a%d]\nkeyHash = %064x\nratePerSecond = 1\nconcurrency = 2\n", i, i)
		}
		b.Run(fmt.Sprintf("accounts=%d", n), func(b *testing.B) {
			b.SetBytes(int64(text.Len()))
			for b.Loop() {
				if p, _ := Parse([]byte(text.String())); p == nil {
					b.Fatal("faults")
				}
			}
		})
	}
}
