package command

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/hyssoprelay/hyssoprelay/internal/fleet/fleetpb"
	"github.com/hyssoprelay/hyssoprelay/internal/peer"
	"github.com/hyssoprelay/hyssoprelay/internal/quarantine"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// partCommands list the parts of prompts on which endpoints have crashed, or the requests under which
// they have ended, and decide about them. They ask any relay; the relays tell each other.
type partCommands struct {
	List   partListCommand  `command:"list" description:"list the parts of prompts on which endpoints have crashed"`
	Refuse partOrderCommand `command:"refuse" description:"refuse requests with a part"`
	Lift   partOrderCommand `command:"lift" description:"lift what is held against a part"`
}

func newPartCommands(p *Program) *partCommands {
	return &partCommands{
		List:   partListCommand{program: p},
		Refuse: partOrderCommand{program: p, refuse: true},
		Lift:   partOrderCommand{program: p},
	}
}

// partOptions are the flags of the commands that speak with relays.
type partOptions struct {
	Peer    []string `long:"peer" description:"IP:port of a relay's peer address; several are tried in turn" value-name:"ADDR" required:"yes"`
	Request bool     `long:"request" description:"whole requests, by the fingerprint that the logs name, in place of parts"`
}

type partListCommand struct {
	partOptions

	program *Program
}

// Execute implements flags.Commander.
func (c *partListCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	return c.program.parts(c.partOptions, &fleetpb.PartsRequest{})
}

type partOrderCommand struct {
	partOptions
	Args struct {
		Part string `positional-arg-name:"PART"`
	} `positional-args:"yes" required:"yes"`

	program *Program
	refuse  bool
}

// Execute implements flags.Commander.
func (c *partOrderCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	if !quarantine.ValidID(c.Args.Part) {
		return usageError{"the ID of a part, or a fingerprint, is a hexadecimal number in lower case"}
	}
	order := &fleetpb.PartOrder{Part: c.Args.Part, Refuse: c.refuse, Request: c.Request}
	return c.program.parts(c.partOptions, &fleetpb.PartsRequest{Order: order})
}

// parts asks the first relay that answers, and prints what it holds against parts or requests.
func (p *Program) parts(options partOptions, q *fleetpb.PartsRequest) error {
	pool := &peer.ConnPool{}
	defer pool.Close()
	var last error
	for _, addr := range options.Peer {
		reply, err := p.askParts(pool, addr, q)
		if err == nil {
			views := partViews(reply.GetCases())
			if options.Request {
				views = partViews(reply.GetRequestCases())
			}
			return p.show(views, func() string { return partsText(views) })
		}
		if status.Code(err) == codes.InvalidArgument {
			return refuse(result.MalformedOrder, status.Convert(err).Message())
		}
		last = err
	}
	return refuse(result.EntryUnreachable, strings.Join(options.Peer, ", ")+": "+status.Convert(last).Message())
}

func (p *Program) askParts(pool *peer.ConnPool, addr string, q *fleetpb.PartsRequest) (*fleetpb.PartsReply, error) {
	conn, err := pool.Get(addr)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(p.ctx, p.options.Timeout)
	defer cancel()
	return fleetpb.NewEntryClient(conn).Parts(ctx, q)
}

// partView is a part of prompts, or the fingerprint of a request, as it is printed.
type partView struct {
	Part    string `json:"part"`
	Refused bool   `json:"refused"`
	// Ordered means that operators have it refused.
	Ordered   bool     `json:"ordered"`
	Endpoints []string `json:"endpoints"`
	Accounts  []string `json:"accounts"`
	// LastMillis is how long ago the last endpoint ended, and AskedMillis when the part was last
	// refused, in milliseconds, or -1 for never.
	LastMillis  int64 `json:"lastMillis"`
	AskedMillis int64 `json:"askedMillis"`
}

func partViews(cases []*fleetpb.PartCase) []partView {
	views := make([]partView, 0, len(cases))
	for _, c := range cases {
		v := partView{Part: c.GetPart(), Refused: c.GetRefused(), Ordered: c.GetOrdered() != 0, LastMillis: -1, AskedMillis: -1}
		for _, crash := range c.GetCrashes() {
			v.Endpoints = append(v.Endpoints, crash.GetEndpoint())
			if !slices.Contains(v.Accounts, crash.GetAccount()) {
				v.Accounts = append(v.Accounts, crash.GetAccount())
			}
			v.LastMillis = int64(crash.GetAgeMicros() / 1000) // the last one is the latest
		}
		if c.GetAsked() != 0 {
			v.AskedMillis = int64(c.GetAsked() / 1000)
		}
		views = append(views, v)
	}
	return views
}

func partsText(views []partView) string {
	rows := [][]string{{"PART", "REFUSED", "BY", "CRASHES", "LAST", "ASKED FOR", "ACCOUNTS", "ENDPOINTS"}}
	for _, v := range views {
		by := "crashes"
		if v.Ordered {
			by = "operator"
		}
		rows = append(rows, []string{
			v.Part, yes(v.Refused), by, strconv.Itoa(len(v.Endpoints)), agoText(v.LastMillis), agoText(v.AskedMillis),
			strings.Join(v.Accounts, ","), strings.Join(v.Endpoints, ","),
		})
	}
	return table(rows)
}

func agoText(millis int64) string {
	if millis < 0 {
		return "never"
	}
	return fmt.Sprint((time.Duration(millis) * time.Millisecond).Round(100*time.Millisecond), " ago")
}
