package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/agent"
	"github.com/hyssoprelay/hyssoprelay/internal/entry"
	"github.com/hyssoprelay/hyssoprelay/internal/frontend"
	"github.com/hyssoprelay/hyssoprelay/internal/process"
	"github.com/hyssoprelay/hyssoprelay/internal/ranker"
	"github.com/hyssoprelay/hyssoprelay/internal/settings"
)

// roles implements command.Roles.
type roles struct{}

// Entry implements command.Roles.
func (roles) Entry(ctx context.Context, s *settings.Entry) error {
	signal.Ignore(syscall.SIGHUP) // what can change while it runs is read again anyway
	secured, err := process.LoadTLS(&s.Process, time.Now)
	if err != nil {
		return err
	}
	e := &entry.Entry{Settings: s, Log: process.Log(&s.Process), TLS: secured}
	if err := e.Listen(); err != nil {
		return err
	}
	e.Log.WithField("callers", e.CallerAddress()).Info("entry serves")
	return e.Run(ctx)
}

// Agent implements command.Roles.
func (roles) Agent(ctx context.Context, s *settings.Agent) error {
	signal.Ignore(syscall.SIGHUP)
	secured, err := process.LoadTLS(&s.Process, time.Now)
	if err != nil {
		return err
	}
	a := &agent.Agent{Settings: s, Log: process.Log(&s.Process), TLS: secured}
	if err := a.Listen(); err != nil {
		return err
	}
	a.Log.WithField("endpoint", s.EndpointName).Info("agent serves")
	return a.Run(ctx)
}

// Relay implements command.Roles.
func (roles) Relay(ctx context.Context, s *settings.Relay, reload func() (*settings.Relay, error)) error {
	process.QuietEventLoop()
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	f := &frontend.Frontend{
		Settings: s, Log: process.NewBoundedLog(s.Name, s.DataCentre), Reload: reload, ReloadSignal: hangup,
	}
	if err := f.Listen(); err != nil {
		return err
	}
	return f.Run(ctx)
}

// Ranker implements command.Roles.
func (roles) Ranker(ctx context.Context, s *settings.Ranker) error {
	process.QuietEventLoop()
	// All that a ranker reads from its settings is where things are; the signal
	// that they have changed must not end it.
	signal.Ignore(syscall.SIGHUP)
	r := &ranker.Ranker{Settings: s, Log: process.NewBoundedLog(s.Name, s.DataCentre)}
	if err := r.Listen(); err != nil {
		return err
	}
	return r.Run(ctx)
}
