package command

import (
	"context"
	"strconv"
	"strings"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/hyssoprelay/hyssoprelay/internal/fleet/fleetpb"
	"github.com/hyssoprelay/hyssoprelay/internal/holdback"
	"github.com/hyssoprelay/hyssoprelay/internal/peer"
	"github.com/hyssoprelay/hyssoprelay/internal/routing"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// holdCommands hold back the requests of a class or an account, or release them. They ask any relay,
// which writes the order to the platform's store; all relays learn of it from there.
type holdCommands struct {
	Class   holdClassCommand   `command:"class" description:"a priority class of a service; 0 is the most urgent"`
	Account holdAccountCommand `command:"account" description:"an account"`
}

func newHoldCommands(p *Program, release bool) *holdCommands {
	return &holdCommands{
		Class:   holdClassCommand{program: p, release: release},
		Account: holdAccountCommand{program: p, release: release},
	}
}

// holdOptions are the flags of the commands about holds.
type holdOptions struct {
	Peer []string `long:"peer" description:"IP:port of a relay's peer address; several are tried in turn" value-name:"ADDR" required:"yes"`
}

type holdClassCommand struct {
	holdOptions
	Args struct {
		Service string `positional-arg-name:"SERVICE"`
		Class   string `positional-arg-name:"CLASS"`
	} `positional-args:"yes" required:"yes"`

	program *Program
	release bool
}

// Execute implements flags.Commander.
func (c *holdClassCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	class, err := strconv.Atoi(c.Args.Class)
	if err != nil {
		return usageError{"a class is a number"}
	}
	t := holdback.ServiceClass{Service: c.Args.Service, Class: routing.Class(class)}
	if e := holdback.Check(t); e != nil {
		return usageError{e.Detail()}
	}
	m := &fleetpb.HoldTarget{Service: t.Service, Class: uint32(t.Class)}
	return c.program.orderHold(c.holdOptions, m, c.release)
}

type holdAccountCommand struct {
	holdOptions
	Args struct {
		Name string `positional-arg-name:"NAME"`
	} `positional-args:"yes" required:"yes"`

	program *Program
	release bool
}

// Execute implements flags.Commander.
func (c *holdAccountCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	if e := holdback.Check(holdback.Account{Name: c.Args.Name}); e != nil {
		return usageError{e.Detail()}
	}
	return c.program.orderHold(c.holdOptions, &fleetpb.HoldTarget{Account: c.Args.Name}, c.release)
}

type holdsCommand struct {
	holdOptions

	program *Program
}

// Execute implements flags.Commander.
func (c *holdsCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	reply, err := c.program.holds(c.holdOptions, &fleetpb.HoldsRequest{})
	if err != nil {
		return err
	}
	views := holdViews(reply.GetHolds())
	return c.program.show(views, func() string { return holdsText(views) })
}

// orderHold gives an order and prints that it was accepted.
func (p *Program) orderHold(options holdOptions, t *fleetpb.HoldTarget, release bool) error {
	order := &fleetpb.HoldOrder{Target: t, By: p.options.By}
	if _, err := p.holds(options, &fleetpb.HoldsRequest{Order: order, Release: release}); err != nil {
		return err
	}
	return p.show(holdAccepted{Accepted: true}, func() string {
		return "accepted; relays put it into force as soon as they learn of it from the store"
	})
}

type holdAccepted struct {
	Accepted bool `json:"accepted"`
}

// holds asks one relay after the other. An order can be given again, so it is also given to the next
// relay if the store did not answer this one. If the outcome of one attempt is not known and no later
// one succeeds, the outcome of the order is not known either.
func (p *Program) holds(options holdOptions, q *fleetpb.HoldsRequest) (*fleetpb.HoldsReply, error) {
	pool := &peer.ConnPool{}
	defer pool.Close()
	var last, unknown error
	for _, addr := range options.Peer {
		reply, err := p.askHolds(pool, addr, q)
		switch code := result.Code(reply.GetCode()); {
		case err != nil:
			last = refuse(result.EntryUnreachable, strings.Join(options.Peer, ", ")+": "+status.Convert(err).Message())
			if q.GetOrder() != nil && mayHaveArrived(err) {
				unknown = refuse(result.WriteUnknown, addr+": "+status.Convert(err).Message())
			}
		case code == result.OK:
			return reply, nil
		case code == result.WriteUnknown:
			unknown = refuse(code, reply.GetDetail())
		case code == result.PlatformRefused:
			last = refuse(code, reply.GetDetail())
		default:
			return nil, refuse(code, reply.GetDetail())
		}
	}
	if unknown != nil {
		return nil, unknown
	}
	return nil, last
}

// mayHaveArrived reports whether a call that failed may have reached the relay.
func mayHaveArrived(err error) bool {
	code := status.Code(err)
	return code != codes.Unimplemented && code != codes.Unavailable
}

func (p *Program) askHolds(pool *peer.ConnPool, addr string, q *fleetpb.HoldsRequest) (*fleetpb.HoldsReply, error) {
	conn, err := pool.Get(addr)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(p.ctx, p.options.Timeout)
	defer cancel()
	return fleetpb.NewEntryClient(conn).Holds(ctx, q)
}

// holdView is an order in force as it is printed.
type holdView struct {
	Service string `json:"service,omitempty"`
	// Class is absent in an order about an account.
	Class    *int   `json:"class,omitempty"`
	Account  string `json:"account,omitempty"`
	By       string `json:"by"`
	Revision int64  `json:"revision"`
}

func holdViews(holds []*fleetpb.HoldInForce) []holdView {
	views := make([]holdView, 0, len(holds))
	for _, h := range holds {
		t := h.GetOrder().GetTarget()
		v := holdView{Service: t.GetService(), Account: t.GetAccount(), By: h.GetOrder().GetBy(), Revision: h.GetRevision()}
		if v.Account == "" {
			class := int(t.GetClass())
			v.Class = &class
		}
		views = append(views, v)
	}
	return views
}

func holdsText(views []holdView) string {
	rows := [][]string{{"SERVICE", "CLASS", "ACCOUNT", "BY", "REVISION"}}
	for _, v := range views {
		class := ""
		if v.Class != nil {
			class = strconv.Itoa(*v.Class)
		}
		rows = append(rows, []string{v.Service, class, v.Account, v.By, strconv.FormatInt(v.Revision, 10)})
	}
	return table(rows)
}
