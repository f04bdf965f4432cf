// Command standin serves one stand-in for an endpoint or a part of the
// platform, for tests that run the product as processes. It prints its address
// on one line and serves until it is told to stop.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"

	"github.com/hyssoprelay/hyssoprelay/internal/standin/program"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := program.Run(ctx, os.Args[1:], os.Stdout); err != nil {
		logrus.Fatal(err)
	}
}
