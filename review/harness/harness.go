// Package harness runs the product's programs beside stand-ins, for the scripts of the review.
package harness

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/hyssoprelay/hyssoprelay/platform/standin"
)

// Exit codes of a script.
const (
	Held     = 0
	Broken   = 1
	CouldNot = 2
)

// relaySettings has the keys of platform/relay.ini.tmpl, with the bounds that the sites of the
// scripts share.
const relaySettings = `[process]
name = %s
dataCentre = %s
peerAddress = %s
metricsAddress = %s
platformAddresses = %s
callerAddress = %s
readyAddress = %s
lineRate = 1000
memory = 284
drainTimeout = 8s
logFormat = json

[bounds]
changeApply = 2000ms
keyRevoke = 5000ms
retryShare = 0.2
retrySlack = %d
retryWindow = 10s
grace = 8s

[tls]
insecure = true
`

// rankerSettings has the keys of platform/ranker.ini.tmpl.
const rankerSettings = `[process]
name = %s
dataCentre = %s
peerAddress = %s
metricsAddress = %s
platformAddresses = %s
logFormat = json

[endpoint]
address = %s
service = %s
fencing = checked

[tls]
insecure = true
`

const (
	// program is the program of deploy/system.toml, and relayRole and rankerRole are its arguments.
	program    = "target/hyssoprelay"
	relayRole  = "relay"
	rankerRole = "ranker"
	// settingsVariable names the settings file of a process.
	settingsVariable = "HYSSOPRELAY_CONFIG"
	readyPath        = "/api/ready"
	startTimeout     = 10 * time.Second
	pollInterval     = 50 * time.Millisecond
)

// Record writes what happens to a file, with the seconds since its start. It is safe for concurrent
// use.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: f, start: time.Now()}, nil
}

// Printf writes a line to the file and to standard output.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%7.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
	fmt.Print(line)
	_, _ = r.file.WriteString(line) // the same line is on standard output
}

// Close closes the file.
func (r *Record) Close() error { return r.file.Close() }

// Site is what the sites of the scripts don't share.
type Site struct {
	Zone       string
	RetrySlack int
}

// World is a store and the processes of the product that use it.
type World struct {
	Store  *standin.Store
	Record *Record

	site      Site
	dir       string
	processes []*process
}

// process is a process of the product.
type process struct {
	cmd   *exec.Cmd
	ended chan struct{}
}

// NewWorld starts a store with the operators' configuration. Close ends it.
func NewWorld(r *Record, site Site, configuration string) (*World, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	w := &World{Store: standin.NewStore(), Record: r, site: site, dir: dir}
	w.Store.Put("op/config", []byte(configuration))
	return w, nil
}

// Close kills the processes that still run and removes their settings.
func (w *World) Close() error {
	for _, p := range w.processes {
		p.kill()
	}
	w.Store.Close()
	return os.RemoveAll(w.dir)
}

// StartReplica serves handler at a loopback address, which it returns, and registers it as a replica
// of the service.
func (w *World) StartReplica(id, service string, slots int, handler http.Handler) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: startTimeout}
	go func() { _ = server.Serve(ln) }() // serves until the process ends
	entry, err := json.Marshal(map[string]any{
		"service": service, "address": ln.Addr().String(), "zone": w.site.Zone, "version": "v1", "slots": slots,
		"state": "ready", "coldRemainingMs": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	})
	if err != nil {
		return "", err
	}
	w.Store.Put("servers/"+id, entry)
	return ln.Addr().String(), nil
}

// Relay is a process with the role relay.
type Relay struct {
	// Name is its name, and Callers the address for clients.
	Name, Callers string

	*process
	ready string
}

// StartRelay starts a relay and waits until it says that it is ready.
func (w *World) StartRelay(name string) (*Relay, error) {
	addresses, err := freeAddresses(4)
	if err != nil {
		return nil, err
	}
	r := &Relay{Name: name, Callers: addresses[0], ready: addresses[1]}
	text := fmt.Sprintf(relaySettings, name, w.site.Zone, addresses[2], addresses[3], w.Store.Addr(), r.Callers, r.ready, w.site.RetrySlack)
	if r.process, err = w.start(name, relayRole, text); err != nil {
		return nil, err
	}
	return r, r.awaitReady()
}

// StartRanker starts a ranker beside the replica at an address.
func (w *World) StartRanker(name, service, replica string) error {
	addresses, err := freeAddresses(2)
	if err != nil {
		return err
	}
	text := fmt.Sprintf(rankerSettings, name, w.site.Zone, addresses[0], addresses[1], w.Store.Addr(), replica, service)
	_, err = w.start(name, rankerRole, text)
	return err
}

// start starts a process with the given settings.
func (w *World) start(name, role, settings string) (*process, error) {
	file := filepath.Join(w.dir, name+".ini")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	p := &process{cmd: exec.Command(program, role), ended: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), settingsVariable+"="+file)
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	w.processes = append(w.processes, p)
	go func() {
		err := p.cmd.Wait()
		w.Record.Printf("%s ended: %v", name, exitText(err))
		close(p.ended)
	}()
	return p, nil
}

func exitText(err error) string {
	if err == nil {
		return "exit status 0"
	}
	return err.Error()
}

func (r *Relay) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		resp, err := client.Get("http://" + r.ready + readyPath)
		if err != nil {
			continue
		}
		if err := resp.Body.Close(); err == nil && resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", r.Name)
}

// Terminate sends SIGTERM.
func (r *Relay) Terminate() error { return r.cmd.Process.Signal(syscall.SIGTERM) }

// kill ends the process at once, if it runs.
func (p *process) kill() {
	select {
	case <-p.ended:
		return
	default:
	}
	_ = p.cmd.Process.Kill() // fails only if it has just ended
	<-p.ended
}

// freeAddresses returns n free loopback addresses.
func freeAddresses(n int) ([]string, error) {
	var out []string
	for range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = ln.Close() }()
		out = append(out, ln.Addr().String())
	}
	return out, nil
}
