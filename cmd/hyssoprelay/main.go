// Command hyssoprelay runs the processes of hyssoprelay and gives operators
// their commands.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/operator/command"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	go func() {
		// After the first signal the process leaves gracefully. A second SIGTERM is ignored: what repeats it
		// would otherwise cut off the requests that the first one lets end. A second interrupt ends the
		// process at once.
		<-ctx.Done()
		signal.Reset(os.Interrupt)
	}()
	p := &command.Program{
		Stdout: os.Stdout,
		Stderr: os.Stderr,
		Roles:  roles{},
		Now:    time.Now,
		Env:    os.Getenv,
	}
	code := p.Run(ctx, os.Args[1:])
	stop()
	os.Exit(code)
}
