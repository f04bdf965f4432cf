package measure

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/placement"
)

// Sizes of the affinity table: prompts share prefixes by Zipf's law, and an
// endpoint's cache holds a small part of them.
const (
	prefixCount  = 1000
	cachedCount  = 60
	openStreams  = 60
	affinitySize = 20000
)

// Affinity compares ways to place requests with shared prompt prefixes.
func Affinity() Section {
	return tables("affinity", affinityTables)
}

func affinityTables(seed uint64) []Table {
	t := Table{
		Title: "Prefix affinity",
		Notes: []string{
			"Requests that found their prefix cached, in 100, and the fullest endpoint's open streams against",
			"the mean, 99th percentile over time. 12 endpoints, 60 open streams, 1000 prefixes by Zipf's law,",
			"60 of them cached at each endpoint, least recently used out first.",
			"",
		},
		Columns: []string{"placing", "cached", "fullest to mean"},
	}
	const noBound = 1e9
	for _, way := range []struct {
		name  string
		bound float64
	}{
		{"without affinity", 0},
		{"bound 1.05", 1.05},
		{"bound 1.25", 1.25},
		{"bound 1.5", 1.5},
		{"bound 2", 2},
		{"hashing alone", noBound},
	} {
		hits, fullest := playAffinity(way.bound, seed)
		t.Rows = append(t.Rows, []string{way.name, percent(hits), fmt.Sprintf("%.2f", fullest)})
	}
	return []Table{t}
}

// playAffinity keeps a fixed number of streams open and returns the part of
// requests with a cached prefix and how full the fullest endpoint was.
func playAffinity(bound float64, seed uint64) (hits, fullest float64) {
	rng := rand.New(rand.NewPCG(seed, 11))
	zipf := rand.NewZipf(rng, 1.1, 1, prefixCount-1)
	b := &placement.Balancer{DataCentre: dcName(0), AffinityBound: bound, RemotePenalty: math.SmallestNonzeroFloat64, Seed: seed}
	caches := make(map[string]*cache)
	streams := make(map[string]int)
	for i := range dataCentres * endpointsPerDC {
		s := newServer(i)
		s.dc = 0
		r := s.report(0)
		r.Allowance, r.Capacity = openStreams, endpointCapacity
		b.Update(r, clock(-time.Hour))
		caches[r.Endpoint] = &cache{used: make(map[uint64]int)}
	}
	var open []*placement.Attempt
	var full []float64
	for i := range affinitySize {
		prefix := zipf.Uint64() + 1
		q := placement.Query{Route: route, Tokens: 500, Prefix: prefix}
		if bound == 0 {
			q.Prefix = 0
		}
		c, _, _ := b.Choose(q, clock(0))
		open = append(open, b.Start(c, q, clock(0)))
		streams[c.Endpoint]++
		if caches[c.Endpoint].touch(prefix, i) {
			hits++
		}
		if len(open) < openStreams {
			continue
		}
		k := rng.IntN(len(open))
		streams[open[k].Endpoint()]--
		b.End(open[k], clock(0))
		open[k] = open[len(open)-1]
		open = open[:len(open)-1]
		full = append(full, fullestToMean(streams))
	}
	return hits / affinitySize, percentile(full, 0.99)
}

func fullestToMean(streams map[string]int) float64 {
	var most, sum float64
	for _, n := range streams {
		most = math.Max(most, float64(n))
		sum += float64(n)
	}
	return most * dataCentres * endpointsPerDC / sum
}

// cache is an endpoint's prefix cache.
type cache struct {
	used map[uint64]int
}

// touch uses a prefix and reports whether it was there.
func (c *cache) touch(prefix uint64, at int) bool {
	_, ok := c.used[prefix]
	c.used[prefix] = at
	if len(c.used) > cachedCount {
		c.evict()
	}
	return ok
}

func (c *cache) evict() {
	var oldest uint64
	least := math.MaxInt
	for prefix, at := range c.used {
		if at < least {
			oldest, least = prefix, at
		}
	}
	delete(c.used, oldest)
}
