// Package probe2 starts the project's programs as separate processes and plays their callers, for the
// cases of the second review.
package probe2

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/standin"
)

const (
	// program is the product as the build line of the deploy file leaves it.
	program = "target/hyssoprelay"
	// readyTimeout bounds the start of a process, and stopTimeout its end.
	readyTimeout = 20 * time.Second
	stopTimeout  = 10 * time.Second
	// pollInterval is the time between two looks at a process that starts.
	pollInterval = 50 * time.Millisecond
)

// Record is the file that says what was sent, answered and run. It is safe for concurrent use.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the file at path.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: f, start: time.Now()}, nil
}

// Logf writes a line with the time since the start.
func (r *Record) Logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%9.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Close closes the file.
func (r *Record) Close() error { return r.file.Close() }

// The results of a case, as exit codes.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Main runs a case, which plays the disruption if trouble is set, and ends with its result. dir is a temporary
// folder for settings and logs. The environment variable TROUBLE=0 leaves the disruption out.
func Main(run func(ctx context.Context, dir string, trouble bool) (int, error)) {
	os.Exit(runIn(run))
}

func runIn(run func(ctx context.Context, dir string, trouble bool) (int, error)) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return NotRun
	}
	defer func() { _ = os.RemoveAll(dir) }()
	code, err := run(ctx, dir, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return NotRun
	}
	if ctx.Err() != nil {
		return NotRun
	}
	return code
}

// Process is a process of the product.
type Process struct {
	// Callers and Ready are its addresses for callers and for the readiness check, if it has any.
	Callers, Ready string

	cmd    *exec.Cmd
	output *os.File
	done   chan error
	// ended is how the process ended after Kill.
	ended error
}

// Relay describes a relay to be started.
type Relay struct {
	// Name and DataCentre identify it, Store is the address of the store, and Dir the folder for its
	// settings and its log.
	Name, DataCentre, Store, Dir string
	// MemoryMB is the memory of its VM, and LineMbps the rate of its line.
	MemoryMB, LineMbps int
	// ApplyMs is the time within which a configuration must be in force.
	ApplyMs int
}

// relaySettings are the settings of a relay, as the template of the deploy file renders them.
const relaySettings = `[process]
name = %s
dataCentre = %s
peerAddress = %s
platformAddresses = %s
callerAddress = %s
readyAddress = %s
lineRate = %d
memory = %d
drainTimeout = 8s
logFormat = json

[bounds]
changeApply = %dms
keyRevoke = 5000ms
retryShare = 0.2
retrySlack = 94
retryWindow = 10s
grace = 8s

[tls]
insecure = true
`

// freeAddresses returns n loopback addresses that nobody listens on.
func freeAddresses(n int) ([]string, error) {
	out := make([]string, 0, n)
	for range n {
		addr, err := standin.FreeAddress()
		if err != nil {
			return nil, err
		}
		out = append(out, addr)
	}
	return out, nil
}

// Start starts the relay and waits until it is ready.
func (r Relay) Start() (*Process, error) {
	addrs, err := freeAddresses(3)
	if err != nil {
		return nil, err
	}
	text := fmt.Sprintf(relaySettings, r.Name, r.DataCentre, addrs[0], r.Store, addrs[1], addrs[2], r.LineMbps, r.MemoryMB, r.ApplyMs)
	p, err := start("relay", r.Name, r.Dir, text)
	if err != nil {
		return nil, err
	}
	p.Callers, p.Ready = addrs[1], addrs[2]
	return p, p.awaitReady()
}

// start starts a role of the product with the given settings.
func start(role, name, dir, settings string) (*Process, error) {
	path := filepath.Join(dir, name+".ini")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	output, err := os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		return nil, err
	}
	p := &Process{cmd: exec.Command(program, role), output: output, done: make(chan error, 1)}
	p.cmd.Env = append(os.Environ(), "HYSSOPRELAY_CONFIG="+path)
	p.cmd.Stdout, p.cmd.Stderr = output, output
	if err := p.cmd.Start(); err != nil {
		return nil, errors.Join(err, output.Close())
	}
	go func() { p.done <- p.cmd.Wait() }()
	return p, nil
}

// awaitReady waits until the process says that it is ready.
func (p *Process) awaitReady() error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if p.IsReady() {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", p.Ready, readyTimeout)
}

// IsReady reports whether the process answers the readiness check with 200.
func (p *Process) IsReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + p.Ready + "/api/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case err := <-p.done:
		p.done <- err
		return false
	default:
		return true
	}
}

// Signal sends a signal to the process.
func (p *Process) Signal(s os.Signal) error { return p.cmd.Process.Signal(s) }

// Kill ends the process.
func (p *Process) Kill() error {
	_ = p.cmd.Process.Kill() // it may have ended
	select {
	case err := <-p.done:
		p.ended = err
	case <-time.After(stopTimeout):
		return errors.New("the process does not end")
	}
	return p.output.Close()
}

// Request is a request of a caller.
type Request struct {
	Method, Path, ID string
	// DeadlineMs is how long the caller waits, as it says.
	DeadlineMs int
	Body       []byte
	// Key is the caller's account key, or "" for none.
	Key string
	// Pace is the time for which the caller takes to send the body.
	Pace time.Duration
}

// Answer is what a caller got. Status is zero if the channel ended without the head of an answer, and Whole
// says that the body came whole.
type Answer struct {
	Status int
	Whole  bool
	Header http.Header
	Body   []byte
	// Close says that the answer is the last one of the channel.
	Close bool
	Err   error
}

// Channel is a caller's connection that is kept for many requests.
type Channel struct {
	conn net.Conn
	br   *bufio.Reader
}

// Dial opens a channel.
func Dial(addr string) (*Channel, error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &Channel{conn: c, br: bufio.NewReader(c)}, nil
}

// Close closes the channel.
func (c *Channel) Close() { _ = c.conn.Close() }

// paceSteps is the number of pieces in which a paced body is sent.
const paceSteps = 100

// Send sends a request.
func (c *Channel) Send(q Request) error {
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: h\r\nX-Hyssoprelay-Attempt-Id: %s\r\nX-Hyssoprelay-Deadline-Ms: %d\r\n",
		q.Method, q.Path, q.ID, q.DeadlineMs)
	if q.Key != "" {
		fmt.Fprintf(&head, "X-Api-Key: %s\r\n", q.Key)
	}
	fmt.Fprintf(&head, "Content-Length: %d\r\n\r\n", len(q.Body))
	if q.Pace == 0 {
		_, err := c.conn.Write(append([]byte(head.String()), q.Body...))
		return err
	}
	if _, err := io.WriteString(c.conn, head.String()); err != nil {
		return err
	}
	begin := time.Now()
	for i := range paceSteps {
		piece := q.Body[len(q.Body)*i/paceSteps : len(q.Body)*(i+1)/paceSteps]
		if _, err := c.conn.Write(piece); err != nil {
			return err
		}
		time.Sleep(time.Until(begin.Add(q.Pace * time.Duration(i+1) / paceSteps)))
	}
	return nil
}

// Receive reads one answer, for at most patience.
func (c *Channel) Receive(method string, patience time.Duration) Answer {
	_ = c.conn.SetReadDeadline(time.Now().Add(patience))
	resp, err := http.ReadResponse(c.br, &http.Request{Method: method})
	if err != nil {
		return Answer{Err: err}
	}
	body, err := io.ReadAll(resp.Body)
	return Answer{Status: resp.StatusCode, Whole: err == nil, Header: resp.Header, Body: body, Close: resp.Close, Err: err}
}

// PID returns the ID of the process.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// HeldBytes returns the memory that the process holds, without the pages of files such as those of its program, or
// false if it has ended.
func (p *Process) HeldBytes() (int, bool) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.PID()))
	if err != nil {
		return 0, false
	}
	var size, resident, ofFiles int
	if _, err := fmt.Sscan(string(b), &size, &resident, &ofFiles); err != nil {
		return 0, false
	}
	return (resident - ofFiles) * os.Getpagesize(), true
}
