package command

import (
	"fmt"
	"runtime"
	"runtime/debug"

	"github.com/hyssoprelay/hyssoprelay/internal/settings"
)

type entryCommand struct{ program *Program }

// Execute implements flags.Commander.
func (c *entryCommand) Execute(args []string) error {
	p := c.program
	if err := noArguments(args); err != nil {
		return err
	}
	s, err := settings.LoadEntry(p.entry)
	if err != nil {
		return err
	}
	if p.Roles == nil {
		return errNoRoles
	}
	return p.Roles.Entry(p.ctx, s)
}

type agentCommand struct{ program *Program }

// Execute implements flags.Commander.
func (c *agentCommand) Execute(args []string) error {
	p := c.program
	if err := noArguments(args); err != nil {
		return err
	}
	s, err := settings.LoadAgent(p.agent)
	if err != nil {
		return err
	}
	if p.Roles == nil {
		return errNoRoles
	}
	return p.Roles.Agent(p.ctx, s)
}

type relayCommand struct{ program *Program }

// Execute implements flags.Commander.
func (c *relayCommand) Execute(args []string) error {
	p := c.program
	if err := noArguments(args); err != nil {
		return err
	}
	load := func() (*settings.Relay, error) { return settings.LoadRelay(p.relay) }
	s, err := load()
	if err != nil {
		return err
	}
	if p.Roles == nil {
		return errNoRoles
	}
	return p.Roles.Relay(p.ctx, s, load)
}

type rankerCommand struct{ program *Program }

// Execute implements flags.Commander.
func (c *rankerCommand) Execute(args []string) error {
	p := c.program
	if err := noArguments(args); err != nil {
		return err
	}
	s, err := settings.LoadRanker(p.ranker)
	if err != nil {
		return err
	}
	if p.Roles == nil {
		return errNoRoles
	}
	return p.Roles.Ranker(p.ctx, s)
}

type versionCommand struct{ program *Program }

// Execute implements flags.Commander.
func (c *versionCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	version := "(devel)"
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
		version = info.Main.Version
	}
	c.program.print(fmt.Sprintf("hyssoprelay %s %s", version, runtime.Version()))
	return nil
}

func noArguments(args []string) error {
	if len(args) == 0 {
		return nil
	}
	return usageError{fmt.Sprintf("unexpected argument %q", args[0])}
}
