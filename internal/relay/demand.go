package relay

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssoprelay/hyssoprelay/internal/directory"
	"github.com/hyssoprelay/hyssoprelay/internal/routing"
)

const (
	// demandWindow is the time constant with which an entry's demand is averaged.
	demandWindow = 1500 * time.Millisecond
	// demandInterval is the time between two views of the demands of all entries. Within it the
	// others have heard what an entry reports.
	demandInterval = 500 * time.Millisecond
	// minDemandFactor is the least factor of an entry, so that one without demand has a share when
	// requests reach it.
	minDemandFactor = 0.25
	// highDemand is the ratio to the mean from which on an entry's demand counts as high, if it also
	// exceeds the mean by highDeviations standard deviations and is at least minHighDemand requests
	// per second. Below, demands differ by chance.
	highDemand     = 2
	highDeviations = 4
	minHighDemand  = 4
)

// demands holds how much of a service's requests each entry gets, to divide what all entries may use
// together.
//
// The platform may lead most new connections to one entry. If each entry had the same share of a cold
// or limited endpoint, that one would refuse most of its requests while the shares of the others lie
// idle. Shares follow the demands that entries have reported. An entry uses the smaller of its shares
// by the last two views: its share grows only after all others have seen theirs shrink, so that the
// shares do not add up to more than the whole.
type demands struct {
	own map[string]*arrivalRate
	// shared names the services whose endpoints accept a limited rate, as of the last refresh.
	shared map[string]bool
	// reported holds the demands that this entry has last told the others.
	reported map[string]float64
	views    map[string]*demandViews
	// limitFractions caches the shares of limits, by endpoint.
	limitFractions map[string]limitShare
}

// demandViews holds the last two views of a service's demands.
type demandViews struct {
	at                time.Time
	current, previous demandView
}

// demandView holds the factors of the entries that have reported their demand for a service. The
// others have the factor 1.
type demandView map[string]float64

func (v demandView) factor(entry string) float64 {
	if f, ok := v[entry]; ok {
		return f
	}
	return 1
}

// newDemandView returns the factors for some demands, in requests per second: the ratio of each to
// the mean, rounded to a power of two. If no demand is high, all have the factor 1.
func newDemandView(perSecond map[string]float64) demandView {
	sum, highest := 0.0, 0.0
	for _, d := range perSecond {
		sum += d
		highest = max(highest, d)
	}
	mean := sum / float64(max(1, len(perSecond)))
	deviation := math.Sqrt(mean / (2 * demandWindow.Seconds()))
	if highest < max(highDemand*mean, mean+highDeviations*deviation, minHighDemand) {
		return nil
	}
	v := demandView{}
	for entry, d := range perSecond {
		v[entry] = math.Max(minDemandFactor, math.Exp2(math.Round(math.Log2(d/mean))))
	}
	return v
}

// count counts a request for a service.
func (d *demands) count(service string, now time.Time) {
	if d.own == nil {
		d.own = map[string]*arrivalRate{}
	}
	if d.own[service] == nil {
		d.own[service] = &arrivalRate{window: demandWindow}
	}
	d.own[service].add(now)
}

// OwnDemands returns this entry's requests per second, by service, for the other entries: those of
// services whose endpoints accept a limited rate.
func (st *State) OwnDemands(now time.Time) map[string]float64 {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.demands.reported = map[string]float64{}
	for service := range st.demands.shared {
		st.demands.reported[service] = 0
		if a := st.demands.own[service]; a != nil {
			st.demands.reported[service] = a.average(now)
		}
	}
	return st.demands.reported
}

// refreshDemands updates what depends on the endpoints, which have just been updated. mu must be
// held.
func (st *State) refreshDemands(now time.Time) {
	st.demands.shared = map[string]bool{}
	for _, ep := range st.endpoints {
		if !st.demands.shared[ep.Service] && st.hasLimitedRate(ep, now) {
			st.demands.shared[ep.Service] = true
		}
	}
	maps.DeleteFunc(st.demands.limitFractions, func(id string, _ limitShare) bool { return st.endpoints[id].ID == "" })
}

// hasLimitedRate reports whether an endpoint is cold or names a limit. mu must be held.
func (st *State) hasLimitedRate(ep directory.Endpoint, now time.Time) bool {
	if _, limited := st.limits.lookup(ep, now); limited {
		return true
	}
	if st.table == nil {
		return false
	}
	s := st.table.Service(ep.Service)
	return s != nil && s.ColdRate > 0 && ep.ColdAt(now)
}

// demandViews returns the current views of a service's demands. mu must be held.
func (st *State) demandViews(service string, now time.Time) *demandViews {
	v := st.demands.views[service]
	if v != nil && now.Sub(v.at) < demandInterval {
		return v
	}
	if st.demands.views == nil {
		st.demands.views = map[string]*demandViews{}
	}
	current := newDemandView(st.reportedDemands(service))
	previous := current
	if v != nil {
		previous = v.current
	}
	v = &demandViews{at: now, current: current, previous: previous}
	st.demands.views[service] = v
	return v
}

// reportedDemands returns the demands for a service that entries have reported, this one included.
func (st *State) reportedDemands(service string) map[string]float64 {
	out := map[string]float64{}
	if d, ok := st.demands.reported[service]; ok {
		out[st.Name] = d
	}
	for name, l := range st.entryLoads {
		if d, ok := l.Demand[service]; ok {
			out[name] = d
		}
	}
	return out
}

// least returns the smaller one of a share by the two views.
func (v *demandViews) least(share func(demandView) float64) float64 {
	if v.current == nil && v.previous == nil {
		return share(nil)
	}
	return math.Min(share(v.current), share(v.previous))
}

// coldRate returns this entry's share of the rate, in requests per second, of a service's cold
// endpoints. mu must be held.
func (st *State) coldRate(service *routing.Service, now time.Time) float64 {
	n := st.countEntries(now)
	share := st.demandViews(service.Name, now).least(func(v demandView) float64 { return st.shareOfAll(v, n) })
	return share * service.ColdRate
}

// shareOfAll returns this entry's share of what n entries use together.
func (st *State) shareOfAll(v demandView, n int) float64 {
	sum, known := v.factor(st.Name), 1
	for name := range st.entries {
		if name != st.Name {
			sum += v.factor(name)
			known++
		}
	}
	sum += float64(max(0, n-known))
	return v.factor(st.Name) / sum
}

// limitShare is this entry's share, from 0 to 1, of an endpoint's limit.
type limitShare struct {
	at        time.Time
	perSecond float64
	fraction  float64
}

// limitShareTime is for how long a share of a limit is kept before it is computed again, which takes
// a look at all entries.
const limitShareTime = 100 * time.Millisecond

// limitShareOf returns this entry's share of an endpoint's limit, or zero if it has none. mu must be
// held.
func (st *State) limitShareOf(service *routing.Service, l RateLimit, now time.Time) float64 {
	cached, ok := st.demands.limitFractions[l.Endpoint]
	if ok && cached.perSecond == l.PerSecond && now.Sub(cached.at) < limitShareTime {
		return cached.fraction
	}
	fraction := st.demandViews(service.Name, now).least(func(v demandView) float64 { return st.shareOfLimit(v, l) })
	if st.demands.limitFractions == nil {
		st.demands.limitFractions = map[string]limitShare{}
	}
	st.demands.limitFractions[l.Endpoint] = limitShare{at: now, perSecond: l.PerSecond, fraction: fraction}
	return fraction
}

// shareOfLimit returns this entry's share of a limit by one view.
func (st *State) shareOfLimit(v demandView, l RateLimit) float64 {
	sharers := st.limitSharers(v, l)
	if !slices.Contains(sharers, st.Name) {
		return 0
	}
	sum := 0.0
	for _, name := range sharers {
		sum += v.factor(name)
	}
	return v.factor(st.Name) / sum
}

// limitSharers returns the entries that share a limit.
//
// With 150 entries and an endpoint that accepts one request per second, each entry would have saved
// up a request after a while, and all could send theirs at the same moment. So only as many entries
// share the limit as burstPerRate and burstBase permit: those with a high demand, and of the others
// those that a hash of the names selects, so that all entries agree without coordination.
func (st *State) limitSharers(v demandView, l RateLimit) []string {
	type candidate struct {
		name string
		high bool
		hash uint64
	}
	add := func(all []candidate, name string) []candidate {
		return append(all, candidate{name: name, high: v.factor(name) >= highDemand, hash: xxhash.Sum64String(name + " " + l.Endpoint)})
	}
	all := add(make([]candidate, 0, len(st.entries)+1), st.Name)
	for name := range st.entries {
		if name != st.Name {
			all = add(all, name)
		}
	}
	slices.SortFunc(all, func(a, b candidate) int {
		if a.high != b.high {
			if a.high {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.hash, b.hash)
	})
	n := int(min(float64(len(all)), burstPerRate*l.PerSecond+burstBase))
	names := make([]string, 0, n)
	for _, c := range all[:n] {
		names = append(names, c.name)
	}
	return names
}
