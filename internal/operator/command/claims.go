package command

import (
	"net/http"
	"net/url"

	"github.com/hyssoprelay/hyssoprelay/internal/operator"
)

type claimCommands struct {
	List    claimListCommand    `command:"list" description:"list claims"`
	Release claimReleaseCommand `command:"release" description:"end a claim whose agent is gone, so that its key may be used again"`
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
	rows := [][]string{{"ACCOUNT", "KEY", "ROUTE", "AGENT", "STATE", "SINCE"}}
	for _, c := range list.Claims {
		rows = append(rows, []string{c.Account, c.Key, c.Route, c.Agent, c.State, clock(c.AtMicros)})
	}
	return table(rows)
}

type claimReleaseCommand struct {
	changeOptions
	Args struct {
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
	body := operator.ReleaseRequest{ChangeRequest: c.request(c.program), Account: c.Args.Account, Key: c.Args.Key}
	return c.program.change(http.MethodPost, "/admin/claims/release", body, c.ChangeID)
}
