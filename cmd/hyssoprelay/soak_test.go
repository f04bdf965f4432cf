package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var (
	soakFirst = flag.Uint64("soakFirst", 1, "first seed of the soak")
	soakSeeds = flag.Uint64("soakSeeds", 2, "number of seeds of the soak")
	soakTime  = flag.Duration("soakTime", 8*time.Second, "how long each seed of the soak has faults")
)

// soakRegressions are seeds that failed once, with what the cause was.
var soakRegressions = []struct {
	seed  uint64
	cause string
}{
	{9145, "requests that waited until a leaving endpoint had started again were taken for ones sent before"},
	{9147, "the same"},
}

// The relays and rankers run as separate processes while connections to the
// store and to endpoints are slowed, broken, cut one way and silenced, the store
// misbehaves, endpoints fail, send without end, leave and return, keys are taken away, and
// processes are stopped, frozen, killed and started again, in series and at once.
// Callers keep their connections until they are closed. What callers and
// endpoints see must keep the promises, and when the faults have ended everything
// must be served again.
//
// A seed fixes what happens and when; what of it meets which request is up to the
// machine.
func TestSoak(t *testing.T) {
	seeds := map[uint64]string{}
	for s := *soakFirst; s < *soakFirst+*soakSeeds; s++ {
		seeds[s] = ""
	}
	for _, r := range soakRegressions {
		seeds[r.seed] = r.cause
	}
	for seed, cause := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			t.Log(cause)
			soak(t, seed)
		})
	}
}

func soak(t *testing.T, seed uint64) {
	s := newSoakSystem(t)
	s.awaitServed()
	callers := s.startCallers(seed)
	c := &chaos{s: s, rng: rand.New(rand.NewPCG(seed, 1)), endless: rand.New(rand.NewPCG(seed, 2)), busy: map[string]bool{}}
	c.run(*soakTime)
	s.awaitServed()
	callers.stop()
	callers.check()
	if n := s.group.Mixed(); n != 0 {
		t.Errorf("%d passes began with two maps", n)
	}
	t.Logf("%s; faults: %v", callers.sum(), c.done)
}
