// Command measure prints the tables that the design notes cite. They are
// seeded and the same on each run.
package main

import (
	"fmt"
	"io"
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/hyssoprelay/hyssoprelay/internal/measure"
	"github.com/hyssoprelay/hyssoprelay/internal/rank/evenmap/jumptable"
	"github.com/hyssoprelay/hyssoprelay/internal/rank/expertmap/skewtable"
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
	{Name: "skew", Write: writeSkew},
	{Name: "jumps", Write: writeJumps},
}

// writeJumps writes how level groups stay whose popularity jumps, which has its
// own seeds.
func writeJumps(w io.Writer, _ uint64) error {
	if _, err := fmt.Fprintf(w, "## Step-time skew while popularity jumps\n\n"); err != nil {
		return err
	}
	rows, err := jumptable.Measure()
	if err != nil {
		return err
	}
	return jumptable.Write(w, rows)
}

// writeSkew writes the step-time skew of expert maps, which has its own seeds.
func writeSkew(w io.Writer, _ uint64) error {
	if _, err := fmt.Fprintf(w, "## Step-time skew of expert maps\n\n"); err != nil {
		return err
	}
	rows, err := skewtable.Measure()
	if err != nil {
		return err
	}
	return skewtable.Write(w, rows)
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
		if err := s.Write(os.Stdout, opts.Seed); err != nil {
			return err
		}
	}
	return nil
}
