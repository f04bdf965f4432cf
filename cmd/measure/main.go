// Command measure prints the tables that the design notes cite. They are
// seeded and the same on each run.
package main

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/hyssoprelay/hyssoprelay/internal/measure"
)

// options are the command line.
type options struct {
	Seed uint64 `long:"seed" default:"1" description:"seed of all draws"`
	Only string `long:"only" description:"print only the section of this name"`
}

// sections lists the report's parts in the order of printing.
var sections = []measure.Section{
	measure.Service(),
	measure.Fairness(),
	measure.Placing(),
	measure.Affinity(),
}

func main() {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(2)
	}
	if err := write(opts); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func write(opts options) error {
	for _, s := range sections {
		if opts.Only != "" && opts.Only != s.Name {
			continue
		}
		for _, t := range s.Tables(opts.Seed) {
			if _, err := t.WriteTo(os.Stdout); err != nil {
				return err
			}
		}
	}
	return nil
}
