package ranker

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/fleet"
	"github.com/hyssoprelay/hyssoprelay/internal/pause"
	"github.com/hyssoprelay/hyssoprelay/internal/peer"
)

const (
	// hostLookups is how often a starting agent looks for an entry that keeps it
	// registered before it registers by itself, and hostLookupInterval the mean time
	// between two looks. Lists that may be some seconds old suffice and cost a tenth.
	hostLookups        = 3
	hostLookupInterval = time.Second
)

// register keeps the agent's key in the store once the agent's group is known.
func (r *Ranker) register(ctx context.Context) error {
	group := r.awaitGroup(ctx)
	if group == "" {
		return nil
	}
	self := r.self(group)
	registrar := &fleet.Registrar{
		Store: r.store, OnError: r.logStoreFailure, RenewNow: &r.leaseInDoubt, OnRecovered: r.storeReturned.Raise,
		Hosts: r.registrationHosts, Member: func() fleet.Member { return self },
	}
	return registrar.Run(ctx)
}

// self returns this agent as a member of the fleet.
func (r *Ranker) self(group string) fleet.Member {
	return fleet.Member{
		Kind: fleet.Agent, Name: r.Settings.Name, DataCentre: r.Settings.DataCentre,
		Address: r.peers.ListenAddr(), Endpoint: r.Settings.EndpointAddress.String(), Group: group,
	}
}

// registrationHosts returns the entries with which this agent may register, best first.
func (r *Ranker) registrationHosts(ctx context.Context) []fleet.RegistrationHost {
	for i := range hostLookups {
		if i > 0 {
			pause.For(ctx, hostLookupInterval/2+rand.N(hostLookupInterval))
		}
		var out []fleet.RegistrationHost
		for _, m := range fleet.HostCandidates(r.listedEntries(ctx), r.Settings.DataCentre, r.Settings.Name) {
			out = append(out, peer.RegistrationHost{Conns: r.conns, Host: m})
		}
		if len(out) > 0 || ctx.Err() != nil {
			return out
		}
	}
	return nil
}

// listedEntries returns the hosts of the data centre that the store lists, or all entries if there
// are none. If the store doesn't answer, it returns those that it last listed: it may answer one of
// them.
func (r *Ranker) listedEntries(ctx context.Context) []fleet.Member {
	listed, err := fleet.ListHostsOrEntries(ctx, r.store, r.Settings.DataCentre, r.logMalformed)
	if err != nil {
		r.logStoreFailure(err)
		return r.lastListed
	}
	r.lastListed = listed
	return r.lastListed
}
