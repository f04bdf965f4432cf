package fleet

import (
	"cmp"
	"context"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssoprelay/hyssoprelay/internal/platform"
)

// maxCandidates is the number of entries that a process may try as its host.
const maxCandidates = 2 * maxHostAttempts

// Lister lists the keys of the store that have a prefix, possibly as of some seconds ago.
type Lister interface {
	ListStale(ctx context.Context, prefix string) ([]platform.KeyValue, error)
}

// ListHosts returns the hosts of a data centre. onError is called with the error of each key that
// can't be read.
func ListHosts(ctx context.Context, store Lister, dataCentre string, onError func(error)) ([]Member, error) {
	kvs, err := store.ListStale(ctx, HostsPrefix(dataCentre))
	if err != nil {
		return nil, err
	}
	return decodeHosts(kvs, onError), nil
}

// ListHostsOrEntries returns what ListHosts does, or all entries of the fleet if there are no hosts:
// they become hosts if they are asked.
func ListHostsOrEntries(ctx context.Context, store Lister, dataCentre string, onError func(error)) ([]Member, error) {
	hosts, err := ListHosts(ctx, store, dataCentre, onError)
	if err != nil || len(hosts) > 0 {
		return hosts, err
	}
	kvs, err := store.ListStale(ctx, KindPrefix(Entry))
	if err != nil {
		return nil, err
	}
	return DecodeAll(kvs, onError), nil
}

// HostCandidates returns the entries of a data centre that may keep the process called
// self registered, in the order in which it tries them: first the hosts, then others that
// become hosts if it asks them. An entry never returns itself.
//
// Hosts are ordered by a hash of both names, which spreads the processes evenly over them.
// The others are ordered by a hash of their names alone, so that the processes agree on
// few new hosts when they lose theirs.
func HostCandidates(entries []Member, dataCentre, self string) []Member {
	var hosts, others []Member
	for _, m := range entries {
		switch {
		case m.DataCentre != dataCentre || m.Name == self:
		case m.Host:
			hosts = append(hosts, m)
		default:
			others = append(others, m)
		}
	}
	sortByHash(hosts, func(name string) string { return name + "/" + self })
	sortByHash(others, func(name string) string { return name })
	out := append(hosts, others...)
	return out[:min(len(out), maxCandidates)]
}

func sortByHash(members []Member, text func(name string) string) {
	slices.SortFunc(members, func(a, b Member) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(text(a.Name)), xxhash.Sum64String(text(b.Name))), cmp.Compare(a.Name, b.Name))
	})
}
