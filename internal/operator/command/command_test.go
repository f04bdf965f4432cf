package command

import (
	"context"
	"crypto/x509"
	"encoding/json"
	"encoding/pem"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/operator"
	"github.com/hyssoprelay/hyssoprelay/internal/settings"
	"github.com/hyssoprelay/hyssoprelay/internal/standin/line"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

func TestPresetCheck(t *testing.T) {
	files, err := filepath.Glob(examples + "*-*.ini")
	if err != nil || len(files) < 6 {
		t.Fatalf("examples %v, error %v", files, err)
	}
	t.Run("examples", func(t *testing.T) {
		assertOutcome(t, runLine(t, nil, append([]string{"preset", "check"}, files...)...), exitDone, "no faults")
	})
	t.Run("every fault of every file", func(t *testing.T) {
		one := writeFile(t, "[preset]\nname = a\ncolour = red\n[account b]\nweight = 0\n")
		two := writeFile(t, "[zone x]\n")
		o := runLine(t, nil, "preset", "check", one, files[0], two)
		assertOutcome(t, o, exitFailed, "4003", "line 3: [preset] colour", "line 5: [account b] weight", "keyHash", "[zone x]", "2 of 3 files")
	})
	t.Run("no file", func(t *testing.T) {
		assertOutcome(t, runLine(t, nil, "preset", "check", "/nonexistent"), exitFailed, "4003")
	})
}

func TestUsage(t *testing.T) {
	for _, line := range []string{
		"", "frobnicate", "preset", "preset check", "preset switch", "datacentre away x", "datacentre out", "endpoint out a b",
		"datacentre out a/b", "claims release route account key", "claims release r a k --outcome maybe", "timeline --format xml",
		"status extra", "--nothing status", "preset switch x --ifGeneration minus",
	} {
		t.Run(line, func(t *testing.T) {
			assertOutcome(t, runLine(t, []string{"127.0.0.1:1"}, strings.Fields(line)...), exitUsage)
		})
	}
	t.Run("no address", func(t *testing.T) {
		assertOutcome(t, runLine(t, nil, "status"), exitUsage, "--admin")
	})
	t.Run("help", func(t *testing.T) {
		assertOutcome(t, runLine(t, nil, "--help"), exitDone, "datacentre", "timeline")
	})
	t.Run("version", func(t *testing.T) {
		assertOutcome(t, runLine(t, nil, "version"), exitDone, "hyssoprelay")
	})
}

type recordedRoles struct{ ran string }

func (r *recordedRoles) Entry(_ context.Context, s *settings.Entry) error {
	r.ran = "entry " + s.Name
	return nil
}

func (r *recordedRoles) Agent(_ context.Context, s *settings.Agent) error {
	r.ran = "agent " + s.EndpointName
	return result.New(result.AddressInUse, s.EndpointName)
}

func (r *recordedRoles) Relay(_ context.Context, s *settings.Relay, _ func() (*settings.Relay, error)) error {
	r.ran = "relay " + s.Name
	return nil
}

func (r *recordedRoles) Ranker(_ context.Context, s *settings.Ranker) error {
	r.ran = "ranker " + s.Name
	return nil
}

func TestRoles(t *testing.T) {
	r := &recordedRoles{}
	p := &Program{Stdout: os.Stdout, Stderr: os.Stderr, Roles: r}
	if code := p.Run(context.Background(), []string{"entry", "--settings", examples + "entry.ini", "--name", "e9"}); code != exitDone || r.ran != "entry e9" {
		t.Errorf("code %d, %q", code, r.ran)
	}
	if code := p.Run(context.Background(), []string{"agent", "--settings", examples + "agent.ini"}); code != exitFailed || r.ran != "agent astana-engine-1" {
		t.Errorf("code %d, %q", code, r.ran)
	}
}

func TestOrders(t *testing.T) {
	a := []string{serve(t, newEntry(t, newService(t)))}
	for _, c := range []struct {
		line  string
		code  int
		texts []string
	}{
		{"status", exitDone, []string{"generation 0"}},
		{"preset put " + examples + "tazalyk-ordinary.ini", exitDone, []string{"generation 1", "tazalyk-ordinary in force"}},
		{"preset put " + examples + "tazalyk-peak.ini --by aigerim", exitDone, []string{"generation 2", "tazalyk-ordinary in force"}},
		{"preset list", exitDone, []string{"tazalyk-ordinary  yes", "tazalyk-peak"}},
		{"preset switch tazalyk-peak --ifGeneration 1", exitFailed, []string{"4002 conflict"}},
		{"preset switch tazalyk-peak --ifGeneration 2", exitDone, []string{"generation 3", "tazalyk-peak in force"}},
		{"preset switch night", exitFailed, []string{"4004 unknownPreset"}},
		{"preset show tazalyk-peak", exitDone, []string{"[service order-confirmations]"}},
		{"datacentre out astana", exitDone, []string{"generation 4"}},
		{"endpoint out almaty1-engine-1", exitDone, []string{"generation 5"}},
		{"status", exitDone, []string{"dataCentre astana", "endpoint almaty1-engine-1"}},
		{"datacentre in astana", exitDone, []string{"generation 6"}},
		{"datacentre out oslo", exitFailed, []string{"4005 unknownDataCentre", "oslo"}},
		{"claims list", exitFailed, []string{"4008"}},
		{"timeline", exitDone, []string{"DATA CENTRE"}},
	} {
		t.Run(c.line, func(t *testing.T) {
			assertOutcome(t, runLine(t, a, append(strings.Fields(c.line), "--plain")...), c.code, c.texts...)
		})
	}
	t.Run("JSON", func(t *testing.T) {
		var list operator.PresetList
		o := runLine(t, a, "preset", "list", "--plain", "--json")
		if err := json.Unmarshal([]byte(o.stdout), &list); err != nil || list.Generation != 6 {
			t.Errorf("%v in %s", err, o.stdout)
		}
		var e operator.ErrorReply
		o = runLine(t, a, "preset", "switch", "night", "--plain", "--json")
		if err := json.Unmarshal([]byte(o.stdout), &e); err != nil || e.Code != int(result.UnknownPreset) || o.code != exitFailed {
			t.Errorf("%v in %+v", err, o)
		}
	})
}

func TestAddressesInTurn(t *testing.T) {
	service, away := newService(t), newService(t)
	good := serve(t, newEntry(t, service))
	cutOff := serve(t, newEntry(t, away))
	away.SetDown(true)
	put := []string{"preset", "put", examples + "tazalyk-peak.ini", "--plain"}
	t.Run("none answers", func(t *testing.T) {
		assertOutcome(t, runLine(t, []string{deadAddress(t), deadAddress(t)}, put...), exitFailed, "4013 entryUnreachable")
	})
	t.Run("the first is dead", func(t *testing.T) {
		assertOutcome(t, runLine(t, []string{deadAddress(t), good}, put...), exitDone, "generation 1")
	})
	t.Run("the first is cut off from the platform", func(t *testing.T) {
		assertOutcome(t, runLine(t, []string{cutOff, good}, append(put, "--timeout=30s")...), exitDone, "generation 2")
	})
	t.Run("all are cut off", func(t *testing.T) {
		assertOutcome(t, runLine(t, []string{cutOff, deadAddress(t)}, append(put, "--timeout=30s")...), exitFailed, "4008 platformRefused")
	})
}

// TestLostAnswerConfirmed: an operator switches presets, the entry does it, and
// the connection breaks before the answer. The program asks the next entry for
// the same change. The operator reads that it is done, and it was done once.
func TestLostAnswerConfirmed(t *testing.T) {
	service := newService(t)
	one, two := serve(t, newEntry(t, service)), serve(t, newEntry(t, service))
	for _, f := range []string{"tazalyk-ordinary.ini", "tazalyk-peak.ini"} {
		assertOutcome(t, runLine(t, []string{one}, "preset", "put", examples+f, "--plain"), exitDone)
	}
	bad, _ := listen(t, &line.Lossy{To: one})
	o := runLine(t, []string{bad, two}, "preset", "switch", "tazalyk-peak", "--plain")
	assertOutcome(t, o, exitDone, "generation 3", "tazalyk-peak in force")
}

// TestLostAnswerNotConfirmed: the connection to the first entry breaks after
// the order was sent, and the second entry refuses it as a conflict. Whether
// the first one does it, nobody knows yet: were the operator told "conflict",
// a second order would be given and the first might follow it.
func TestLostAnswerNotConfirmed(t *testing.T) {
	good := serve(t, newEntry(t, newService(t)))
	assertOutcome(t, runLine(t, []string{good}, "preset", "put", examples+"tazalyk-peak.ini", "--plain"), exitDone)
	bad, _ := listen(t, &line.Lossy{})
	o := runLine(t, []string{bad, good}, "preset", "switch", "tazalyk-peak", "--ifGeneration=7", "--changeId=mine", "--plain")
	assertOutcome(t, o, exitFailed, "4007 writeUnknown", "4002 conflict", "--changeId mine")
}

// TestTakeOutOfCutOffDataCentres: the platform's service is down and the data
// centres can't reach each other. An operator who reaches both takes astana
// out. Were only the first entry told, callers of the other data centre would
// still be sent to astana until the platform is back.
func TestTakeOutOfCutOffDataCentres(t *testing.T) {
	var addrs []string
	for range 2 {
		service := newService(t)
		addr := serve(t, newEntry(t, service))
		assertOutcome(t, runLine(t, []string{addr}, "preset", "put", examples+"tazalyk-peak.ini", "--plain"), exitDone)
		service.SetDown(true)
		addrs = append(addrs, addr)
	}
	o := runLine(t, append(addrs, deadAddress(t)), "datacentre", "out", "astana", "--plain", "--timeout=30s")
	assertOutcome(t, o, exitDone, "4009 heldLocally", "2 of 3 addresses")
	for _, a := range addrs {
		assertOutcome(t, runLine(t, []string{a}, "status", "--plain"), exitDone, "dataCentre astana", "held locally")
	}
}

// TestTLS gives an order over TLS and refuses an entry whose certificate is
// not known.
func TestTLS(t *testing.T) {
	ca, keys := testKeys(t)
	e := newEntry(t, newService(t))
	e.Keys = keys
	a := []string{serve(t, e)}
	t.Run("known", func(t *testing.T) {
		assertOutcome(t, runLine(t, a, "status", "--ca", ca), exitDone, "generation 0")
	})
	t.Run("unknown", func(t *testing.T) {
		assertOutcome(t, runLine(t, a, "status"), exitFailed)
	})
}

// testKeys writes the standard library's test certificate to files.
func testKeys(t *testing.T) (ca string, keys *settings.KeyPair) {
	t.Helper()
	s := httptest.NewTLSServer(nil)
	defer s.Close()
	pair := s.TLS.Certificates[0]
	key, err := x509.MarshalPKCS8PrivateKey(pair.PrivateKey)
	if err != nil {
		t.Fatal(err)
	}
	cert := writeFile(t, string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: pair.Certificate[0]})))
	private := writeFile(t, string(pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: key})))
	return cert, &settings.KeyPair{Files: settings.TLS{Cert: cert, Key: private, CA: cert, ReloadInterval: time.Second}}
}

// An operator's command meets entries that do not listen yet, has its answer at
// once, and ends in the moment in which its event loop starts. On a busy VM it
// hung in one of ten fleets that started, without a word. As the event loop's
// own order to stop is lost then, many commands are run beside each other.
func TestCommandThatFailsAtOnceEnds(t *testing.T) {
	const beside, each = 16, 40
	ended := make(chan struct{}, beside)
	for range beside {
		go func() {
			defer func() { ended <- struct{}{} }()
			for range each {
				p := &Program{Env: func(string) string { return "token" }}
				p.options.Admin, p.options.Plain = []string{"127.0.0.1:1"}, true
				c, err := p.open()
				if err != nil {
					t.Errorf("open: %v", err)
					return
				}
				if a, ok := c.ask(t.Context(), "127.0.0.1:1", call{method: http.MethodGet, path: "/"}).(unreached); !ok {
					t.Errorf("%v", a)
				}
			}
		}()
	}
	for range beside {
		<-ended
	}
}
