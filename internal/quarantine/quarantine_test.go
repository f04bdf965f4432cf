package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

var start = time.Unix(10000, 0)

// at returns the time a number of milliseconds after start.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// end returns the crash of the i-th endpoint under a request of account a.
func end(i, ms int) Crash { return endOf("a", i, ms) }

func endOf(account string, i, ms int) Crash {
	return Crash{Endpoint: fmt.Sprint("i-", i), Incarnation: uint64(i), Account: account, At: at(ms)}
}

// begunEnd is end after a part of the answer had arrived.
func begunEnd(i, ms int) Crash {
	crash := end(i, ms)
	crash.Begun = true
	return crash
}

func always(string) bool { return true }
func never(string) bool  { return false }

// wantRefused checks whether requests of account a with the given parts are refused.
func wantRefused(t *testing.T, table *Table, ms int, want bool, parts ...string) {
	t.Helper()
	if got := table.Refuses("a", parts, at(ms)); got != want {
		t.Errorf("at %d ms, parts %v: refused %v, want %v: %+v", ms, parts, got, want, table.Cases())
	}
}

// Endpoints end one after the other under requests with one part, beside sound requests. Guards
// against refusing the sound ones' parts, and against refusing the fatal one too late.
func TestFatalPartIsRefused(t *testing.T) {
	table := &Table{}
	table.Answered([]string{"first", "middle"}, at(0))
	for i, ms := range []int{1000, 5500} {
		table.Crashed([]string{"first", "middle", "fatal"}, end(i, ms))
		wantRefused(t, table, ms, false, "fatal")
	}
	if !table.Suspects([]string{"fatal"}) {
		t.Error("the part is not suspected after two ends")
	}
	changes := table.Crashed([]string{"first", "middle", "fatal"}, end(2, 10000))
	if len(changes) != 1 {
		t.Fatalf("changes %+v", changes)
	}
	if c, ok := changes[0].(Refused); !ok || c.Case.Subject != "fatal" || len(c.Case.Crashes) != 3 {
		t.Errorf("change %+v", changes[0])
	}
	wantRefused(t, table, 10000, true, "first", "middle", "fatal")
	wantRefused(t, table, 200000, true, "fatal")
	wantRefused(t, table, 10000, false, "first", "middle")
}

// One endpoint ends and all entries tell of it, each with its own requests. Guards against taking
// that for several ends.
func TestOneEndCountsOnce(t *testing.T) {
	table := &Table{}
	for ms := range 9 {
		table.Crashed([]string{"p"}, end(1, ms*1000))
	}
	wantRefused(t, table, 8000, false, "p")
}

// Twelve endpoints lose their power together, before any answer has begun. Guards against refusing
// all requests after it.
func TestEndpointsThatEndTogetherConvictNothing(t *testing.T) {
	table := &Table{}
	for i := range 12 {
		table.Crashed([]string{"first"}, end(i, i*20))
	}
	wantRefused(t, table, 300, true, "first")
	wantRefused(t, table, 1300, false, "first")
}

// The group of engines stays closed but for moments, so the part that all requests share is on all
// endpoints that end, and no answer clears it in between. Guards against refusing all requests.
func TestPartOfMostRequestsIsNotRefused(t *testing.T) {
	table := &Table{}
	table.Answered([]string{"first"}, at(0))
	for i := range maxCrashes {
		table.Crashed([]string{"first", "fatal"}, end(i, (i+1)*4500))
	}
	wantRefused(t, table, 30000, false, "first")
	wantRefused(t, table, 30000, true, "fatal")
}

// A new version of the engines crashes on a part that it used to answer. Guards against holding
// that a part which was answered once is sound for ever.
func TestPartThatBecameFatalIsRefused(t *testing.T) {
	table := &Table{}
	table.Answered([]string{"first", "late"}, at(0))
	for i := range crashesToRefuseAnswered {
		table.Crashed([]string{"first", "late"}, end(i, (i+1)*1000))
		table.Answered([]string{"first"}, at((i+1)*1000+100))
	}
	wantRefused(t, table, 6000, false, "late")
	for range minOtherAnswers {
		table.Answered([]string{"first"}, at(6000))
	}
	wantRefused(t, table, 6000, true, "late")
	wantRefused(t, table, 6000, false, "first")
}

// An answer to a request with a refused part begins elsewhere, as in a data centre that was cut off.
// Guards against a refusal that nothing ends.
func TestAnswerClearsThePart(t *testing.T) {
	table, other := &Table{}, &Table{}
	for i := range CrashesToRefuse {
		table.Crashed([]string{"p"}, end(i, i*1000))
		other.Crashed([]string{"p"}, end(i, i*1000))
	}
	other.Answered([]string{"p"}, at(5000))
	for _, c := range other.Recent(at(5000)) {
		table.Merge(c, at(5010))
	}
	wantRefused(t, table, 5010, false, "p")
	wantRefused(t, other, 5010, false, "p")
}

// An entry that has started again knows of no answers. Guards against convicting there what the
// other entries know to be sound.
func TestOthersKnowWhatWasAnswered(t *testing.T) {
	restarted, other := &Table{}, &Table{}
	other.Answered([]string{"first"}, at(0))
	for i := range CrashesToRefuse {
		ms := 1000 + i*1000
		restarted.Crashed([]string{"first"}, end(i, ms))
		for _, c := range restarted.Recent(at(ms)) {
			other.Merge(c, at(ms+5))
		}
		for _, c := range other.Recent(at(ms + 5)) {
			restarted.Merge(c, at(ms+10))
		}
	}
	wantRefused(t, restarted, 3010, false, "first")
}

// Two parts are in all requests that end endpoints, one of them sound and in others as well. Guards
// against refusing those others for long.
func TestSoundCompanionOfAFatalPartIsCleared(t *testing.T) {
	table := &Table{}
	for i := range CrashesToRefuse {
		table.Crashed([]string{"sound", "fatal"}, end(i, i*1000))
	}
	refused := func(ms int, mayTry func(string) bool, parts ...string) bool {
		c, _ := table.Check("a", parts, mayTry, at(ms))
		return c != nil
	}
	if !refused(4000, never, "sound") {
		t.Error("an entry that was not chosen tried the part")
	}
	if !refused(4000, always, "sound", "fatal") {
		t.Error("a request with the fatal part was tried")
	}
	if refused(4000, always, "sound") {
		t.Error("a request without the fatal part was not tried")
	}
	if !refused(4100, always, "sound") {
		t.Error("a second request was tried at once")
	}
	table.Answered([]string{"sound"}, at(4300))
	wantRefused(t, table, 4300, false, "sound")
	wantRefused(t, table, 4300, true, "fatal")
}

// A flood of requests ends more endpoints than are kept of a case. Guards against a sound part that is
// refused for good because it was in all of them.
func TestSoundCompanionIsClearedAfterAFlood(t *testing.T) {
	table := &Table{}
	for i := range 2 * maxCrashes {
		table.Crashed([]string{"sound", "fatal"}, end(i, i*100))
	}
	const ms = 5000
	if c, _ := table.Check("a", []string{"sound"}, always, at(ms)); c != nil {
		t.Error("a request without the fatal part was not tried")
	}
	table.Answered([]string{"sound"}, at(ms+100))
	wantRefused(t, table, ms+100, false, "sound")
	wantRefused(t, table, ms+100, true, "fatal")
}

// A part is refused by mistake and no other explains the ends. Guards against a refusal for ever, and
// against trials that end more endpoints than the part itself was allowed to.
func TestRefusedPartIsTriedSeldom(t *testing.T) {
	table := &Table{}
	for i := range CrashesToRefuse {
		table.Crashed([]string{"fatal"}, end(i, i*1000))
	}
	tried := 0
	for ms := 3000; ms < 3600*1000; ms += 1000 {
		if c, _ := table.Check("a", []string{"fatal"}, always, at(ms)); c == nil {
			tried++
			table.Crashed([]string{"fatal"}, end(100+tried, ms))
		}
	}
	if want := maxCrashes - CrashesToRefuse; tried != want {
		t.Errorf("%d trials in an hour, want %d", tried, want)
	}
}

// A part that is asked for stays refused; one that nobody asks for is forgotten.
func TestRefusalLastsWhileThePartIsAskedFor(t *testing.T) {
	table := &Table{}
	for i := range maxCrashes {
		table.Crashed([]string{"fatal"}, end(i, i*1000))
	}
	minute := 60 * 1000
	for m := range 60 {
		table.Check("a", []string{"fatal"}, always, at(m*minute+6000))
		table.Expire(at(m*minute + 6000))
	}
	wantRefused(t, table, 60*minute, true, "fatal")
	changes := table.Expire(at(75 * minute))
	if _, ok := changes[0].(Cleared); !ok || len(changes) != 1 || len(table.cases) > 0 {
		t.Errorf("changes %+v, %d cases", changes, len(table.cases))
	}
}

// One account sends requests that end endpoints with a part that it shares with another. Guards
// against an account that has another's requests refused.
func TestOneAccountDoesNotConvictForAnother(t *testing.T) {
	table := &Table{}
	for i := range maxCrashes - 1 {
		table.Crashed([]string{"shared"}, endOf("a", i, i*1000))
	}
	wantRefused(t, table, 6000, true, "shared")
	if table.Refuses("b", []string{"shared"}, at(6000)) {
		t.Error("the part is refused to another account")
	}
	table.Crashed([]string{"shared"}, endOf("b", 9, 7000))
	if !table.Refuses("b", []string{"shared"}, at(7000)) || !table.Refuses("c", []string{"shared"}, at(7000)) {
		t.Error("endpoints ended under two accounts and the part is not refused to all")
	}
}

// A caller sends ever new parts on which endpoints end. Guards against filling the memory, and
// against forgetting a refused part for them.
func TestCasesAreBounded(t *testing.T) {
	table := &Table{}
	for i := range CrashesToRefuse {
		table.Crashed([]string{"fatal"}, end(i, i*1000))
	}
	for i := range 10 * maxCases {
		table.Crashed([]string{fmt.Sprintf("%x", i)}, end(i, 3000+i))
		table.Answered([]string{fmt.Sprintf("%xa", i), "often"}, at(3000+i))
	}
	for i := range 10 * maxAnswered {
		table.Answered([]string{fmt.Sprintf("%xb", i), "often"}, at(6000+i))
	}
	if n := len(table.cases); n > maxCases {
		t.Errorf("%d cases", n)
	}
	if n := len(table.answered.current) + len(table.answered.previous); n > 2*maxAnswered {
		t.Errorf("%d answered parts", n)
	}
	if n := len(table.Recent(at(6000))); n > maxRecent {
		t.Errorf("%d cases in a message", n)
	}
	wantRefused(t, table, 10000, true, "fatal")
	if table.answered.at("often").IsZero() {
		t.Error("a part that is answered often was forgotten")
	}
}

// Nothing is answered for an hour. Guards against forgetting what was answered before it.
func TestAnsweredPartsAreRememberedThroughAnOutage(t *testing.T) {
	a := &answeredParts{}
	a.add("first", at(0))
	a.add("other", at(3600*1000))
	if a.at("first").IsZero() {
		t.Error("the part was forgotten")
	}
}

// An operator orders that a part be refused, and lifts that again, and what endpoints have ended
// under.
func TestOperatorsDecide(t *testing.T) {
	table := &Table{}
	table.Order("p", at(0))
	wantRefused(t, table, 3600*1000, true, "p")
	if c, _ := table.Check("a", []string{"p"}, always, at(3600*1000)); c == nil {
		t.Error("a part that operators refuse was tried")
	}
	for i := range CrashesToRefuse {
		table.Crashed([]string{"p"}, end(i, i*1000))
	}
	table.Lift("p", at(4000))
	wantRefused(t, table, 4000, false, "p")
	for i := range CrashesToRefuse {
		table.Crashed([]string{"p"}, end(10+i, 5000+i*1000))
	}
	wantRefused(t, table, 8000, true, "p")
}

// delayed returns a case as another entry reads it after the message's transfer.
func delayed(c Case, d time.Duration) Case {
	c = c.clone()
	for _, t := range []*time.Time{&c.AnsweredAt, &c.CompletedAt, &c.AskedAt, &c.TriedAt, &c.OrderedAt, &c.LiftedAt} {
		if !t.IsZero() {
			*t = t.Add(d)
		}
	}
	for i := range c.Crashes {
		c.Crashes[i].At = c.Crashes[i].At.Add(d)
	}
	return c
}

// Seven entries see a share of the ends each and exchange their cases in random order, late, twice or
// not at all. Guards against entries that decide differently for good, and against times that move
// on with each exchange.
func TestEntriesAgreeAfterAnyExchange(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 1))
		tables := make([]*Table, 7)
		for i := range tables {
			tables[i] = &Table{}
		}
		exchange := func(from, to *Table, ms int) {
			told := from.Cases()
			for _, c := range told {
				to.Merge(delayed(c, time.Duration(rng.IntN(50))*time.Millisecond), at(ms))
			}
			for _, c := range to.Reply(told) {
				from.Merge(delayed(c, time.Duration(rng.IntN(50))*time.Millisecond), at(ms))
			}
		}
		tables[0].Answered([]string{"sound"}, at(100))
		for i := range CrashesToRefuse {
			table := tables[rng.IntN(len(tables))]
			table.Crashed([]string{"fatal", "sound"}, end(i, 1000+i*1000))
		}
		for round := range 400 {
			exchange(tables[rng.IntN(7)], tables[rng.IntN(7)], 4000+round*100)
		}
		for i, table := range tables {
			if !table.Refuses("a", []string{"fatal"}, at(44000)) {
				t.Fatalf("seed %d: entry %d does not refuse the fatal part: %+v", seed, i, table.Cases())
			}
			for _, c := range table.Cases() {
				if last := c.lastCrash(); last.Sub(at(4000)) > 0 {
					t.Fatalf("seed %d: the last crash moved to %v", seed, last.Sub(start))
				}
			}
		}
	}
}

// Each order of merging the same cases gives the same result.
func TestMergeDoesNotDependOnTheOrder(t *testing.T) {
	cases := []Case{
		{Subject: "p", Crashes: []Crash{end(1, 1000), end(2, 2000)}},
		{Subject: "p", Crashes: []Crash{end(2, 2000), end(3, 3000)}, AskedAt: at(9000)},
		{Subject: "p", AnsweredAt: at(1500)},
		{Subject: "p", Crashes: []Crash{end(4, 8000)}, LiftedAt: at(2500)},
		{Subject: "p", Crashes: []Crash{end(5, 7000), begunEnd(6, 4000)}, CompletedAt: at(5000)},
		{Subject: "p", Crashes: []Crash{begunEnd(5, 7000), end(7, 7500)}, AnsweredAt: at(7700)},
	}
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 1))
		order := rng.Perm(len(cases))
		table := &Table{}
		for _, i := range append(order, order...) {
			table.Merge(cases[i].clone(), at(10000))
		}
		got := table.Cases()[0]
		if !slices.Equal(got.Crashes, []Crash{begunEnd(5, 7000), end(4, 8000)}) || !got.AskedAt.Equal(at(9000)) {
			t.Fatalf("seed %d, order %v: %+v", seed, order, got)
		}
	}
}

// A stored case reaches an entry that has cleared the part since. Guards against refusing it again.
func TestStoredCaseDoesNotOverruleWhatIsKnown(t *testing.T) {
	stored := Case{Subject: "p", Crashes: []Crash{end(1, 1000), end(2, 2000), end(3, 3000)}}
	fresh, knowing, answering := &Table{}, &Table{}, &Table{}
	knowing.Merge(stored.clone(), at(3000))
	knowing.Answered([]string{"p"}, at(4000))
	answering.Answered([]string{"p"}, at(500))
	for table, want := range map[*Table]bool{fresh: true, knowing: false, answering: false} {
		table.Restore(stored.clone(), at(5000))
		wantRefused(t, table, 5000, want, "p")
		if got := len(table.Lasting(at(5000))); (got == 1) != want {
			t.Errorf("%d lasting cases, want one: %v", got, want)
		}
	}
}
