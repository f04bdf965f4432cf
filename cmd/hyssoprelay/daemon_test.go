package main

import (
	"context"
	"fmt"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/standin"
)

// daemon is a process of the product that may be started again and again.
type daemon struct {
	t    *testing.T
	name string
	args []string
	log  standin.Log

	cmd *exec.Cmd
	// exited gets the end of the process that was started last.
	exited chan error
}

func newDaemon(t *testing.T, name string, args ...string) *daemon {
	t.Helper()
	d := &daemon{t: t, name: name, args: args}
	standin.Keep(t, name, d.log.Text)
	t.Cleanup(d.kill)
	d.start()
	return d
}

func (d *daemon) start() {
	d.t.Helper()
	d.cmd = roleCommand(context.Background(), roleProduct, d.args...)
	d.cmd.Stdout, d.cmd.Stderr = &d.log, &d.log
	if err := d.cmd.Start(); err != nil {
		d.t.Fatal(err)
	}
	d.exited = make(chan error, 1)
	go func(cmd *exec.Cmd, exited chan error) { exited <- cmd.Wait() }(d.cmd, d.exited)
}

// signal sends a signal; one to a process that has ended says nothing.
func (d *daemon) signal(s syscall.Signal) { _ = d.cmd.Process.Signal(s) }

// kill ends the process at once, if it runs.
func (d *daemon) kill() {
	if d.exited == nil {
		return
	}
	d.signal(syscall.SIGKILL)
	_, _ = fmt.Fprintln(&d.log, "killed:", <-d.exited)
	d.exited = nil
}

// await waits for the end of a process that was told to end and reports whether
// it came and was a good one.
func (d *daemon) await(atMost time.Duration) bool {
	select {
	case err := <-d.exited:
		d.exited = nil
		return err == nil
	case <-time.After(atMost):
		return false
	}
}

// ended reports whether the process has ended by itself.
func (d *daemon) ended() bool {
	select {
	case err := <-d.exited:
		d.exited <- err
		return true
	default:
		return false
	}
}
