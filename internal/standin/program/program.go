// Package program serves one stand-in for an endpoint or a part of the platform
// as a process: the body of cmd/standin, which tests of processes link too.
package program

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/jessevdk/go-flags"
	"github.com/sirupsen/logrus"

	"github.com/hyssoprelay/hyssoprelay/internal/standin"
	"github.com/hyssoprelay/hyssoprelay/internal/standin/engine"
	"github.com/hyssoprelay/hyssoprelay/internal/standin/kv"
	"github.com/hyssoprelay/hyssoprelay/internal/standin/service"
	"github.com/hyssoprelay/hyssoprelay/internal/standin/vmlist"
)

type options struct {
	out io.Writer

	Listen      string `long:"listen" default:"127.0.0.1:0" description:"IP:port to listen on"`
	Capacity    int    `long:"capacity" default:"16" description:"engine: requests at once at full speed"`
	ColdBound   int    `long:"coldBound" default:"2" description:"engine: requests at once while cold"`
	WarmAfter   int    `long:"warmAfter" default:"8" description:"engine: whole answers until warm"`
	TokenMicros int64  `long:"tokenMicros" default:"200" description:"engine: time for a token"`
	Events      bool   `long:"events" description:"write a line of JSON for each request"`
	Args        struct {
		Kind string `positional-arg-name:"kind" choice:"engine" choice:"service" choice:"kv" choice:"vmlist" required:"yes"`
	} `positional-args:"yes"`
}

// Run serves the stand-in that args name until ctx ends. It prints its address
// (and, for kv, that of its control) on one line of out.
func Run(ctx context.Context, args []string, out io.Writer) error {
	var o options
	if _, err := flags.ParseArgs(&o, args); err != nil {
		return err
	}
	o.out = out
	return run(ctx, o)
}

func run(ctx context.Context, o options) error {
	switch o.Args.Kind {
	case "kv":
		return runKV(ctx, o)
	case "vmlist":
		s := &vmlist.Server{Listen: o.Listen, Events: o.events()}
		return o.serve(ctx, s.Run, func(context.Context) string { return s.Addr() })
	}
	h, err := handler(o)
	if err != nil {
		return err
	}
	s := &standin.Server{Listen: o.Listen, Handler: h, Events: o.events(), Name: o.Args.Kind}
	if e, ok := h.(*engine.Engine); ok {
		e.Drop = s.Drop
	}
	return o.serve(ctx, s.Run, s.Addr)
}

// events returns the logger of the stand-in's events, or nil if none are wanted.
func (o options) events() *logrus.Logger {
	if !o.Events {
		return nil
	}
	return standin.NewEventLog(o.out)
}

// runKV serves the key-value service and, at a second address, its faults.
func runKV(ctx context.Context, o options) error {
	s := &kv.Server{Listen: o.Listen, Events: o.events()}
	c := &standin.Server{Listen: "127.0.0.1:0", Handler: s.Control()}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	control := make(chan error, 1)
	go func() { control <- c.Run(ctx) }()
	err := o.serve(ctx, s.Run, func(ctx context.Context) string { return s.Addr() + " " + c.Addr(ctx) })
	cancel()
	return errors.Join(err, <-control)
}

// serve runs a stand-in and prints its address as soon as it has one.
func (o options) serve(ctx context.Context, run func(context.Context) error, addr func(context.Context) string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan error, 1)
	go func() {
		done <- run(ctx)
		cancel()
	}()
	if a := addr(ctx); a != "" {
		if _, err := fmt.Fprintln(o.out, a); err != nil {
			return err
		}
	}
	return <-done
}

func handler(o options) (http.Handler, error) {
	switch o.Args.Kind {
	case "engine":
		return engine.New(engine.Settings{
			Capacity: o.Capacity, ColdBound: o.ColdBound,
			WarmAfter: o.WarmAfter, TokenMicros: o.TokenMicros,
		}), nil
	case "service":
		return &service.Service{}, nil
	default:
		return nil, fmt.Errorf("unknown kind %q", o.Args.Kind)
	}
}
