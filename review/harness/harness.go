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

// relaySettings has the keys of platform/relay.ini.tmpl, with the bounds of katalogtryck.
const relaySettings = `[process]
name = %s
dataCentre = uppsala
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
retrySlack = 90
retryWindow = 10s
grace = 8s

[tls]
insecure = true
`

const (
	// relayProgram is the program of deploy/system.toml and relayRole its argument.
	relayProgram = "target/hyssoprelay"
	relayRole    = "relay"
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

// World is a store and the processes of the product that use it.
type World struct {
	Store  *standin.Store
	Record *Record

	dir    string
	relays []*Relay
}

// NewWorld starts a store with the operators' configuration. Close ends it.
func NewWorld(r *Record, configuration string) (*World, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	w := &World{Store: standin.NewStore(), Record: r, dir: dir}
	w.Store.Put("op/config", []byte(configuration))
	return w, nil
}

// Close kills the processes that still run and removes their settings.
func (w *World) Close() error {
	for _, r := range w.relays {
		r.kill()
	}
	w.Store.Close()
	return os.RemoveAll(w.dir)
}

// StartReplica serves handler at a loopback address and registers it as a replica of the service.
func (w *World) StartReplica(id, service string, slots int, handler http.Handler) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: startTimeout}
	go func() { _ = server.Serve(ln) }() // serves until the process ends
	entry, err := json.Marshal(map[string]any{
		"service": service, "address": ln.Addr().String(), "zone": "uppsala", "version": "v1", "slots": slots,
		"state": "ready", "coldRemainingMs": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	})
	if err != nil {
		return err
	}
	w.Store.Put("servers/"+id, entry)
	return nil
}

// Relay is a process with the role relay.
type Relay struct {
	// Name is its name, and Callers the address for clients.
	Name, Callers string

	ready string
	cmd   *exec.Cmd
	ended chan struct{}
}

// StartRelay starts a relay and waits until it says that it is ready.
func (w *World) StartRelay(name string) (*Relay, error) {
	addresses, err := freeAddresses(4)
	if err != nil {
		return nil, err
	}
	r := &Relay{Name: name, Callers: addresses[0], ready: addresses[1], ended: make(chan struct{})}
	file := filepath.Join(w.dir, name+".ini")
	text := fmt.Sprintf(relaySettings, name, addresses[2], addresses[3], w.Store.Addr(), r.Callers, r.ready)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return nil, err
	}
	r.cmd = exec.Command(relayProgram, relayRole)
	r.cmd.Env = append(os.Environ(), settingsVariable+"="+file)
	if err := r.cmd.Start(); err != nil {
		return nil, err
	}
	w.relays = append(w.relays, r)
	go func() {
		err := r.cmd.Wait()
		w.Record.Printf("%s ended: %v", name, exitText(err))
		close(r.ended)
	}()
	return r, r.awaitReady()
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
func (r *Relay) kill() {
	select {
	case <-r.ended:
		return
	default:
	}
	_ = r.cmd.Process.Kill() // fails only if it has just ended
	<-r.ended
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
