// Command standin serves one stand-in for an endpoint or a part of the
// platform, for tests that run the product as processes. It prints its address
// on one line and serves until it is told to stop.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/sirupsen/logrus"

	"github.com/hyssoprelay/hyssoprelay/internal/standin"
	"github.com/hyssoprelay/hyssoprelay/internal/standin/engine"
	"github.com/hyssoprelay/hyssoprelay/internal/standin/service"
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

type options struct {
	Listen      string `long:"listen" default:"127.0.0.1:0" description:"IP:port to listen on"`
	Capacity    int    `long:"capacity" default:"16" description:"engine: requests at once at full speed"`
	ColdBound   int    `long:"coldBound" default:"2" description:"engine: requests at once while cold"`
	WarmAfter   int    `long:"warmAfter" default:"8" description:"engine: whole answers until warm"`
	TokenMicros int64  `long:"tokenMicros" default:"200" description:"engine: time for a token"`
	Args        struct {
		Kind string `positional-arg-name:"kind" choice:"engine" choice:"service" required:"yes"`
	} `positional-args:"yes"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(exitUsage)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, o); err != nil {
		logrus.Error(err)
		os.Exit(exitFailed)
	}
}

func run(ctx context.Context, o options) error {
	h, err := handler(o)
	if err != nil {
		return err
	}
	s := &standin.Server{Listen: o.Listen, Handler: h}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan error, 1)
	go func() {
		done <- s.Run(ctx)
		cancel()
	}()
	if addr := s.Addr(ctx); addr != "" {
		fmt.Println(addr)
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
