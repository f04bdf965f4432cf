package agent

import (
	"testing"

	"github.com/hyssoprelay/hyssoprelay/internal/endpoint/allowance"
	"github.com/hyssoprelay/hyssoprelay/internal/operator/preset"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

const viewPreset = `[preset]
name = ordinary

[dataCentre a]

[account clinic]
keyHash = 9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08
ratePerSecond = 10
burst = 10
concurrency = 10
weight = 1
worth = 1

[model small]
endpoints = a-engine-*
coldStartConcurrency = 4
concurrency = 16
rampStep = 2
rampCompletions = 5
defaultDeadline = 10s
maxOutputTokens = 1000

[model large]
endpoints = a-engine-1
coldStartConcurrency = 1
concurrency = 3
rampStep = 1
rampCompletions = 7
defaultDeadline = 10s
maxOutputTokens = 1000

[service desk]
endpoints = a-desk-*
repeatable = false
path = /
coldStartConcurrency = 2
concurrency = 8
rampStep = 4
rampCompletions = 2
defaultDeadline = 10s
`

func viewOf(t *testing.T, endpoint string, out bool) *view {
	t.Helper()
	p, faults := preset.Parse([]byte(viewPreset))
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	return newView(7, p, endpoint, out)
}

// An entry has an old view and sends work to an endpoint that operators have
// just taken out, or that serves another model since the last preset. Only the
// agent's own check turns it away, truly as not run.
func TestViewRefuses(t *testing.T) {
	cases := []struct {
		name, endpoint, route string
		out                   bool
		want                  result.Code
	}{
		{"in service", "a-engine-0", "small", false, result.OK},
		{"out of service", "a-engine-0", "small", true, result.OutOfService},
		{"another model", "a-engine-0", "large", false, result.NotServedHere},
		{"a service at an engine", "a-engine-0", "desk", false, result.NotServedHere},
		{"a service", "a-desk-0", "desk", false, result.OK},
		{"no route at all", "b-engine-0", "small", false, result.NotServedHere},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := codeOf(viewOf(t, c.endpoint, c.out).check(c.route)); got != c.want {
				t.Errorf("code %d, want %d", got, c.want)
			}
		})
	}
	t.Run("no preset yet", func(t *testing.T) {
		var none *view
		if got := codeOf(none.check("small")); got != result.NoPreset {
			t.Errorf("code %d", got)
		}
	})
}

// Two models share an engine. Bounds of the larger one would let the smaller
// one's work overrun it.
func TestViewLimits(t *testing.T) {
	cases := []struct {
		endpoint string
		want     allowance.Limits
		served   bool
	}{
		{"a-engine-0", allowance.Limits{Cold: 4, Full: 16, RampCompletions: 3}, true},
		{"a-engine-1", allowance.Limits{Cold: 1, Full: 3, RampCompletions: 7}, true},
		{"a-desk-0", allowance.Limits{Cold: 2, Full: 8, RampCompletions: 1}, true},
		{"b-engine-0", allowance.Limits{}, false},
	}
	for _, c := range cases {
		t.Run(c.endpoint, func(t *testing.T) {
			got, served := viewOf(t, c.endpoint, false).limits()
			if got != c.want || served != c.served {
				t.Errorf("%+v %t, want %+v %t", got, served, c.want, c.served)
			}
		})
	}
}
