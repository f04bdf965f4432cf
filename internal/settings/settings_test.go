package settings

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/jessevdk/go-flags"

	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

const smallEntry = `[process]
name = e1
dataCentre = astana
callerAddress = 127.0.0.1:0
adminAddress = 127.0.0.1:0
peerAddress = [::1]:0
platformAddresses = 127.0.0.1:2379, 127.0.0.1:2380
[operator]
token = 0123456789abcdef
[tls]
insecure = true
`

const smallAgent = `[process]
name = a1
dataCentre = astana
peerAddress = 127.0.0.1:0
platformAddresses = 127.0.0.1:2379
[endpoint]
name = astana-engine-1
address = 127.0.0.1:9000
kind = engine
fencing = checked
[tls]
insecure = true
`

func parseFlags(t *testing.T, f *Flags, args ...string) *Flags {
	t.Helper()
	p := flags.NewNamedParser("test", flags.Default&^flags.PrintErrors)
	if err := f.AddTo(p); err != nil {
		t.Fatal(err)
	}
	if _, err := p.ParseArgs(args); err != nil {
		t.Fatal(err)
	}
	return f
}

func writeFile(t *testing.T, text string) string {
	t.Helper()
	name := filepath.Join(t.TempDir(), "settings.ini")
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return name
}

func loadEntry(t *testing.T, text string, args ...string) (*Entry, error) {
	t.Helper()
	return LoadEntry(parseFlags(t, EntryFlags(), append([]string{"--settings", writeFile(t, text)}, args...)...))
}

func loadAgent(t *testing.T, text string, args ...string) (*Agent, error) {
	t.Helper()
	return LoadAgent(parseFlags(t, AgentFlags(), append([]string{"--settings", writeFile(t, text)}, args...)...))
}

// TestFaults runs the cases of testdata. Arguments of the command are flags;
// the input's lines are added to the small settings of the role.
func TestFaults(t *testing.T) {
	datadriven.RunTest(t, "testdata/cases", func(t *testing.T, d *datadriven.TestData) string {
		var args []string
		for _, a := range d.CmdArgs {
			args = append(args, fmt.Sprintf("--%s=%s", a.Key, strings.Join(a.Vals, ",")))
		}
		var err error
		switch d.Cmd {
		case "entry":
			_, err = loadEntry(t, smallEntry+d.Input, args...)
		case "entryAlone":
			_, err = loadEntry(t, d.Input, args...)
		case "agent":
			_, err = loadAgent(t, smallAgent+d.Input, args...)
		case "agentAlone":
			_, err = loadAgent(t, d.Input, args...)
		default:
			t.Fatalf("unknown command %s", d.Cmd)
		}
		if err == nil {
			return "settings\n"
		}
		return err.Error()
	})
}

func TestEntryValues(t *testing.T) {
	e, err := loadEntry(t, smallEntry, "--name=e2", "--limits.bodyBytes=2048", "--drainTimeout=7s")
	if err != nil {
		t.Fatal(err)
	}
	if e.Name != "e2" || e.Limits.BodyBytes != 2048 || e.DrainTimeout != 7*time.Second {
		t.Errorf("a flag must win over the file: %+v", e)
	}
	if e.DataCentre != "astana" || len(e.PlatformAddresses) != 2 || !e.TLS.Insecure || e.LogFormat != LogText {
		t.Errorf("values of the file: %+v", e)
	}
}

func TestAgentValues(t *testing.T) {
	a, err := loadAgent(t, smallAgent)
	if err != nil {
		t.Fatal(err)
	}
	if a.EndpointName != "astana-engine-1" || a.Kind != Engine || !a.FencingChecked || a.EndpointAddress.Port() != 9000 {
		t.Errorf("values of the file: %+v", a)
	}
}

// TestRankPlace: two endpoints would take the same part of the map if agents
// counted their places differently.
func TestRankPlace(t *testing.T) {
	const group = "--rank.group=chat"
	args := []string{
		group, "--rank.peers=10.0.0.1:8100,10.0.0.2:8100", "--rank.ranks=4", "--rank.slots=2", "--rank.experts=8",
		"--rank.layers=1", "--rank.expertBytes=1", "--rank.storeRate=1", "--rank.planEvery=0s",
	}
	for want, addr := range []string{"10.0.0.1:8100", "10.0.0.2:8100"} {
		a, err := loadAgent(t, smallAgent, append(args, "--peerAddress="+addr)...)
		if err != nil {
			t.Fatal(err)
		}
		if got := a.RankIndex(); got != want {
			t.Errorf("place %d, want %d", got, want)
		}
		if a.Rank.PlanEvery != 0 || a.Rank.LeaseTime != defaultLease {
			t.Errorf("%+v", a.Rank)
		}
	}
}

func TestExamplesLoad(t *testing.T) {
	if _, err := LoadEntry(parseFlags(t, EntryFlags(), "--settings=../../examples/entry.ini")); err != nil {
		t.Error(err)
	}
	if _, err := LoadRelay(parseFlags(t, RelayFlags(), "--settings=../../examples/relay.ini")); err != nil {
		t.Error(err)
	}
	if _, err := LoadRanker(parseFlags(t, RankerFlags(), "--settings=../../examples/ranker.ini")); err != nil {
		t.Error(err)
	}
	if _, err := LoadAgent(parseFlags(t, AgentFlags(), "--settings=../../examples/agent.ini")); err != nil {
		t.Error(err)
	}
}

// TestEachFlagIsAKey gives every flag of a role a value and looks that none is
// refused as unknown, so that the table of flags and the reading agree.
func TestEachFlagIsAKey(t *testing.T) {
	load := map[string]func(*Flags) error{
		"entry": func(f *Flags) error { _, err := LoadEntry(f); return err },
		"agent": func(f *Flags) error { _, err := LoadAgent(f); return err },

		"relay":  func(f *Flags) error { _, err := LoadRelay(f); return err },
		"ranker": func(f *Flags) error { _, err := LoadRanker(f); return err },
	}
	for role, f := range map[string]*Flags{"entry": EntryFlags(), "agent": AgentFlags(), "relay": RelayFlags(), "ranker": RankerFlags()} {
		t.Run(role, func(t *testing.T) {
			var args []string
			for name := range names(parseFlags(t, f).group) {
				if name != settingsFlag {
					args = append(args, "--"+name+"=x")
				}
			}
			if len(args) < 17 {
				t.Fatalf("only the flags %v", args)
			}
			var errs Errors
			if !errors.As(load[role](parseFlags(t, f, args...)), &errs) {
				t.Fatal("no faults")
			}
			for _, e := range errs {
				if e.Code() == result.UnknownSetting {
					t.Error(e)
				}
			}
		})
	}
}

// names returns the long names of all flags below g.
func names(g *flags.Group) map[string]bool {
	all := map[string]bool{}
	for _, o := range g.Options() {
		all[o.LongNameWithNamespace()] = true
	}
	for _, sub := range g.Groups() {
		for n := range names(sub) {
			all[n] = true
		}
	}
	return all
}

func TestMissingFile(t *testing.T) {
	_, err := LoadEntry(parseFlags(t, EntryFlags(), "--settings=/nonexistent/entry.ini"))
	if result.CodeOf(err) != result.SettingsFile {
		t.Errorf("code %v", err)
	}
}
