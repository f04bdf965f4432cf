// Command capacity measures what parts of the system cost by size, and prints
// the tables from which docs/CAPACITY.md works out the target size.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"

	"github.com/jessevdk/go-flags"

	"github.com/hyssoprelay/hyssoprelay/internal/capacity"
)

// options are the command line.
type options struct {
	Only string `long:"only" description:"print only the section of this name"`
}

// sections lists the report's parts in the order of printing.
var sections = []capacity.Section{
	capacity.Accounts(),
	capacity.Reports(),
	capacity.Memory(),
	capacity.Messages(),
	capacity.Pushes(),
	capacity.Spread(),
	capacity.Platform(),
}

func main() {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	err := write(ctx, opts)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func write(ctx context.Context, opts options) error {
	for _, s := range sections {
		if opts.Only != "" && opts.Only != s.Name {
			continue
		}
		ts, err := s.Tables(ctx)
		if err != nil {
			return err
		}
		for _, t := range ts {
			if _, err := t.WriteTo(os.Stdout); err != nil {
				return err
			}
		}
	}
	return nil
}
