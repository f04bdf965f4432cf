package command

import (
	"net/http"
	"net/url"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/operator"
)

type claimCommands struct {
	List    claimListCommand    `command:"list" description:"list claims"`
	Release claimReleaseCommand `command:"release" description:"say what became of a request whose outcome no process knows"`
}

func newClaimCommands(p *Program) *claimCommands {
	return &claimCommands{
		List:    claimListCommand{program: p},
		Release: claimReleaseCommand{program: p},
	}
}

type claimListCommand struct {
	Account string `long:"account" description:"only this account"`
	Key     string `long:"key" description:"only this idempotency key"`

	program *Program
}

// Execute implements flags.Commander.
func (c *claimListCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	q := url.Values{"account": {c.Account}, "key": {c.Key}}
	var list operator.ClaimList
	return c.program.get("/admin/claims?"+q.Encode(), &list, func() string { return claimsText(list) })
}

func claimsText(list operator.ClaimList) string {
	rows := [][]string{{"ROUTE", "ACCOUNT", "KEY", "REQUEST", "AGENT", "STATE", "SINCE", "RELEASABLE"}}
	for _, c := range list.Claims {
		rows = append(rows, []string{
			c.Route, c.Account, c.Key, c.RequestID, c.Agent, c.State, clock(c.AtMicros), releasable(c.RestMillis),
		})
	}
	return table(rows)
}

func releasable(restMillis int64) string {
	if restMillis <= 0 {
		return "now"
	}
	return "in " + (time.Duration(restMillis) * time.Millisecond).Round(time.Second).String()
}

type claimReleaseCommand struct {
	changeOptions
	Outcome string `long:"outcome" description:"what you found at the endpoint: ran, and it must not run again, or notRun, and its key may be used again" choice:"ran" choice:"notRun" required:"yes"`
	Args    struct {
		Route   string `positional-arg-name:"ROUTE"`
		Account string `positional-arg-name:"ACCOUNT"`
		Key     string `positional-arg-name:"KEY"`
	} `positional-args:"yes" required:"yes"`

	program *Program
}

// Execute implements flags.Commander.
func (c *claimReleaseCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	body := operator.ReleaseRequest{
		ChangeRequest: c.request(c.program),
		Route:         c.Args.Route,
		Account:       c.Args.Account,
		Key:           c.Args.Key,
		Outcome:       c.Outcome,
	}
	return c.program.change(http.MethodPost, "/admin/claims/release", body, c.ChangeID)
}
