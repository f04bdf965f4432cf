package command

import (
	"fmt"
	"net/http"

	"github.com/hyssoprelay/hyssoprelay/internal/operator"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// changeOptions are the flags of every change.
type changeOptions struct {
	ChangeID     string `long:"changeId" description:"name of the change, to give the same order again after a lost answer"`
	IfGeneration uint64 `long:"ifGeneration" description:"refuse when the configuration has another generation"`
}

// request completes the options.
func (o *changeOptions) request(p *Program) operator.ChangeRequest {
	if o.ChangeID == "" {
		o.ChangeID = newChangeID()
	}
	return operator.ChangeRequest{ChangeID: o.ChangeID, By: p.options.By, IfGeneration: o.IfGeneration}
}

// change gives an order and prints what it led to.
func (p *Program) change(method, path string, body any, changeID string) error {
	c, err := p.open()
	if err != nil {
		return err
	}
	var reply operator.ChangeReply
	err = c.do(p.ctx, call{method: method, path: path, body: body, change: true}, &reply)
	if r, ok := err.(*refusal); ok && r.reply.Code == int(result.WriteUnknown) {
		r.reply.Detail += "; give the same order again with --changeId " + changeID
	}
	if err != nil {
		return err
	}
	return p.show(reply, func() string { return changeText(reply) })
}

func changeText(r operator.ChangeReply) string {
	if r.Held {
		return fmt.Sprintf("%d %s: %s", r.Code, r.Name, r.Detail)
	}
	return fmt.Sprintf("done, generation %d, preset %s in force", r.Generation, r.InForce)
}

// targetCommands take something out of service and bring it in.
type targetCommands struct {
	Out targetCommand `command:"out" description:"take out of service"`
	In  targetCommand `command:"in" description:"bring back into service"`
}

func newTargetCommands(p *Program, kind string) *targetCommands {
	return &targetCommands{
		Out: targetCommand{program: p, kind: kind, way: "out"},
		In:  targetCommand{program: p, kind: kind, way: "in"},
	}
}

type targetCommand struct {
	changeOptions
	Args struct {
		Name string `positional-arg-name:"NAME"`
	} `positional-args:"yes" required:"yes"`

	program *Program
	kind    string
	way     string
}

// Execute implements flags.Commander.
func (c *targetCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	path, err := adminPath(c.kind, c.Args.Name, c.way)
	if err != nil {
		return err
	}
	body := c.request(c.program)
	return c.program.change(http.MethodPost, path, body, c.ChangeID)
}
