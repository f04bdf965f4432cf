package measure

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"github.com/hyssoprelay/hyssoprelay/internal/caller/admission"
)

// Sizes of the measured system: those of one of today's users.
const (
	dataCentres      = 3
	entriesPerDC     = 3
	endpointsPerDC   = 4
	endpointCapacity = 8
	meanRun          = 2.0 // seconds in a full batch
	runLength        = 120 * time.Second
)

// capacityPerSecond is the requests a second that all endpoints can serve.
const capacityPerSecond = dataCentres * endpointsPerDC * endpointCapacity / meanRun

// shape is one kind of load.
type shape struct {
	name string
	// load is the mean arrival rate as a part of capacity.
	load float64
	// burst multiplies the load during one second in five.
	burst float64
	// skew is the part of all arrivals that the largest account sends.
	skew float64
	// long is the part of requests that run ten times as long.
	long float64
	// slowEndpoint slows one endpoint down by this factor from 30 s to 90 s.
	slowEndpoint float64
	// failing makes one endpoint fail each request at once from 30 s to 90 s.
	failing bool
	// leave takes a data centre out at 30 s and brings it back, cold, at 70 s.
	leave bool
	// sameWorth makes all accounts worth the same.
	sameWorth bool
}

// accountCount is the accounts of one of today's users; two are large.
const accountCount = 10

func accountName(i int) string { return fmt.Sprintf("account%d", i) }

// accountWorth returns what a request of account i is worth.
func (s shape) accountWorth(i int) float64 {
	if s.sameWorth {
		return 1
	}
	return []float64{1, 2, 1, 1, 2, 2, 3, 3, 5, 5}[i]
}

// limits returns limits that leave the decisions to the queue: the tables are
// about saturation, not about contracts.
func (s shape) limits() []admission.Limits {
	limits := make([]admission.Limits, accountCount)
	for i := range limits {
		limits[i] = admission.Limits{Account: accountName(i), Weight: 1, Worth: s.accountWorth(i)}
	}
	return limits
}

// job is one request of a caller, over all its attempts.
type job struct {
	id       int
	account  int
	worth    float64
	work     float64 // seconds in a full batch
	estimate time.Duration
	tokens   int
	arrival  time.Duration
	deadline time.Duration
	entry    int
	tries    int

	outcome outcome
	// told is when the caller first heard that the request is not served, by
	// a refusal or by the passing of its deadline.
	told time.Duration

	// running state, owned by the server
	server    *server
	remaining float64
	attempt   uint64
}

// outcome is how a request ended for its caller.
type outcome int

const (
	pending outcome = iota
	served
	late
	refused
)

// arrivals draws the requests of a shape, in order of arrival.
func (s shape) arrivals(seed uint64) []*job {
	src := rand.NewPCG(seed, 7)
	rng := rand.New(src)
	gap := distuv.Exponential{Rate: 1, Src: src}
	const sigma = 0.5
	run := distuv.LogNormal{Mu: math.Log(s.shortRun()) - sigma*sigma/2, Sigma: sigma, Src: src}
	noise := distuv.LogNormal{Mu: 0, Sigma: 0.25, Src: src}
	var jobs []*job
	for at := 0.0; at < runLength.Seconds(); {
		at += gap.Rand() / (s.rate(at) * capacityPerSecond)
		j := &job{id: len(jobs), arrival: toDuration(at), account: s.account(rng)}
		j.work = run.Rand()
		if rng.Float64() < s.long {
			j.work *= longFactor
		}
		j.worth = s.accountWorth(j.account) * math.Max(1, j.work/meanRun)
		j.estimate = toDuration(j.work * noise.Rand())
		j.tokens = int(250 * j.work)
		j.deadline = j.arrival + toDuration(3*j.work+3)
		j.entry = rng.IntN(dataCentres * entriesPerDC)
		jobs = append(jobs, j)
	}
	sort.SliceStable(jobs, func(a, b int) bool { return jobs[a].arrival < jobs[b].arrival })
	return jobs
}

// longFactor is how much longer a long request runs.
const longFactor = 10

// shortRun keeps the mean running time at meanRun.
func (s shape) shortRun() float64 {
	return meanRun / (1 + s.long*(longFactor-1))
}

// rate returns the arrival rate at a time, as a part of capacity.
func (s shape) rate(at float64) float64 {
	if s.burst == 0 {
		return s.load
	}
	const period = 5
	rest := (period - s.burst) / (period - 1)
	if math.Mod(at, period) < 1 {
		return s.load * s.burst
	}
	return s.load * rest
}

// account draws the sender: two large accounts, the others equal.
func (s shape) account(rng *rand.Rand) int {
	large := s.skew
	if large == 0 {
		large = 0.3
	}
	second := 0.2 * (1 - large) / 0.7
	switch x := rng.Float64(); {
	case x < large:
		return 0
	case x < large+second:
		return 1
	default:
		return 2 + rng.IntN(accountCount-2)
	}
}

func toDuration(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}
