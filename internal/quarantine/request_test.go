package quarantine

import (
	"math/rand/v2"
	"testing"
	"time"
)

// callerTime is the time that callers have left when an endpoint ends under their request.
const callerTime = 2 * time.Second

// requestTable returns a table of requests in which some endpoints have ended under one, 100 ms apart
// from 100 ms on.
func requestTable(ends int) *Table {
	table := &Table{Rules: RequestRules{}}
	for i := range ends {
		table.Crashed([]string{"r"}, requestEnd(i, 100*(i+1)))
	}
	return table
}

func requestEnd(i, ms int) Crash {
	crash := end(i, ms)
	crash.CallerLeft = callerTime
	return crash
}

// wantTried checks whether a request is let through at a time.
func wantTried(t *testing.T, table *Table, ms int, want bool) {
	t.Helper()
	refused, _ := table.Check("a", []string{"r"}, always, at(ms))
	if tried := refused == nil; tried != want {
		t.Errorf("at %d ms: let through %v, want %v: %+v", ms, tried, want, table.Known("r"))
	}
}

// Endpoints end under one request within moments of each other. Guards against sending it to a fourth.
func TestRequestIsRefusedFromTheThirdEndOn(t *testing.T) {
	for ends := range 5 {
		table := requestTable(ends)
		wantRefused(t, table, 100*ends, ends >= CrashesToRefuse, "r")
		wantRefused(t, table, 100*ends, false, "other")
	}
}

// An answer to the request was complete before, as its twin's. Guards against an acquittal by what says
// nothing about the ends that follow.
func TestEarlierAnswerDoesNotClearTheRequest(t *testing.T) {
	table := &Table{Rules: RequestRules{}}
	table.Answered([]string{"r"}, at(0))
	for i := range CrashesToRefuse {
		table.Crashed([]string{"r"}, requestEnd(i, 100*(i+1)))
	}
	wantRefused(t, table, 400, true, "r")
}

// A popular look-up is answered while three endpoints end that had it. Guards against refusing it, at
// the entry that has the answer and at others that hear of the ends late and in any order.
func TestWholeAnswerClearsTheRequestEverywhere(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 1))
		answering, late := requestTable(CrashesToRefuse), requestTable(1)
		answering.Answered([]string{"r"}, at(310))
		answering.Answered([]string{"r"}, at(1200))
		for ms := 400; ms < 2000; ms += 50 {
			late.Merge(delayed(requestTable(CrashesToRefuse).Known("r"), time.Duration(rng.IntN(40))*time.Millisecond), at(ms))
			for _, c := range answering.Recent(at(ms)) {
				late.Merge(delayed(c, time.Duration(rng.IntN(40))*time.Millisecond), at(ms))
			}
			answering.Merge(delayed(late.Known("r"), time.Duration(rng.IntN(40))*time.Millisecond), at(ms))
		}
		wantRefused(t, answering, 2000, false, "r")
		wantRefused(t, late, 2000, false, "r")
	}
}

// The callers of a refused request have given up, and others ask for it. Guards against refusing for
// good what was lost with endpoints that ended together, and against ending one endpoint after the
// other by trials.
func TestRefusedRequestIsTriedOnceItsCallersHaveGivenUp(t *testing.T) {
	table := requestTable(CrashesToRefuse)
	left := int(callerTime.Milliseconds())
	wantTried(t, table, 300+left-1, false)
	wantTried(t, table, 300+left, true)
	wantTried(t, table, 300+left+1, false)
	last := 300 + left + 50
	for i := range maxFailedTrials - 1 {
		table.Crashed([]string{"r"}, requestEnd(10+i, last))
		left *= requestTrialFactor
		wantTried(t, table, last+left-1, false)
		wantTried(t, table, last+left, true)
		last += left + 50
	}
	table.Crashed([]string{"r"}, requestEnd(20, last))
	wantTried(t, table, last+1000*left, false)
}

// All endpoints of a service end at the same moment, more than are kept. Guards against counting them
// as trials that failed.
func TestManyEndsTogetherDoNotDelayTheTrial(t *testing.T) {
	table := requestTable(2 * maxCrashes)
	wantTried(t, table, 100*2*maxCrashes+int(callerTime.Milliseconds()), true)
}

// A trial finds no endpoint. Guards against waiting for the next one as if it had been sent.
func TestTrialThatWasNotSentIsGivenBack(t *testing.T) {
	table := requestTable(CrashesToRefuse)
	ms := 300 + int(callerTime.Milliseconds())
	wantTried(t, table, ms, true)
	table.TrialUnsent([]string{"r"})
	wantTried(t, table, ms+10, true)
	wantTried(t, table, ms+20, false)
}

// A trial is answered. Guards against a refusal that goes on.
func TestTrialThatIsAnsweredClearsTheRequest(t *testing.T) {
	table := requestTable(CrashesToRefuse)
	ms := 300 + int(callerTime.Milliseconds())
	wantTried(t, table, ms, true)
	table.Answered([]string{"r"}, at(ms+20))
	wantRefused(t, table, ms+20, false, "r")
}

// Other entries' reports must not make more of a trial that failed than one entry does.
func TestFailedTrialsAreMerged(t *testing.T) {
	table, other := requestTable(CrashesToRefuse), requestTable(CrashesToRefuse)
	ms := 300 + int(callerTime.Milliseconds())
	wantTried(t, table, ms, true)
	table.Crashed([]string{"r"}, requestEnd(10, ms+50))
	for range 3 {
		other.Merge(table.Known("r"), at(ms+60))
		table.Merge(other.Known("r"), at(ms+70))
	}
	for name, c := range map[string]Case{"its own": table.Known("r"), "another's": other.Known("r")} {
		if c.FailedTrials != 1 || len(c.Crashes) != CrashesToRefuse+1 {
			t.Errorf("%s: %+v", name, c)
		}
	}
}

// An endpoint ends with the requests that it had, most of which nobody repeats. Guards against exchanging
// a case for each of them every second for minutes, and against forgetting one that a second end follows.
func TestCaseOfOneEndIsBrief(t *testing.T) {
	table := requestTable(1)
	if got := len(table.Cases()); got != 0 || len(table.Recent(at(200))) != 1 {
		t.Errorf("%d cases are exchanged after one end, %d reported", got, len(table.Recent(at(200))))
	}
	brief := 100 + int(briefCaseTTL.Milliseconds())
	table.Expire(at(brief))
	if len(table.Known("r").Crashes) != 1 {
		t.Error("forgotten too soon")
	}
	table.Expire(at(brief + 1))
	if len(table.Known("r").Crashes) != 0 {
		t.Error("kept")
	}
	table = requestTable(CrashesToShare)
	table.Expire(at(brief + 1000))
	if len(table.Cases()) != 1 {
		t.Error("a case of two ends is not exchanged and kept")
	}
}
