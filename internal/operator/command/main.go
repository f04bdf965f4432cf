package command

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/hyssoprelay/hyssoprelay/internal/settings"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// Exit codes.
const (
	exitDone   = 0
	exitFailed = 1
	exitUsage  = 2
)

// Roles run the system's processes.
type Roles interface {
	// Entry runs an entry until ctx ends.
	Entry(ctx context.Context, s *settings.Entry) error
	// Agent runs an agent until ctx ends.
	Agent(ctx context.Context, s *settings.Agent) error
	// Relay runs an entry that speaks to endpoints directly until ctx ends.
	// Reload reads its settings anew.
	Relay(ctx context.Context, s *settings.Relay, reload func() (*settings.Relay, error)) error
	// Ranker runs an agent that leads expert maps until ctx ends.
	Ranker(ctx context.Context, s *settings.Ranker) error
}

// Program is one run of the command line. Set the exported fields before Run.
type Program struct {
	// Stdout and Stderr receive what is printed.
	Stdout io.Writer
	Stderr io.Writer
	// Roles run the processes.
	Roles Roles
	// Now is the clock.
	Now func() time.Time
	// Env looks up a variable of the environment.
	Env func(string) string

	ctx     context.Context
	options options
	entry   *settings.Flags
	agent   *settings.Flags
	relay   *settings.Flags
	ranker  *settings.Flags
}

// options are the flags of the commands that speak with entries.
type options struct {
	Admin     []string      `long:"admin" description:"IP:port of an entry's admin address; several are tried in turn (default: $HYSSOPRELAY_ADMIN, separated by commas)" value-name:"ADDR"`
	TokenFile string        `long:"tokenFile" description:"file of the operator token (default: $HYSSOPRELAY_TOKEN holds the token)" value-name:"FILE"`
	CA        string        `long:"ca" description:"file of the certificates that entries are checked by" value-name:"FILE"`
	Plain     bool          `long:"plain" description:"speak without TLS"`
	JSON      bool          `long:"json" description:"print JSON"`
	Timeout   time.Duration `long:"timeout" description:"how long one address has for its answer" default:"8s"`
	By        string        `long:"by" description:"the operator's name" default:"operator"`
}

// Run carries out a command line, without the program's name, and returns the
// exit code.
func (p *Program) Run(ctx context.Context, args []string) int {
	p.ctx = ctx
	parser, err := p.parser()
	if err != nil {
		return p.fail(err)
	}
	if _, err = parser.ParseArgs(args); err == nil {
		return exitDone
	}
	var f *flags.Error
	if !errors.As(err, &f) {
		return p.fail(err)
	}
	if f.Type == flags.ErrHelp {
		p.print(f.Message)
		return exitDone
	}
	_, _ = fmt.Fprintln(p.Stderr, f.Message)
	return exitUsage
}

func (p *Program) parser() (*flags.Parser, error) {
	parser := flags.NewNamedParser("hyssoprelay", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "load balancer for expert-parallel model groups"
	if _, err := parser.AddGroup("Operators", "how entries are reached", &p.options); err != nil {
		return nil, err
	}
	for _, c := range p.commands() {
		if _, err := parser.AddCommand(c.name, c.text, c.text, c.data); err != nil {
			return nil, err
		}
	}
	p.entry, p.agent = settings.EntryFlags(), settings.AgentFlags()
	p.relay, p.ranker = settings.RelayFlags(), settings.RankerFlags()
	roles := map[string]*settings.Flags{"entry": p.entry, "agent": p.agent, "relay": p.relay, "ranker": p.ranker}
	for name, f := range roles {
		if err := f.AddTo(parser.Find(name)); err != nil {
			return nil, err
		}
	}
	return parser, nil
}

// command is one first word of the command line.
type command struct {
	name string
	text string
	data any
}

func (p *Program) commands() []command {
	return []command{
		{"preset", "check, write and switch presets", newPresetCommands(p)},
		{"datacentre", "take a data centre out of service, or bring it in", newTargetCommands(p, "dataCentres")},
		{"endpoint", "take an endpoint out of service, or bring it in", newTargetCommands(p, "endpoints")},
		{"claims", "list and release claims of requests that may run only once", newClaimCommands(p)},
		{"parts", "list, refuse and lift parts of prompts on which endpoints crash", newPartCommands(p)},
		{"hold", "have relays refuse the requests of a class or an account until they are released", newHoldCommands(p, false)},
		{"release", "release what is held back", newHoldCommands(p, true)},
		{"holds", "list what is held back", &holdsCommand{program: p}},
		{"status", "show the state of all processes", &statusCommand{program: p}},
		{"timeline", "show events of all processes in causal order", &timelineCommand{program: p}},
		{"explain", "tell a request's story from saved logs", &explainCommand{program: p}},
		{"version", "show the version", &versionCommand{program: p}},
		{"entry", "run an entry", &entryCommand{program: p}},
		{"agent", "run the agent beside an endpoint", &agentCommand{program: p}},
		{"relay", "run an entry that speaks to endpoints directly", &relayCommand{program: p}},
		{"ranker", "run the agent that leads the expert maps of an engine's group", &rankerCommand{program: p}},
	}
}

// fail prints an error and returns the exit code for it.
func (p *Program) fail(err error) int {
	var u usageError
	if errors.As(err, &u) {
		_, _ = fmt.Fprintln(p.Stderr, u.Error())
		return exitUsage
	}
	var r *refusal
	if errors.As(err, &r) {
		p.printRefusal(r)
		return exitFailed
	}
	_, _ = fmt.Fprintln(p.Stderr, err)
	return exitFailed
}

func (p *Program) print(text string) { _, _ = fmt.Fprintln(p.Stdout, text) }

// usageError is a command line whose form is right and whose meaning is not.
type usageError struct{ text string }

func (e usageError) Error() string { return e.text }

// newChangeID makes up a name for a change.
func newChangeID() string {
	var b [12]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// errNoRoles says that the program was built for operators alone.
var errNoRoles = result.New(result.BadSetting, "this program runs no processes")
