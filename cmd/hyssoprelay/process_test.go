package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/standin"
	"github.com/hyssoprelay/hyssoprelay/internal/standin/engine"
	"github.com/hyssoprelay/hyssoprelay/internal/standin/program"
	"github.com/hyssoprelay/hyssoprelay/internal/standin/service"
)

const (
	testKey   = "process-test-key"
	testToken = "process-test-operator-token-0123456789"
	// patience bounds each wait. It is no measurement: it only ends a test
	// that would hang.
	patience = 30 * time.Second
)

// roleVariable makes the test's own binary run as the product or as a
// stand-in, so that both are what the test was built from.
const (
	roleVariable = "HYSSOPRELAY_TEST_ROLE"
	roleProduct  = "product"
	roleStandin  = "standin"
)

func TestMain(m *testing.M) {
	switch os.Getenv(roleVariable) {
	case roleProduct:
		main()
	case roleStandin:
		if err := program.Run(context.Background(), os.Args[1:], os.Stdout); err != nil {
			os.Exit(1)
		}
	default:
		os.Exit(m.Run())
	}
}

// roleCommand returns the command that runs the test's binary in a role.
func roleCommand(ctx context.Context, role string, args ...string) *exec.Cmd {
	cmd := exec.CommandContext(ctx, os.Args[0], args...)
	cmd.Env = append(os.Environ(), roleVariable+"="+role)
	return cmd
}

// proc is one process of a fleet.
type proc struct {
	t    *testing.T
	name string
	role string
	args []string
	cmd  *exec.Cmd
	log  standin.Log
}

func (p *proc) start() {
	p.t.Helper()
	p.cmd = roleCommand(context.Background(), p.role, p.args...)
	p.cmd.Stdout, p.cmd.Stderr = &p.log, &p.log
	if err := p.cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
}

// firstLine waits for the first line that the process writes.
func (p *proc) firstLine() string {
	p.t.Helper()
	end := time.Now().Add(patience)
	for time.Now().Before(end) {
		if line, _, ok := strings.Cut(p.log.Text(), "\n"); ok {
			return line
		}
		time.Sleep(5 * time.Millisecond)
	}
	p.t.Fatalf("%s has written no line", p.name)
	return ""
}

func (p *proc) signal(s syscall.Signal) {
	if p.cmd.ProcessState == nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// freeze stops the process and returns when all of its threads have stopped.
func (p *proc) freeze(t *testing.T) {
	t.Helper()
	if err := freezeProcess(p.cmd.Process.Pid); err != nil {
		t.Fatal(err)
	}
}

// freezeProcess stops a child process and returns when all of its threads have stopped. On a busy machine they
// run on for some milliseconds after the signal, in which the process may take a request.
func freezeProcess(pid int) error {
	if err := syscall.Kill(pid, syscall.SIGSTOP); err != nil {
		return err
	}
	var status syscall.WaitStatus
	if _, err := syscall.Wait4(pid, &status, syscall.WUNTRACED, nil); err != nil {
		return err
	}
	if !status.Stopped() {
		return fmt.Errorf("not stopped: status %v", status)
	}
	return nil
}

func (p *proc) kill() {
	if p.cmd != nil && p.cmd.ProcessState == nil {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		_ = p.cmd.Wait()
	}
}

// fleet is a system of processes over TCP.
type fleet struct {
	t        *testing.T
	dir      string
	kv       string
	control  string
	list     string
	tls      string // section [tls] of each process
	way      string // how operators reach the entries
	scheme   string // how callers reach them
	entries  []*entryProc
	agents   []*agentProc
	services []string
	engines  []string
	standins int
}

type entryProc struct {
	*proc
	callers, admin, peer string
}

type agentProc struct {
	*proc
	endpoint, peer string
}

func (f *fleet) proc(name, role string, args ...string) *proc {
	p := &proc{t: f.t, name: name, role: role, args: args}
	standin.Keep(f.t, name, p.log.Text)
	f.t.Cleanup(p.kill)
	return p
}

func (f *fleet) standin(args ...string) []string {
	f.t.Helper()
	f.standins++
	p := f.proc(fmt.Sprintf("standin %d %s", f.standins, args[0]), roleStandin, append(args, "--events")...)
	p.start()
	return strings.Fields(p.firstLine())
}

// freeAddress returns an address that nobody listens on.
func freeAddress(t *testing.T) string {
	t.Helper()
	addr, err := standin.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	return addr
}

func (f *fleet) settings(name, text string) string {
	f.t.Helper()
	path := filepath.Join(f.dir, name+".ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
	return path
}

func (f *fleet) process(name, dc, peer string) string {
	return fmt.Sprintf(`[process]
name = %s
dataCentre = %s
peerAddress = %s
platformAddresses = %s
vmListAddress = %s
drainTimeout = 20s
`, name, dc, peer, f.kv, f.list)
}

func (f *fleet) addEntry(dc string) *entryProc {
	f.t.Helper()
	name := fmt.Sprintf("%s-entry", dc)
	e := &entryProc{callers: freeAddress(f.t), admin: freeAddress(f.t), peer: freeAddress(f.t)}
	file := f.settings(name, f.process(name, dc, e.peer)+fmt.Sprintf(`callerAddress = %s
adminAddress = %s
[operator]
token = %s
[tls]
%s
`, e.callers, e.admin, testToken, f.tls))
	e.proc = f.proc(name, roleProduct, "entry", "--settings", file)
	e.start()
	f.listed(name, "entry", dc, e.peer)
	f.entries = append(f.entries, e)
	return e
}

func (f *fleet) addAgent(dc, endpoint, kind, address string) *agentProc {
	f.t.Helper()
	a := &agentProc{endpoint: endpoint, peer: freeAddress(f.t)}
	file := f.settings(endpoint, f.process(endpoint+"-agent", dc, a.peer)+fmt.Sprintf(`[endpoint]
name = %s
address = %s
kind = %s
fencing = ignored
[tls]
%s
`, endpoint, address, kind, f.tls))
	a.proc = f.proc(endpoint, roleProduct, "agent", "--settings", file)
	a.start()
	f.listed(endpoint, "agent", dc, a.peer)
	f.agents = append(f.agents, a)
	return a
}

func (f *fleet) listed(id, role, dc, addr string) {
	f.t.Helper()
	body := fmt.Sprintf(`{"revision":1,"vms":[{"id":%q,"role":%q,"dataCentre":%q,"address":%q,"state":"live"}]}`, id, role, dc, addr)
	f.post("http://"+f.list+"/control/vms", body)
}

func (f *fleet) post(url, body string) {
	f.t.Helper()
	res, err := http.Post(url, "application/json", strings.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		b, _ := io.ReadAll(res.Body)
		f.t.Fatalf("%s: %d %s", url, res.StatusCode, b)
	}
}

// run gives an operator's command and returns what it printed.
func (f *fleet) run(args ...string) (string, int) {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	cmd := roleCommand(ctx, roleProduct, args...)
	// A command that hangs says where before it ends.
	cmd.Cancel = func() error { return cmd.Process.Signal(syscall.SIGQUIT) }
	cmd.Env = append(cmd.Env, "HYSSOPRELAY_TOKEN="+testToken, "HYSSOPRELAY_ADMIN="+f.admins())
	out, err := cmd.CombinedOutput()
	if err != nil && cmd.ProcessState == nil {
		f.t.Fatal(err)
	}
	return string(out), cmd.ProcessState.ExitCode()
}

func (f *fleet) admins() string {
	var as []string
	for _, e := range f.entries {
		as = append(as, e.admin)
	}
	return strings.Join(as, ",")
}

const fleetPreset = `[preset]
name = ordinary
queueLength = 200
retryBudgetPercent = 50

[dataCentre a]
[dataCentre b]
[dataCentre c]

[account tester]
keyHash = %s
ratePerSecond = 1000
burst = 1000
concurrency = 200
weight = 1
worth = 1

[model small]
endpoints = *-engine
coldStartConcurrency = 2
concurrency = 8
rampStep = 1
rampCompletions = 4
defaultDeadline = 20s
maxOutputTokens = 1000

[service desk]
endpoints = *-desk
repeatable = false
path = /
coldStartConcurrency = 2
concurrency = 8
rampStep = 1
rampCompletions = 4
defaultDeadline = 20s
`

// newFleet starts three data centres: an entry in each, and two engines and two
// services with their agents.
func newFleet(t *testing.T) *fleet {
	t.Helper()
	f := &fleet{t: t, dir: t.TempDir(), tls: "insecure = true", way: "--plain", scheme: "http"}
	f.start()
	return f
}

func (f *fleet) start() {
	f.t.Helper()
	at := f.standin("kv")
	f.kv, f.control = at[0], at[1]
	f.list = f.standin("vmlist")[0]
	for _, dc := range []string{"a", "b"} {
		f.engines = append(f.engines, f.standin("engine")[0])
		f.services = append(f.services, f.standin("service")[0])
		f.addAgent(dc, dc+"-engine", "engine", f.engines[len(f.engines)-1])
		f.addAgent(dc, dc+"-desk", "plain", f.services[len(f.services)-1])
	}
	for _, dc := range []string{"a", "b", "c"} {
		f.addEntry(dc)
	}
	sum := sha256.Sum256([]byte(testKey))
	file := f.settings("ordinary", fmt.Sprintf(fleetPreset, hex.EncodeToString(sum[:])))
	said := ""
	f.t.Cleanup(func() {
		if f.t.Failed() {
			f.t.Logf("the last answer to the first preset: %s", said)
		}
	})
	f.eventually("the first preset is put", func() bool {
		out, code := f.run(f.way, "preset", "put", file)
		said = out
		return code == 0
	})
	f.keepTimelines()
	for _, e := range f.entries {
		f.eventually(e.name+" is ready", func() bool { return f.ready(e) })
	}
}

// keepTimelines has a test that fails leave the time lines of all processes that still run, and
// their state with the counters.
func (f *fleet) keepTimelines() {
	kept := ""
	standin.Keep(f.t, "timelines", func() string { return kept })
	f.t.Cleanup(func() {
		if !f.t.Failed() {
			return
		}
		for _, command := range [][]string{{"status"}, {"timeline", "--since", "2m"}} {
			out, code := f.run(append([]string{f.way}, command...)...)
			kept += fmt.Sprintln(command, "exit", code, out)
		}
	})
}

func (f *fleet) ready(e *entryProc) bool {
	status, _, err := f.chat(e, "ready")
	if err != nil || status != http.StatusOK {
		return false
	}
	status, _, err = f.order(e, "ready-"+e.name)
	return err == nil && status == http.StatusOK
}

func (f *fleet) eventually(what string, ok func() bool) {
	f.t.Helper()
	end := time.Now().Add(patience)
	for !ok() {
		if time.Now().After(end) {
			f.t.Fatalf("not seen: %s", what)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (f *fleet) ask(e *entryProc, path, body string, header ...string) (int, string, error) {
	r, err := http.NewRequest(http.MethodPost, f.scheme+"://"+e.callers+path, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	r.Close = true
	r.Header.Set("Authorization", "Bearer "+testKey)
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(res.Body)
	return res.StatusCode, string(b), err
}

func (f *fleet) chat(e *entryProc, id string) (int, string, error) {
	body := `{"model":"small","stream":true,"max_tokens":40,"messages":[{"role":"user","content":"hi"}]}`
	return f.ask(e, "/v1/chat/completions", body, "X-Request-Id", id)
}

func (f *fleet) order(e *entryProc, key string) (int, string, error) {
	return f.ask(e, "/v1/services/desk/print", `{"catalogue":7}`, "Idempotency-Key", key)
}

// runs returns how often each idempotency key has been run at any service.
func (f *fleet) runs() map[string]int {
	f.t.Helper()
	all := map[string]int{}
	for _, addr := range f.services {
		var c service.Counters
		f.counters(addr, &c)
		for k, n := range c.Runs {
			all[k] += n
		}
	}
	return all
}

func (f *fleet) counters(addr string, v any) {
	f.t.Helper()
	res, err := http.Get("http://" + addr + "/control/counters")
	if err != nil {
		f.t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	if err := json.NewDecoder(res.Body).Decode(v); err != nil {
		f.t.Fatal(err)
	}
}

func assertServes(t *testing.T, f *fleet, e *entryProc, id string) {
	t.Helper()
	status, body, err := f.chat(e, id)
	if err != nil || status != http.StatusOK || !strings.HasSuffix(body, "data: [DONE]\n\n") {
		t.Errorf("%s %s: %d %q %v", e.name, id, status, body, err)
	}
}

func assertRanOnce(t *testing.T, f *fleet, key string) {
	t.Helper()
	if n := f.runs()[key]; n != 1 {
		t.Errorf("key %s ran %d times", key, n)
	}
}

// VMs go and come back all day. Callers of the entries that are left must not
// notice when an agent or an entry is killed, and an order must run once
// whatever happens to the agent that got it first.
func TestProcessesAreKilledFrozenAndRestarted(t *testing.T) {
	f := newFleet(t)
	t.Run("all serve", func(t *testing.T) {
		for _, e := range f.entries {
			assertServes(t, f, e, "all-"+e.name)
		}
	})
	t.Run("an agent is killed", func(t *testing.T) {
		f.agents[0].kill()
		for i := range 5 {
			assertServes(t, f, f.entries[0], fmt.Sprintf("killed-%d", i))
		}
		f.agents[0].start()
	})
	t.Run("an agent is frozen", func(t *testing.T) {
		f.agents[3].freeze(t)
		for i := range 4 {
			key := fmt.Sprintf("frozen-%d", i)
			f.eventually("order "+key+" is answered", func() bool {
				status, _, err := f.order(f.entries[i%3], key)
				return err == nil && status == http.StatusOK
			})
			assertRanOnce(t, f, key)
		}
		f.agents[3].signal(syscall.SIGCONT)
	})
	t.Run("an entry is killed and another serves its callers", func(t *testing.T) {
		f.entries[2].kill()
		assertServes(t, f, f.entries[0], "other")
		f.entries[2].start()
		f.eventually("the entry serves again", func() bool { return f.ready(f.entries[2]) })
	})
	t.Run("no order ran twice", func(t *testing.T) {
		for k, n := range f.runs() {
			if n != 1 {
				t.Errorf("%s ran %d times", k, n)
			}
		}
	})
	t.Run("engines were not overrun while cold", func(t *testing.T) {
		for _, addr := range f.engines {
			var c engine.Counters
			f.counters(addr, &c)
			if c.Breaches != 0 {
				t.Errorf("%d breaches", c.Breaches)
			}
		}
	})
}
